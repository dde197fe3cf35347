#include "claim_model.h"

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

TEST_CASE(
  "a late outcome does not touch a row that was erased and claimed anew")
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
  const auto kept = std::chrono::milliseconds(kClaimRetention).count();
  REQUIRE(
    table.Commit(EraseExpiredClaims({ *table.Read("k") }, kept, 1)).mCommitted);
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
