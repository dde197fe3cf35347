#include "fair_server_queue.h"

#include <algorithm>

// Predicted waits, and the refusals that follow from them.

namespace bilberrytrail {
namespace {

// Weight of one observation in the ratio of observed to estimated time.
constexpr double kRatioWeight = 0.05;
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
// An entry past its estimate is expected to run on for this part of it.
constexpr double kOverdueShare = 0.25;
constexpr Duration kMinRetryAfter = 50ms;

} // namespace

Duration
FairServerQueue::PredictWait(const QueueEntry& aEntry, Instant aNow) const
{
  const auto& lane = LaneOf(aEntry.mClass);
  return WaitBehind(lane.WorkAhead(aEntry.mAccount), aEntry.mClass, aNow);
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
  const auto kept = std::max(mSettings.mShortSlots, mSurgeSlots);
  return mSettings.mSlots > kept ? mSettings.mSlots - kept : 1;
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
