#include "fair_server_queue.h"

#include <algorithm>
#include <cmath>

// Predicted waits and the refusals that depend on them.

namespace bilberrytrail {
namespace {

// Weight of one observation in the mean ratio of observed to estimated time.
constexpr double kRatioWeight = 0.05;
constexpr double kMinRatio = 0.1;
constexpr double kMaxRatio = 10;
// An entry that exceeds its estimate is expected to run on for this fraction of
// the estimate.
constexpr double kOverrunFraction = 0.25;
constexpr Duration kMinRetryAfter = 50ms;
// Standard deviations of the work ahead that the bound of a wait allows for.
constexpr double kBoundDeviations = 4;
// Variance of the mean ratio relative to the variance of one observation.
constexpr double kMeanVarianceFactor = kRatioWeight / (2 - kRatioWeight);
// Iterations of the fixed point between a wait and the work that arrives during
// it.
constexpr int kWaitIterations = 4;
// Period over which the peak number of slots of short work is taken.
constexpr Duration kShortPeakPeriod = 10s;

} // namespace

Duration
FairServerQueue::PredictWait(const QueueEntry& aEntry, Instant aNow) const
{
  return WaitOf(aEntry, aNow).mExpected;
}

WaitEstimate
FairServerQueue::WaitOf(const QueueEntry& aEntry, Instant aNow) const
{
  const auto& lane = LaneOf(aEntry.mClass);
  WaitEstimate wait;
  // The longer the wait, the more entries arrive that start first.
  for (int n = 0; n < kWaitIterations; ++n) {
    const auto& account = aEntry.mAccount;
    const auto workAhead = lane.WorkAhead(account, wait.mExpected, aNow);
    const auto workAheadBound = lane.WorkAhead(account, wait.mBound, aNow);
    const auto& workClass = aEntry.mClass;
    wait = {
      WaitAfterWork(workAhead, workClass, wait.mExpected, aNow).mExpected,
      WaitAfterWork(workAheadBound, workClass, wait.mBound, aNow).mBound,
    };
  }
  return wait;
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

std::uint32_t
FairServerQueue::GuaranteedSlotsFor(WorkClass aClass) const noexcept
{
  const auto now = SlotsFor(aClass);
  const auto others = IsShortWork(aClass)
                        ? std::min(mSettings.mDraftSlots, DraftSlots())
                        : std::max(mShortPeak, mLastShortPeak);
  const auto left = mSettings.mSlots > others ? mSettings.mSlots - others : 1;
  const auto least = IsShortWork(aClass) ? 1U : mSettings.mDraftSlots;
  return std::max(1U, std::min(now, std::max(left, least)));
}

const ServiceRatio&
FairServerQueue::RatioOf(WorkClass aClass) const noexcept
{
  return mRatios.at(static_cast<std::size_t>(aClass));
}

Duration
FairServerQueue::RemainingTimeOf(const QueueEntry& aEntry,
                                 Duration aRan) const noexcept
{
  const auto expected = Scale(aEntry.mService, RatioOf(aEntry.mClass).mMean);
  return std::max(expected - aRan, Scale(expected, kOverrunFraction));
}

WaitEstimate
FairServerQueue::WaitAfterWork(Duration aWorkAhead,
                               WorkClass aClass,
                               Duration aWait,
                               Instant aNow) const
{
  const auto& ratio = RatioOf(aClass);
  const auto slots = SlotsFor(aClass);
  Duration work = Scale(aWorkAhead, ratio.mMean);
  const auto mean = LaneOf(aClass).MeanService();
  double entries =
    mean > Duration() ? ToMillis(aWorkAhead) / ToMillis(mean) : 0;
  std::uint32_t inUse = 0;
  for (const auto& [ticket, running] : mRunning) {
    if (IsShortWork(running.mEntry.mClass) == IsShortWork(aClass)) {
      work += RemainingTimeOf(running.mEntry, RunningTimeOf(running, aNow));
      ++inUse;
    }
  }
  if (inUse < slots && aWorkAhead == Duration()) {
    return {};
  }
  Duration demoted{};
  if (IsShortWork(aClass)) {
    // The two lanes of short work alternate.
    const auto other =
      aClass == WorkClass::Read ? WorkClass::Short : WorkClass::Read;
    const auto& lane = LaneOf(other);
    const auto turns = std::min(static_cast<double>(lane.size()), entries + 1);
    const auto coming = lane.ArrivingWork(aWait, aNow);
    const auto most = Scale(mean, entries + 1);
    const auto others = Scale(lane.MeanService(), turns);
    work += Scale(std::min(others + coming, std::max(others, most)),
                  RatioOf(other).mMean);
    entries += turns;
  } else {
    // Paused drafts are resumed before waiting ones start; demoted ones only
    // after mMaxPause, so they count in the bound alone.
    for (const auto& [ticket, paused] : mPaused) {
      const auto left = RemainingTimeOf(paused.mEntry, paused.mRanBefore);
      (paused.mDemoted ? demoted : work) += left;
      ++entries;
    }
  }
  entries += inUse;
  const double spread =
    kBoundDeviations *
    std::sqrt(ratio.mVariance * (1 / entries + kMeanVarianceFactor));
  return { work / slots,
           Scale(work + demoted, 1 + spread) / GuaranteedSlotsFor(aClass) };
}

RefuseAction
FairServerQueue::RefusalFor(const QueueEntry& aEntry,
                            RefusalReason aReason,
                            Instant aNow) const
{
  const auto wait = PredictWait(aEntry, aNow);
  auto retryAfter = wait;
  if (aReason == RefusalReason::DeadlineTooShort) {
    const auto excess = aNow + WaitOf(aEntry, aNow).mBound -
                        LatestStart(aEntry, mSettings.mServiceMargin);
    retryAfter = std::min(wait, std::max(Duration(), excess));
  }
  return { aEntry.mTicket, aReason, std::max(retryAfter, kMinRetryAfter) };
}

void
FairServerQueue::RecordServiceTime(const RunningEntry& aRunning, Instant aNow)
{
  const auto service = std::max(aRunning.mEntry.mService, Duration(1));
  const double observed =
    static_cast<double>(RunningTimeOf(aRunning, aNow).count()) /
    static_cast<double>(service.count());
  auto& ratio = mRatios.at(static_cast<std::size_t>(aRunning.mEntry.mClass));
  // A draft that exceeds its estimate holds its slot only until it is demoted.
  const double held =
    std::clamp(observed, kMinRatio, mSettings.mDemotionFactor);
  const double error = held - std::min(ratio.mMean, mSettings.mDemotionFactor);
  ratio.mVariance += kRatioWeight * (error * error - ratio.mVariance);
  ratio.mMean +=
    kRatioWeight * (std::clamp(observed, kMinRatio, kMaxRatio) - ratio.mMean);
}

void
FairServerQueue::RecordShortSlots(Instant aNow) noexcept
{
  if (aNow >= mShortPeakEnd) {
    mLastShortPeak = mShortPeak;
    mShortPeak = 0;
    mShortPeakEnd = aNow + kShortPeakPeriod;
  }
  const auto shorts =
    static_cast<std::uint32_t>(mRunning.size()) - RunningDrafts();
  mShortPeak = std::max(mShortPeak, shorts);
}

} // namespace bilberrytrail
