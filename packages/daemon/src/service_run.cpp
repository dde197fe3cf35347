#include "service_run.h"

#include "queue_decision.h"

#include <bilberrytrail/base/digest.h>

#include <chrono>
#include <deque>

namespace bilberrytrail {

namespace {

constexpr Duration kTableTimeout = 1s;
// Estimated running time of a service call, for the queue's prediction.
constexpr Duration kServiceEstimate = 20ms;

std::int64_t
WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

ServiceRun::ServiceRun(ThreadContext& aThread,
                       HomedServerPtr aServer,
                       const HomeRequest& aRequest,
                       FrameSink& aSink)
  : mThread(aThread)
  , mServer(std::move(aServer))
  , mRequest(aRequest)
  , mSink(aSink)
  , mDeadline(MonotonicNow() + aRequest.mTimeLeft)
{
}

void
ServiceRun::Execute()
{
  QueueEntry entry;
  entry.mAccount = mRequest.mAccount;
  entry.mClass = mRequest.mClass;
  entry.mCostTokens = mRequest.mCostTokens;
  entry.mService = kServiceEstimate;
  entry.mDeadline = mDeadline;
  mPlace = mServer->Queue().Join(mThread.GetLoop(), std::move(entry));
  if (!AwaitGrant()) {
    return;
  }
  if (mRequest.mClaimRowKey.empty()) {
    InvokeRepeatable();
  } else {
    InvokeClaimed();
  }
}

bool
ServiceRun::AwaitGrant()
{
  const auto decision =
    AwaitDecision<GrantAction>(*mPlace, mSink, mThread.GetLoop());
  if (!decision) {
    return false;
  }
  if (const auto* refusal = std::get_if<RefuseAction>(&*decision)) {
    EndNotRun(
      refusal->mReason, "refused by the server's queue", refusal->mRetryAfter);
    return false;
  }
  return true;
}

CallResult<ServiceResponse>
ServiceRun::CallService()
{
  auto& service = mThread.ServiceAt(mServer->Vm().mEndpoint);
  const auto left = std::max<Duration>(mDeadline - MonotonicNow(), 1ms);
  auto answer = service.Invoke(mRequest.mCall, left);
  if (!answer) {
    mServer->NoteRefusal(MonotonicNow());
  }
  return answer;
}

void
ServiceRun::InvokeRepeatable()
{
  auto answer = CallService();
  if (answer) {
    EndAnswered(std::move(answer).value());
    return;
  }
  const CallError& error = answer.error();
  if (error.mFate == CallFate::NotRun) {
    EndNotRun(RefusalReason::ServerFailed, error.mError.mMessage);
  } else {
    EndBroken(RefusalReason::ServerFailed, error.mError.mMessage);
  }
}

void
ServiceRun::InvokeClaimed()
{
  ClaimRequest request;
  request.mRowKey = mRequest.mClaimRowKey;
  request.mAttempt = AttemptId(RandomToken());
  request.mCallHash = HashCall(
    mRequest.mCall.mMethod, mRequest.mCall.mPath, mRequest.mCall.mBody);
  request.mWallClockMs = WallClockMs();
  request.mDeadline = mDeadline;
  ClaimedCall call(std::move(request), ClaimLimits());
  Perform(call, call.Start(MonotonicNow()));
}

void
ServiceRun::Perform(ClaimedCall& aCall, ClaimActions aActions)
{
  std::deque<ClaimAction> todo(aActions.begin(), aActions.end());
  while (!todo.empty() && !mThread.GetLoop().IsStopping()) {
    const ClaimAction action = std::move(todo.front());
    todo.pop_front();
    for (auto& next : PerformOne(aCall, action)) {
      todo.push_back(std::move(next));
    }
  }
}

ClaimActions
ServiceRun::PerformOne(ClaimedCall& aCall, const ClaimAction& aAction)
{
  auto& table = mThread.ClaimTable();
  switch (aAction.mKind) {
    case ClaimActionKind::ReadRow: {
      const auto row = table.Read(aAction.mWrite.mKey, kTableTimeout);
      return aCall.OnRowRead(row, MonotonicNow());
    }
    case ClaimActionKind::WriteClaim: {
      const auto outcome = table.Commit({ aAction.mWrite }, kTableTimeout);
      return aCall.OnClaimWritten(outcome, MonotonicNow());
    }
    case ClaimActionKind::Invoke:
      return Invoke(aCall);
    case ClaimActionKind::WriteOutcome: {
      // The server has done its part: the slot is for the next call.
      mPlace.reset();
      if (aAction.mDelay > Duration::zero()) {
        (void)mThread.GetLoop().Sleep(aAction.mDelay);
      }
      const auto outcome = table.Commit({ aAction.mWrite }, kTableTimeout);
      return aCall.OnOutcomeWritten(outcome, MonotonicNow());
    }
    case ClaimActionKind::AnswerCaller:
      Answer(aAction);
      return {};
  }
  return {};
}

ClaimActions
ServiceRun::Invoke(ClaimedCall& aCall)
{
  if (!aCall.BeginSend(MonotonicNow())) {
    return aCall.OnSendSkipped(MonotonicNow());
  }
  auto answer = CallService();
  if (!answer) {
    mIsRefused = answer.error().mFate == CallFate::NotRun;
    return aCall.OnServiceResult(std::move(answer).error(), MonotonicNow());
  }
  ServiceResponse& got = answer.value();
  return aCall.OnServiceResult(
    RecordedAnswer{
      got.mStatus, std::move(got.mContentType), std::move(got.mBody), false },
    MonotonicNow());
}

void
ServiceRun::Answer(const ClaimAction& aAction)
{
  switch (aAction.mVerdict) {
    case ClaimVerdict::Proceed:
    case ClaimVerdict::AnswerRecorded:
      EndAnswered({ aAction.mAnswer.mStatus,
                    aAction.mAnswer.mContentType,
                    aAction.mAnswer.mBody });
      break;
    case ClaimVerdict::RefuseNotRun:
      // The entry offers to another server what this one refused.
      EndNotRun(mIsRefused ? RefusalReason::ServerFailed
                           : RefusalReason::PlatformUnavailable,
                aAction.mMessage);
      break;
    case ClaimVerdict::RefuseConflict:
      EndNotRun(RefusalReason::Conflict, aAction.mMessage);
      break;
    case ClaimVerdict::RefuseUnknown:
      EndBroken(RefusalReason::ServerFailed, aAction.mMessage);
      break;
  }
}

void
ServiceRun::EndNotRun(RefusalReason aReason,
                      std::string aText,
                      Duration aRetryAfter)
{
  (void)mSink.Write(MakeNotRunFrame(
    mRequest.mCall.mAttempt, aReason, std::move(aText), aRetryAfter));
}

void
ServiceRun::EndBroken(RefusalReason aReason, std::string aText)
{
  (void)mSink.Write(
    MakeBrokenFrame(mRequest.mCall.mAttempt, aReason, std::move(aText)));
}

void
ServiceRun::EndAnswered(ServiceResponse aAnswer)
{
  (void)mSink.Write({ .mKind = FrameKind::Answer,
                      .mAttempt = mRequest.mCall.mAttempt,
                      .mAnswer = std::move(aAnswer) });
}

} // namespace bilberrytrail
