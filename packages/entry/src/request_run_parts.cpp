#include "request_run.h"

#include <algorithm>
#include <array>

// Evidence for and against requests and the parts of their prompts.

namespace bilberrytrail {

namespace {

// A server that still sends after this time since the first event has survived
// the prompt.
constexpr Duration kSurvivalTime = 300ms;

} // namespace

bool
RequestRun::RefuseQuarantined()
{
  const auto now = MonotonicNow();
  if (const auto time = mContext.mParts.QuarantineTime(mParts, now)) {
    Refuse(RefusalReason::Quarantined,
           "A part of the prompt ended the servers that were to answer it.",
           *time);
    return true;
  }
  if (mContext.mRequests.size() == 0) {
    return false;
  }
  const std::array key{ RequestKey() };
  if (const auto time = mContext.mRequests.QuarantineTime(key, now)) {
    Refuse(RefusalReason::Quarantined,
           "The request ended the servers that were to answer it.",
           *time);
    return true;
  }
  return false;
}

PartKey
RequestRun::RequestKey()
{
  if (!mRequestKey) {
    mRequestKey = MakeRequestKey(
      mRequest, mAccount == nullptr ? AccountId() : mAccount->mName);
  }
  return *mRequestKey;
}

// A first retry does not wait: servers end for other reasons as well.
void
RequestRun::AwaitVerdict()
{
  if (mBrokenSends > 1 || mContext.mRequests.IsSuspect(RequestKey())) {
    (void)mContext.mLoop.Sleep(CrashWatch::kVerdictTime);
  }
}

void
RequestRun::NoteAnswerGoesOn(bool aIsWhole)
{
  const auto now = MonotonicNow();
  mAnswerBegunAt = mAnswerBegunAt.value_or(now);
  const bool goesOn = aIsWhole || now - *mAnswerBegunAt >= kSurvivalTime;
  if (goesOn && !mHasAnswerGoneOn) {
    mHasAnswerGoneOn = true;
    mContext.mParts.AnswerWentOn(mParts, now);
    // Prompts rarely come again, so that most need no record.
    if (!mRequest.mPrompt || mContext.mRequests.size() > 0) {
      const std::array key{ RequestKey() };
      mContext.mRequests.AnswerWentOn(key, now);
    }
  }
}

std::optional<CrashWatch::SendTrace>
RequestRun::Trace()
{
  if (mHasAnswerGoneOn) {
    return std::nullopt;
  }
  return CrashWatch::SendTrace{ mParts, RequestKey(), mSentAt };
}

void
RequestRun::NoteFailure(SendFault aFault)
{
  switch (aFault) {
    case SendFault::NoConnection:
      mWatched->OnLost(SendLoss::Unreachable);
      return;
    case SendFault::Full:
    case SendFault::WrongVersion:
    case SendFault::Garbled:
      mWatched->OnHeard();
      return;
    case SendFault::WrongServer:
      return;
    case SendFault::Broken:
      if (!mCancel.IsCancelled()) {
        mBrokenSends += mHasAnswerGoneOn ? 0 : 1;
        mWatched->OnLost(SendLoss::Broken);
        return;
      }
      break;
    case SendFault::TimedOut:
    case SendFault::Cancelled:
      break;
  }
  mWatched->OnLost(SendLoss::Silent);
}

} // namespace bilberrytrail
