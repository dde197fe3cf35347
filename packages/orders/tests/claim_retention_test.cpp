#include "claim_model.h"

#include <bilberrytrail/orders/claim_retention.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace bilberrytrail;

namespace {

constexpr std::chrono::milliseconds kRetention = std::chrono::hours(72);

} // namespace

TEST_CASE("claim rows are erased after the retention time and not before")
{
  const auto retentionMs = kRetention.count();
  struct Row
  {
    std::int64_t mAge;
    bool mErased;
  };
  const Row rows[] = { { 0, false },
                       { retentionMs - 1, false },
                       { retentionMs, true },
                       { -5, false } };
  for (const auto& row : rows) {
    ClaimRow claim;
    claim.mWrittenAtMs = 1000;
    const std::vector<TableRow> found{ { "k", EncodeClaimRow(claim), 9 },
                                       { "damaged", "x", 1 } };
    const auto writes =
      EraseExpiredClaims(found, 1000 + row.mAge, kRetention, 10);
    REQUIRE(writes.size() == (row.mErased ? 1 : 0));
    if (row.mErased) {
      CHECK(writes.front().mErase);
      CHECK(writes.front().mExpectedVersion == 9);
    }
  }
}

TEST_CASE(
  "a late outcome does not change a row that was erased and claimed again")
{
  constexpr Instant kStart{ 100s };
  claim_model::Table table;
  const auto claim = [&](const char* aAttempt) {
    ClaimedCall call({ "k", AttemptId(aAttempt), "hash", 0, kStart + 30s },
                     ClaimLimits());
    (void)call.Start(kStart);
    const auto actions = call.OnRowRead(table.Read("k"), kStart);
    REQUIRE(actions.front().mKind == ClaimActionKind::WriteClaim);
    (void)call.OnClaimWritten(table.Commit({ actions.front().mWrite }), kStart);
    return call;
  };
  auto late = claim("late");
  REQUIRE(late.BeginSend(kStart));
  const auto retentionMs = kRetention.count();
  REQUIRE(table
            .Commit(EraseExpiredClaims(
              { *table.Read("k") }, retentionMs, kRetention, 1))
            .mCommitted);
  const auto anew = claim("anew");

  auto actions = late.OnServiceResult(RecordedAnswer(), kStart);
  while (!late.IsFinished()) {
    REQUIRE(actions.front().mKind == ClaimActionKind::WriteOutcome);
    actions =
      late.OnOutcomeWritten(table.Commit({ actions.front().mWrite }), kStart);
  }
  const auto row = DecodeClaimRow(table.Read("k")->mValue);
  CHECK(row.value().mAttempt == AttemptId("anew"));
  CHECK(row.value().mState == ClaimState::Claimed);
}

TEST_CASE("a sweep reads every row when scans reach their limit")
{
  constexpr std::size_t kLimit = 4;
  std::map<std::string, bool> rows;
  for (const char* account : { "a", "a b", "long-account", "\xc3\xa9" }) {
    for (int n = 0; n < 40; ++n) {
      rows[ClaimRowKey(ProductId("p/q"),
                       AccountId(account),
                       IdempotencyKey(std::to_string(n * n)))] = false;
    }
  }
  ClaimSweep sweep("claim/", kLimit);
  while (const auto prefix = sweep.Next()) {
    std::size_t n = 0;
    for (auto it = rows.lower_bound(*prefix);
         it != rows.end() && it->first.starts_with(*prefix) && n < kLimit;
         ++it, ++n) {
      it->second = true;
    }
    sweep.OnScanned(n);
  }
  for (const auto& row : rows) {
    CAPTURE(row.first);
    CHECK(row.second);
  }
}
