#include <bilberrytrail/orders/claim_retention.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("claim rows are erased after the retention time and not before")
{
  const auto kept = std::chrono::milliseconds(kClaimRetention).count();
  struct Row
  {
    std::int64_t mAge;
    bool mErased;
  };
  const Row rows[] = {
    { 0, false }, { kept - 1, false }, { kept, true }, { -5, false }
  };
  for (const auto& row : rows) {
    ClaimRow claim;
    claim.mWrittenAtMs = 1000;
    const std::vector<TableRow> found{ { "k", EncodeClaimRow(claim), 9 },
                                       { "damaged", "x", 1 } };
    const auto writes = EraseExpiredClaims(found, 1000 + row.mAge, 10);
    REQUIRE(writes.size() == (row.mErased ? 1 : 0));
    if (row.mErased) {
      CHECK(writes.front().mErase);
      CHECK(writes.front().mExpectedVersion == 9);
    }
  }
}
