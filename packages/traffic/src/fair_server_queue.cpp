#include "fair_server_queue.h"

#include <algorithm>

namespace bilberrytrail {
namespace {

// A waiting entry is refused when this fraction of its expected wait plus its
// estimated running time exceeds the time to its deadline.
constexpr double kInfeasibleWaitFraction = 0.8;
// Time between checks of the waiting entries.
constexpr Duration kTickPeriod = 20ms;

} // namespace

std::unique_ptr<ServerQueue>
MakeFairServerQueue(const QueueSettings& aSettings)
{
  return std::make_unique<FairServerQueue>(aSettings);
}

FairServerQueue::FairServerQueue(const QueueSettings& aSettings)
  : mSettings(aSettings)
  , mLanes{ FairLane(aSettings.mBurstTokens),
            FairLane(aSettings.mBurstTokens),
            FairLane(aSettings.mBurstTokens) }
{
}

std::size_t
FairServerQueue::Waiting() const noexcept
{
  std::size_t n = 0;
  for (const auto& lane : mLanes) {
    n += lane.size();
  }
  return n;
}

std::optional<Instant>
FairServerQueue::NextTick(Instant aNow) const
{
  std::optional<Instant> next;
  const auto consider = [&](Instant aTime) {
    if (aTime > aNow && aTime != Instant::max()) {
      next = next ? std::min(*next, aTime) : aTime;
    }
  };
  if (Waiting() > 0) {
    consider(aNow + kTickPeriod);
  }
  if (mSurgeSlots > 0) {
    consider(mSurgeEnd);
  }
  for (const auto& [ticket, running] : mRunning) {
    const auto demotion =
      Scale(running.mEntry.mService, mSettings.mDemotionFactor);
    consider(running.mStarted +
             std::max(mSettings.mMinRun, demotion - running.mRanBefore) + 1us);
  }
  for (const auto& [ticket, paused] : mPaused) {
    consider(paused.mPausedAt + mSettings.mMaxPause);
    consider(paused.mEntry.mDeadline);
  }
  return next;
}

QueueActions
FairServerQueue::Offer(QueueEntry aEntry, Instant aNow)
{
  QueueActions actions;
  if (IsKnown(aEntry.mTicket)) {
    return actions;
  }
  if (mDraining) {
    actions.emplace_back(RefusalFor(aEntry, RefusalReason::Draining, aNow));
    return actions;
  }
  // An admitted entry should not be refused later, so the upper bound of its
  // wait has to fit its deadline, not the expected wait.
  const auto wait = WaitOf(aEntry, aNow).mBound;
  const auto latest = wait > Duration()
                        ? LatestStart(aEntry, mSettings.mServiceMargin)
                        : aEntry.mDeadline;
  if (aNow + wait > latest) {
    actions.emplace_back(
      RefusalFor(aEntry, RefusalReason::DeadlineTooShort, aNow));
    return actions;
  }
  if (Waiting() >= mSettings.mMaxWaiting && !EvictFor(aEntry, aNow, actions)) {
    actions.emplace_back(RefusalFor(aEntry, RefusalReason::QueueFull, aNow));
    return actions;
  }
  auto& lane = LaneOf(aEntry.mClass);
  lane.Push(std::move(aEntry), aNow);
  FillSlots(aNow, actions);
  PauseDemoted(aNow, actions);
  return actions;
}

QueueActions
FairServerQueue::Finish(Ticket aTicket, Instant aNow)
{
  QueueActions actions;
  const auto it = mRunning.find(aTicket);
  if (it == mRunning.end()) {
    return actions;
  }
  RecordServiceTime(it->second, aNow);
  mRunning.erase(it);
  FillSlots(aNow, actions);
  return actions;
}

QueueActions
FairServerQueue::Cancel(Ticket aTicket, Instant aNow)
{
  QueueActions actions;
  mRunning.erase(aTicket);
  mPaused.erase(aTicket);
  for (auto& lane : mLanes) {
    lane.Remove(aTicket);
  }
  FillSlots(aNow, actions);
  return actions;
}

QueueActions
FairServerQueue::ConfirmPaused(Ticket aTicket, Instant aNow)
{
  QueueActions actions;
  const auto it = mRunning.find(aTicket);
  if (it == mRunning.end() || !it->second.mPausing) {
    return actions;
  }
  const auto ran = RunningTimeOf(it->second, aNow);
  const bool isDemoted = IsDemoted(it->second, aNow);
  mPaused.emplace(
    aTicket, PausedEntry{ std::move(it->second.mEntry), aNow, ran, isDemoted });
  mRunning.erase(it);
  FillSlots(aNow, actions);
  return actions;
}

QueueActions
FairServerQueue::Tick(Instant aNow)
{
  QueueActions actions;
  RefuseInfeasible(aNow, actions);
  FillSlots(aNow, actions);
  PauseDemoted(aNow, actions);
  PauseForShort(aNow, actions);
  return actions;
}

QueueActions
FairServerQueue::SetSlots(std::uint32_t aSlots, Instant aNow)
{
  QueueActions actions;
  mSettings.mSlots = aSlots;
  FillSlots(aNow, actions);
  return actions;
}

std::vector<QueueEntry>
FairServerQueue::Drain(Instant /*aNow*/)
{
  mDraining = true;
  std::vector<QueueEntry> all;
  for (auto& lane : mLanes) {
    auto entries = lane.TakeAll();
    std::move(entries.begin(), entries.end(), std::back_inserter(all));
  }
  return all;
}

FairLane&
FairServerQueue::LaneOf(WorkClass aClass) noexcept
{
  return mLanes.at(static_cast<std::size_t>(aClass));
}

const FairLane&
FairServerQueue::LaneOf(WorkClass aClass) const noexcept
{
  return mLanes.at(static_cast<std::size_t>(aClass));
}

bool
FairServerQueue::HasWaitingShort() const noexcept
{
  return !LaneOf(WorkClass::Read).IsEmpty() ||
         !LaneOf(WorkClass::Short).IsEmpty();
}

std::uint32_t
FairServerQueue::RunningDrafts() const noexcept
{
  return static_cast<std::uint32_t>(
    std::count_if(mRunning.begin(), mRunning.end(), [](const auto& aRunning) {
      return !IsShortWork(aRunning.second.mEntry.mClass);
    }));
}

Duration
FairServerQueue::RunningTimeOf(const RunningEntry& aRunning,
                               Instant aNow) const noexcept
{
  return aRunning.mRanBefore + (aNow - aRunning.mStarted);
}

bool
FairServerQueue::IsDemoted(const RunningEntry& aRunning,
                           Instant aNow) const noexcept
{
  return !IsShortWork(aRunning.mEntry.mClass) &&
         RunningTimeOf(aRunning, aNow) >
           Scale(aRunning.mEntry.mService, mSettings.mDemotionFactor);
}

bool
FairServerQueue::IsKnown(Ticket aTicket) const
{
  return mRunning.contains(aTicket) || mPaused.contains(aTicket) ||
         std::any_of(mLanes.begin(), mLanes.end(), [&](const auto& aLane) {
           return aLane.Contains(aTicket);
         });
}

bool
FairServerQueue::EvictFor(const QueueEntry& aEntry,
                          Instant aNow,
                          QueueActions& aActions)
{
  FairLane* fullest = &LaneOf(WorkClass::Draft);
  for (auto& lane : mLanes) {
    if (!lane.IsEmpty() &&
        (fullest->IsEmpty() || lane.CountOf(lane.LargestAccount()) >
                                 fullest->CountOf(fullest->LargestAccount()))) {
      fullest = &lane;
    }
  }
  if (fullest->IsEmpty()) {
    return false;
  }
  const AccountId largest = fullest->LargestAccount();
  const auto own = LaneOf(aEntry.mClass).CountOf(aEntry.mAccount) + 1;
  if (fullest->CountOf(largest) <= own) {
    return false;
  }
  if (const auto evicted = fullest->PopNewest(largest)) {
    aActions.emplace_back(RefusalFor(*evicted, RefusalReason::QueueFull, aNow));
  }
  return true;
}

void
FairServerQueue::RefuseInfeasible(Instant aNow, QueueActions& aActions)
{
  for (const auto workClass : AllOf<WorkClass>()) {
    const auto isInfeasible = [&](const QueueEntry& aEntry, Duration aAhead) {
      const auto wait =
        Scale(WaitAfterWork(aAhead, workClass, Duration(), aNow).mExpected,
              kInfeasibleWaitFraction);
      return aNow + wait > LatestStart(aEntry, 0);
    };
    for (const auto& entry : LaneOf(workClass).RemoveIf(isInfeasible)) {
      aActions.emplace_back(
        RefusalFor(entry, RefusalReason::DeadlineTooShort, aNow));
    }
  }
  std::erase_if(mPaused, [&](const auto& aPaused) {
    const auto& entry = aPaused.second.mEntry;
    if (entry.mDeadline > aNow) {
      return false;
    }
    aActions.emplace_back(
      RefusalFor(entry, RefusalReason::DeadlinePassed, aNow));
    return true;
  });
}

} // namespace bilberrytrail
