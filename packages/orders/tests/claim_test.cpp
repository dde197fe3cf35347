#include <bilberrytrail/orders/claim.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };
const std::string kKey = "claim/p/a/k";

ClaimRequest
MakeRequest()
{
  return { kKey, AttemptId("ours"), "hash", 0, kStart + 30s };
}

TableRow
MakeRow(ClaimState aState, const char* aAttempt, const char* aHash)
{
  ClaimRow row;
  row.mState = aState;
  row.mAttempt = AttemptId(aAttempt);
  row.mCallHash = aHash;
  row.mAnswer.mBody = aState == ClaimState::Answered ? "kept" : "";
  return { kKey, EncodeClaimRow(row), 4 };
}

// Returns a call whose claim is written and whose send is due.
ClaimedCall
MakeReady()
{
  ClaimedCall call(MakeRequest(), ClaimLimits());
  (void)call.Start(kStart);
  (void)call.OnRowRead(std::optional<TableRow>(), kStart);
  (void)call.OnClaimWritten(CommitOutcome{ true, {} }, kStart);
  return call;
}

} // namespace

TEST_CASE("the state and call hash of an existing row decide the answer")
{
  struct Row
  {
    TableRow mRow;
    ClaimActionKind mKind;
    ClaimVerdict mVerdict;
  };
  using K = ClaimActionKind;
  using V = ClaimVerdict;
  const Row rows[] = {
    { MakeRow(ClaimState::Answered, "other", "hash"),
      K::AnswerCaller,
      V::AnswerRecorded },
    { MakeRow(ClaimState::Answered, "other", "else"),
      K::AnswerCaller,
      V::RefuseConflict },
    { MakeRow(ClaimState::Claimed, "other", "hash"),
      K::AnswerCaller,
      V::RefuseUnknown },
    { MakeRow(ClaimState::Claimed, "other", "else"),
      K::AnswerCaller,
      V::RefuseConflict },
    { MakeRow(ClaimState::NotRun, "other", "hash"),
      K::WriteClaim,
      V::RefuseNotRun },
    { { kKey, "damaged", 4 }, K::AnswerCaller, V::RefuseUnknown },
  };
  for (const auto& row : rows) {
    ClaimedCall call(MakeRequest(), ClaimLimits());
    (void)call.Start(kStart);
    const auto actions = call.OnRowRead(std::optional(row.mRow), kStart);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().mKind == row.mKind);
    CHECK(actions.front().mVerdict == row.mVerdict);
    CHECK_FALSE(call.BeginSend(kStart));
  }
}

TEST_CASE("a call is refused as not run when its row cannot be read")
{
  ClaimedCall call(MakeRequest(), ClaimLimits());
  (void)call.Start(kStart);
  const auto actions = call.OnRowRead(
    FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "timeout"), kStart);
  REQUIRE(actions.size() == 1);
  CHECK(actions.front().mVerdict == ClaimVerdict::RefuseNotRun);
  CHECK(call.IsFinished());
}

TEST_CASE("a send is allowed once and only within the claim's validity")
{
  struct Row
  {
    Duration mPause;
    bool mAllowed;
  };
  const Row rows[] = { { 0s, true },
                       { ClaimLimits().mClaimValidity - 1us, true },
                       { ClaimLimits().mClaimValidity, false },
                       { 3600s, false } };
  for (const auto& row : rows) {
    auto call = MakeReady();
    CHECK(call.BeginSend(kStart + row.mPause) == row.mAllowed);
    CHECK_FALSE(call.BeginSend(kStart));
    CHECK(call.WasSent() == row.mAllowed);
    if (!row.mAllowed) {
      auto actions = call.OnSendSkipped(kStart + row.mPause);
      REQUIRE(actions.size() == 1);
      const auto record = DecodeClaimRow(actions.front().mWrite.mValue);
      CHECK(record.value().mState == ClaimState::NotRun);
      actions = call.OnOutcomeWritten(CommitOutcome{ true, {} }, kStart);
      REQUIRE(actions.size() == 1);
      CHECK(actions.front().mVerdict == ClaimVerdict::RefuseNotRun);
    }
  }
}

TEST_CASE("a too large answer is relayed, and its resend is refused as unknown")
{
  auto call = MakeReady();
  REQUIRE(call.BeginSend(kStart));
  RecordedAnswer answer;
  answer.mBody = std::string(kMaxRecordedBodyBytes + 1, 'x');
  const auto actions = call.OnServiceResult(answer, kStart);
  REQUIRE(actions.size() == 2);
  CHECK(actions[1].mAnswer.mBody.size() == answer.mBody.size());

  ClaimedCall resend(MakeRequest(), ClaimLimits());
  (void)resend.Start(kStart);
  const TableRow row{ kKey, actions[0].mWrite.mValue, 2 };
  const auto reply = resend.OnRowRead(std::optional(row), kStart);
  CHECK(reply.front().mVerdict == ClaimVerdict::RefuseUnknown);
}
