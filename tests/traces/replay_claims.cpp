#include "replay_claims.h"

#include <algorithm>
#include <deque>

namespace bilberrytrail {

namespace {

ClaimEnd
EndOf(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Proceed:
      return ClaimEnd::Answered;
    case ClaimVerdict::AnswerRecorded:
      return ClaimEnd::Recorded;
    case ClaimVerdict::RefuseUnknown:
      return ClaimEnd::Unknown;
    case ClaimVerdict::RefuseNotRun:
    case ClaimVerdict::RefuseConflict:
      break;
  }
  return ClaimEnd::Refused;
}

} // namespace

ClaimEnd
ReplayClaims::Begin(std::uint64_t aTicket,
                    const TraceEvent& aEvent,
                    Instant aNow)
{
  ClaimRequest request;
  request.mRowKey = ClaimRowKey(
    ProductId("shop"), AccountId(aEvent.mAccount), IdempotencyKey(aEvent.mKey));
  request.mAttempt = AttemptId(std::to_string(aTicket));
  request.mCallHash = HashCall("POST", "/book", aEvent.mKey);
  request.mDeadline = aNow + 10s;
  auto& call = mCalls[aTicket];
  call = std::make_unique<ClaimedCall>(request, ClaimLimits());
  const auto end = Perform(*call, call->Start(aNow), aNow);
  if (end == ClaimEnd::Run) {
    ++mRuns[request.mRowKey];
  }
  return end;
}

ClaimEnd
ReplayClaims::Finish(std::uint64_t aTicket, bool aLostReply, Instant aNow)
{
  ClaimedCall& call = *mCalls.at(aTicket);
  if (aLostReply) {
    return Perform(
      call,
      call.OnServiceResult(
        FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "lost"), aNow),
      aNow);
  }
  return Perform(call,
                 call.OnServiceResult(
                   RecordedAnswer{ 200, "text/plain", "done", false }, aNow),
                 aNow);
}

double
ReplayClaims::MostRuns() const
{
  int most = 0;
  for (const auto& [key, n] : mRuns) {
    most = std::max(most, n);
  }
  return most;
}

ClaimEnd
ReplayClaims::Perform(ClaimedCall& aCall, ClaimActions aActions, Instant aNow)
{
  ClaimEnd end = ClaimEnd::Refused;
  std::deque<ClaimAction> todo(aActions.begin(), aActions.end());
  while (!todo.empty()) {
    const ClaimAction action = todo.front();
    todo.pop_front();
    ClaimActions next;
    switch (action.mKind) {
      case ClaimActionKind::ReadRow: {
        const auto it = mRows.find(action.mWrite.mKey);
        next = aCall.OnRowRead(it == mRows.end() ? std::optional<TableRow>()
                                                 : std::optional(it->second),
                               aNow);
        break;
      }
      case ClaimActionKind::WriteClaim:
        next = aCall.OnClaimWritten(Commit(action.mWrite), aNow);
        break;
      case ClaimActionKind::Invoke:
        if (aCall.BeginSend(aNow)) {
          return ClaimEnd::Run;
        }
        next = aCall.OnSendSkipped(aNow);
        break;
      case ClaimActionKind::WriteOutcome:
        next = aCall.OnOutcomeWritten(Commit(action.mWrite), aNow);
        break;
      case ClaimActionKind::AnswerCaller:
        end = EndOf(action.mVerdict);
        break;
    }
    todo.insert(todo.end(), next.begin(), next.end());
  }
  return end;
}

CommitOutcome
ReplayClaims::Commit(const TableWrite& aWrite)
{
  TableRow& row = mRows[aWrite.mKey];
  row.mKey = aWrite.mKey;
  if (row.mVersion != aWrite.mExpectedVersion) {
    return { false, { row } };
  }
  row.mValue = aWrite.mValue;
  ++row.mVersion;
  return { true, {} };
}

} // namespace bilberrytrail
