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

void
RequestRun::NoteBroken()
{
  if (mHasAnswerGoneOn) {
    return;
  }
  ++mBrokenSends;
  const auto it =
    std::ranges::find(mSendView->mServers, mChoice.mServer, &ServerRecord::mId);
  if (it != mSendView->mServers.end()) {
    mContext.mCrashes.OnBroken(*it, { mParts, RequestKey(), mSentAt });
  }
}

} // namespace bilberrytrail
