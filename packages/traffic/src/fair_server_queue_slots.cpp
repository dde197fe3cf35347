#include "fair_server_queue.h"

#include <algorithm>

// Assignment of free slots, and the choice of drafts to pause.

namespace bilberrytrail {
namespace {

// Time for which slots stay reserved after short work had to wait.
constexpr Duration kSurgeHold = 3s;

} // namespace

bool
FairServerQueue::IsNextSlotForDraft(Instant aNow) const
{
  const auto drafts = RunningDrafts();
  if (drafts >= std::min(mSettings.mDraftSlots, DraftSlots())) {
    return false;
  }
  const bool waits =
    !LaneOf(WorkClass::Draft).IsEmpty() ||
    std::any_of(mPaused.begin(), mPaused.end(), [&](const auto& aPaused) {
      return aNow - aPaused.second.mPausedAt >= mSettings.mMaxPause;
    });
  const auto spare = mSettings.mSlots - mRunning.size();
  return waits && spare <= mSettings.mDraftSlots - drafts;
}

void
FairServerQueue::FillSlots(Instant aNow, QueueActions& aActions)
{
  if (aNow >= mSurgeEnd) {
    mSurgeSlots = 0;
  }
  while (mRunning.size() < mSettings.mSlots) {
    if (!IsNextSlotForDraft(aNow) && GrantShort(aNow, aActions)) {
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
  RecordShortSlots(aNow);
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
  if (ResumePaused(false, aNow, aActions)) {
    return true;
  }
  auto& lane = LaneOf(WorkClass::Draft);
  if (lane.IsEmpty()) {
    return ResumePaused(true, aNow, aActions);
  }
  Grant(lane.Pop(), aNow, aActions);
  return true;
}

bool
FairServerQueue::IsResumeDue(const PausedEntry& aPaused,
                             Instant aNow) const noexcept
{
  return !aPaused.mDemoted || aNow - aPaused.mPausedAt >= mSettings.mMaxPause;
}

bool
FairServerQueue::ResumePaused(bool aAlsoDemoted,
                              Instant aNow,
                              QueueActions& aActions)
{
  auto it = mPaused.end();
  for (auto at = mPaused.begin(); at != mPaused.end(); ++at) {
    if ((aAlsoDemoted || IsResumeDue(at->second, aNow)) &&
        (it == mPaused.end() || at->second.mPausedAt < it->second.mPausedAt)) {
      it = at;
    }
  }
  if (it == mPaused.end()) {
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
  for (auto& [ticket, running] : mRunning) {
    if (IsDemoted(running, aNow)) {
      demoted.push_back(&running);
    }
  }
  PauseLongest(std::move(demoted), Waiting(), aNow, aActions);
}

void
FairServerQueue::PauseForShort(Instant aNow, QueueActions& aActions)
{
  const auto running = RunningDrafts();
  const auto pausable =
    running > mSettings.mDraftSlots ? running - mSettings.mDraftSlots : 0;
  const auto waiting =
    LaneOf(WorkClass::Read).size() + LaneOf(WorkClass::Short).size();
  if (waiting == 0) {
    return;
  }
  // One more, for the next request to arrive.
  const auto needed = mRunning.size() - running + waiting + 1;
  const auto most = mSettings.mSlots > mSettings.mDraftSlots
                      ? mSettings.mSlots - mSettings.mDraftSlots
                      : 0;
  mSurgeSlots = static_cast<std::uint32_t>(std::min<std::size_t>(needed, most));
  mSurgeEnd = aNow + kSurgeHold;
  std::vector<RunningEntry*> drafts;
  for (auto& [ticket, entry] : mRunning) {
    if (!IsShortWork(entry.mEntry.mClass)) {
      drafts.push_back(&entry);
    }
  }
  PauseLongest(std::move(drafts),
               std::min<std::size_t>(pausable, waiting),
               aNow,
               aActions);
}

void
FairServerQueue::PauseLongest(std::vector<RunningEntry*> aDrafts,
                              std::size_t aCount,
                              Instant aNow,
                              QueueActions& aActions)
{
  std::sort(aDrafts.begin(), aDrafts.end(), [&](auto* aLeft, auto* aRight) {
    return RunningTimeOf(*aLeft, aNow) > RunningTimeOf(*aRight, aNow);
  });
  auto pausing = CountPausing();
  for (auto* running : aDrafts) {
    if (pausing >= aCount || mPaused.size() + pausing >= mSettings.mMaxPaused) {
      return;
    }
    const bool isFresh = running->mRanBefore > Duration() &&
                         aNow - running->mStarted < mSettings.mMinRun;
    if (running->mPausing || isFresh) {
      continue;
    }
    running->mPausing = true;
    ++pausing;
    aActions.emplace_back(PauseAction{ running->mEntry.mTicket });
  }
}

std::size_t
FairServerQueue::CountPausing() const noexcept
{
  return static_cast<std::size_t>(
    std::count_if(mRunning.begin(), mRunning.end(), [](const auto& aRunning) {
      return aRunning.second.mPausing;
    }));
}

} // namespace bilberrytrail
