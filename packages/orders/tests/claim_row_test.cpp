#include <bilberrytrail/orders/claim_row.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("a claim row survives an encoding round trip")
{
  const ClaimRow rows[] = {
    { ClaimState::Claimed, AttemptId("a1"), "h", 5, {} },
    { ClaimState::NotRun, AttemptId("a2"), "h", -5, {} },
    { ClaimState::Answered,
      AttemptId("a3"),
      "h",
      7,
      { 201, "text/plain", std::string("\xff\0z", 3), true } },
  };
  for (const auto& row : rows) {
    const auto read = DecodeClaimRow(EncodeClaimRow(row));
    REQUIRE(read.has_value());
    CHECK(read.value() == row);
  }
}

TEST_CASE("decoding a damaged claim row fails with Corrupt")
{
  auto text = EncodeClaimRow({});
  const std::string rows[] = { "", "{}", text.substr(0, text.size() / 2) };
  for (const auto& row : rows) {
    CHECK(DecodeClaimRow(row).error().mCode == ErrorCode::Corrupt);
  }
}

TEST_CASE("different calls have different row keys and hashes")
{
  const auto key =
    [](const char* aProduct, const char* aAccount, const char* aKey) {
      return ClaimRowKey(
        ProductId(aProduct), AccountId(aAccount), IdempotencyKey(aKey));
    };
  CHECK(key("p", "a", "k-1") == "claim/p/a/k-1");
  CHECK(key("p", "a/b", "k") != key("p", "a", "b/k"));
  CHECK(key("p", "a", "%2F") != key("p", "a", "/"));
  CHECK(HashCall("A", "BC", "") != HashCall("AB", "C", ""));
}

TEST_CASE("an empty or too long idempotency key is refused")
{
  CHECK(CheckIdempotencyKey("k").has_value());
  CHECK(CheckIdempotencyKey("").error().mCode == ErrorCode::InvalidInput);
  const std::string longest(kMaxIdempotencyKeyBytes, 'k');
  CHECK(CheckIdempotencyKey(longest).has_value());
  CHECK_FALSE(CheckIdempotencyKey(longest + "k").has_value());
}
