#include "fair_server_queue.h"

#include <algorithm>

namespace bilberrytrail {
namespace {

// Weight of one observation in the ratio of observed to estimated time.
constexpr double kRatioWeight = 0.05;
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
// An entry past its estimate is expected to run on for this part of it.
constexpr double kOverdueShare = 0.25;
// A waiting entry is refused when this part of its predicted wait is already
// too long, so that small errors of the prediction refuse nobody.
constexpr double kHopelessShare = 0.8;
constexpr Duration kMinRetryAfter = 50ms;
// Time between two checks of the waiting entries.
constexpr Duration kTickPeriod = 20ms;

Duration
Scale(Duration aLength, double aFactor)
{
  return std::chrono::duration_cast<Duration>(aLength * aFactor);
}

} // namespace

std::unique_ptr<ServerQueue>
MakeFairServerQueue(const QueueSettings& aSettings)
{
  return std::make_unique<FairServerQueue>(aSettings);
}

FairServerQueue::FairServerQueue(const QueueSettings& aSettings)
  : mSettings(aSettings)
  , mLanes{ FairLane(aSettings.mQuantumTokens),
            FairLane(aSettings.mQuantumTokens),
            FairLane(aSettings.mQuantumTokens) }
{
  mServiceRatio.fill(1.0);
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

Duration
FairServerQueue::PredictWait(const QueueEntry& aEntry, Instant aNow) const
{
  const auto& lane = LaneOf(aEntry.mClass);
  return WaitBehind(lane.WorkAhead(aEntry.mAccount), aEntry.mClass, aNow);
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
  for (const auto& [ticket, running] : mRunning) {
    const auto demotion =
      Scale(running.mEntry.mService, mSettings.mDemotionFactor);
    consider(running.mStarted +
             std::max(mSettings.mMinRun, demotion - running.mRanBefore) + 1us);
  }
  for (const auto& [ticket, paused] : mPaused) {
    consider(paused.mSince + mSettings.mMaxPause);
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
  const auto wait = PredictWait(aEntry, aNow);
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
  lane.Push(std::move(aEntry));
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
  Learn(it->second, aNow);
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
  const auto ran = Ran(it->second, aNow);
  mPaused.emplace(aTicket,
                  PausedEntry{ std::move(it->second.mEntry), aNow, ran });
  mRunning.erase(it);
  FillSlots(aNow, actions);
  return actions;
}

QueueActions
FairServerQueue::Tick(Instant aNow)
{
  QueueActions actions;
  RefuseHopeless(aNow, actions);
  FillSlots(aNow, actions);
  PauseDemoted(aNow, actions);
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

std::uint32_t
FairServerQueue::SlotsFor(WorkClass aClass) const noexcept
{
  const auto drafts = RunningDrafts();
  const auto shorts = static_cast<std::uint32_t>(mRunning.size()) - drafts;
  const auto others = IsShortWork(aClass) ? drafts : shorts;
  const auto left = mSettings.mSlots > others ? mSettings.mSlots - others : 1;
  return IsShortWork(aClass) ? left : std::min(left, DraftSlots());
}

std::uint32_t
FairServerQueue::DraftSlots() const noexcept
{
  return mSettings.mSlots > mSettings.mShortSlots
           ? mSettings.mSlots - mSettings.mShortSlots
           : 1;
}

Duration
FairServerQueue::Ran(const RunningEntry& aRunning, Instant aNow) const noexcept
{
  return aRunning.mRanBefore + (aNow - aRunning.mStarted);
}

bool
FairServerQueue::IsDemoted(const RunningEntry& aRunning,
                           Instant aNow) const noexcept
{
  return !IsShortWork(aRunning.mEntry.mClass) &&
         Ran(aRunning, aNow) >
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

Duration
FairServerQueue::WaitBehind(Duration aWorkAhead,
                            WorkClass aClass,
                            Instant aNow) const
{
  const double ratio = mServiceRatio.at(static_cast<std::size_t>(aClass));
  const auto slots = SlotsFor(aClass);
  Duration work = Scale(aWorkAhead, ratio);
  std::uint32_t inUse = 0;
  for (const auto& [ticket, running] : mRunning) {
    if (IsShortWork(running.mEntry.mClass) != IsShortWork(aClass)) {
      continue;
    }
    const auto expected = Scale(running.mEntry.mService, ratio);
    work +=
      std::max(expected - Ran(running, aNow), Scale(expected, kOverdueShare));
    ++inUse;
  }
  if (inUse < slots && aWorkAhead == Duration()) {
    return Duration();
  }
  return work / slots;
}

RefuseAction
FairServerQueue::RefusalFor(const QueueEntry& aEntry,
                            RefusalReason aReason,
                            Instant aNow) const
{
  const auto wait = PredictWait(aEntry, aNow);
  auto retryAfter = wait;
  if (aReason == RefusalReason::DeadlineTooShort) {
    const auto excess =
      aNow + wait - LatestStart(aEntry, mSettings.mServiceMargin);
    retryAfter = std::min(wait, std::max(Duration(), excess));
  }
  return { aEntry.mTicket, aReason, std::max(retryAfter, kMinRetryAfter) };
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
FairServerQueue::RefuseHopeless(Instant aNow, QueueActions& aActions)
{
  for (const auto workClass : AllOf<WorkClass>()) {
    const auto isHopeless = [&](const QueueEntry& aEntry, Duration aAhead) {
      const auto wait =
        Scale(WaitBehind(aAhead, workClass, aNow), kHopelessShare);
      return aNow + wait > LatestStart(aEntry, mSettings.mServiceMargin);
    };
    for (const auto& entry : LaneOf(workClass).RemoveIf(isHopeless)) {
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

void
FairServerQueue::Learn(const RunningEntry& aRunning, Instant aNow)
{
  const auto service = std::max(aRunning.mEntry.mService, Duration(1));
  const double observed = static_cast<double>(Ran(aRunning, aNow).count()) /
                          static_cast<double>(service.count());
  auto& ratio =
    mServiceRatio.at(static_cast<std::size_t>(aRunning.mEntry.mClass));
  ratio += kRatioWeight * (std::clamp(observed, kMinRatio, kMaxRatio) - ratio);
}

} // namespace bilberrytrail
