#include "request_run.h"

#include <algorithm>

// Evidence for and against the parts of a prompt.

namespace bilberrytrail {

namespace {

// A server that still sends after this time since the first event has survived
// the prompt.
constexpr Duration kSurvivalTime = 300ms;

} // namespace

bool
RequestRun::RefuseQuarantined()
{
  const auto time = mContext.mParts.QuarantineTime(mParts, MonotonicNow());
  if (!time) {
    return false;
  }
  Refuse(RefusalReason::Quarantined,
         "A part of the prompt ended the servers that were to answer it.",
         *time);
  return true;
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
  }
}

void
RequestRun::NoteBroken()
{
  if (mParts.empty() || mHasAnswerGoneOn) {
    return;
  }
  const auto it =
    std::ranges::find(mSendView->mServers, mChoice.mServer, &ServerRecord::mId);
  if (it != mSendView->mServers.end()) {
    mContext.mCrashes.OnBroken(*it, mParts);
  }
}

} // namespace bilberrytrail
