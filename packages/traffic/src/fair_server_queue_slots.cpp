#include "fair_server_queue.h"

#include <algorithm>

// Who gets a free slot, and which drafts are paused for it.

namespace bilberrytrail {

bool
FairServerQueue::IsDraftDue(Instant aNow) const
{
  const auto drafts = RunningDrafts();
  if (drafts >= std::min(mSettings.mDraftSlots, DraftSlots())) {
    return false;
  }
  const bool waits =
    !LaneOf(WorkClass::Draft).IsEmpty() ||
    std::any_of(mPaused.begin(), mPaused.end(), [&](const auto& aPaused) {
      return aNow - aPaused.second.mSince >= mSettings.mMaxPause;
    });
  const auto spare = mSettings.mSlots - mRunning.size();
  return waits && spare <= mSettings.mDraftSlots - drafts;
}

void
FairServerQueue::FillSlots(Instant aNow, QueueActions& aActions)
{
  while (mRunning.size() < mSettings.mSlots) {
    if (!IsDraftDue(aNow) && GrantShort(aNow, aActions)) {
      continue;
    }
    if (RunningDrafts() < DraftSlots() && GrantDraft(aNow, aActions)) {
      continue;
    }
    return;
  }
}

void
FairServerQueue::Grant(QueueEntry aEntry, Instant aNow, QueueActions& aActions)
{
  if (aNow >= aEntry.mDeadline) {
    aActions.emplace_back(
      RefusalFor(aEntry, RefusalReason::DeadlinePassed, aNow));
    return;
  }
  const auto ticket = aEntry.mTicket;
  mRunning.emplace(ticket, RunningEntry{ std::move(aEntry), aNow });
  aActions.emplace_back(GrantAction{ ticket });
}

bool
FairServerQueue::GrantShort(Instant aNow, QueueActions& aActions)
{
  if (!HasWaitingShort()) {
    return false;
  }
  if (LaneOf(mNextShort).IsEmpty()) {
    mNextShort =
      mNextShort == WorkClass::Read ? WorkClass::Short : WorkClass::Read;
  }
  const auto granted = mNextShort;
  mNextShort = granted == WorkClass::Read ? WorkClass::Short : WorkClass::Read;
  Grant(LaneOf(granted).Pop(), aNow, aActions);
  return true;
}

bool
FairServerQueue::GrantDraft(Instant aNow, QueueActions& aActions)
{
  if (ResumePaused(mSettings.mMaxPause, aNow, aActions)) {
    return true;
  }
  auto& lane = LaneOf(WorkClass::Draft);
  if (lane.IsEmpty()) {
    return ResumePaused(Duration(), aNow, aActions);
  }
  Grant(lane.Pop(), aNow, aActions);
  return true;
}

bool
FairServerQueue::ResumePaused(Duration aMinPause,
                              Instant aNow,
                              QueueActions& aActions)
{
  const auto it = std::min_element(
    mPaused.begin(), mPaused.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.mSince < aRight.second.mSince;
    });
  if (it == mPaused.end() || aNow - it->second.mSince < aMinPause) {
    return false;
  }
  const auto ticket = it->first;
  mRunning.emplace(
    ticket,
    RunningEntry{ std::move(it->second.mEntry), aNow, it->second.mRanBefore });
  mPaused.erase(it);
  aActions.emplace_back(ResumeAction{ ticket });
  return true;
}

void
FairServerQueue::PauseDemoted(Instant aNow, QueueActions& aActions)
{
  std::vector<RunningEntry*> demoted;
  std::size_t pausing = 0;
  for (auto& [ticket, running] : mRunning) {
    pausing += running.mPausing ? 1 : 0;
    if (!running.mPausing && IsDemoted(running, aNow) &&
        aNow - running.mStarted >= mSettings.mMinRun) {
      demoted.push_back(&running);
    }
  }
  std::sort(demoted.begin(), demoted.end(), [&](auto* aLeft, auto* aRight) {
    return Ran(*aLeft, aNow) > Ran(*aRight, aNow);
  });
  const auto waiting = Waiting();
  for (auto* running : demoted) {
    if (pausing >= waiting ||
        mPaused.size() + pausing >= mSettings.mMaxPaused) {
      return;
    }
    running->mPausing = true;
    ++pausing;
    aActions.emplace_back(PauseAction{ running->mEntry.mTicket });
  }
}

} // namespace bilberrytrail
