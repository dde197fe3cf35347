#include <bilberrytrail/entry/rate_gate.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Time by which a request may be ahead of its even spacing.
constexpr Duration kBurstTime = 125ms;
// Part of the bound of a cold server that a whole share may use.
constexpr double kColdShare = 0.5;
// Bound of the times that refused callers are told.
constexpr Duration kMaxPromise = 10s;

Duration
IntervalOf(double aPerSecond)
{
  constexpr double kMsPerSecond = 1000;
  return FromMillis(kMsPerSecond / aPerSecond);
}

} // namespace

void
RateGate::SetSplitShare(double aShare,
                        std::size_t aSenders,
                        double aPhase) noexcept
{
  mShare = aSenders == 0 ? 0 : aShare / static_cast<double>(aSenders);
  mPhase = aPhase;
}

std::optional<RateGate::Pace>
RateGate::PaceOf(const ServerId& aServer, Instant aNow) const
{
  std::optional<Pace> pace;
  if (const auto* limit = mLimits.Find(aServer)) {
    pace = {
      limit->mPerSecond * mShare, limit->mPerSecond, limit->mSince, kBurstTime
    };
  }
  const auto* bound = mColds == nullptr ? nullptr : mColds->Find(aServer, aNow);
  if (bound != nullptr) {
    const double most = std::min(bound->mPerSecond, bound->mMost * kColdShare);
    if (!pace || most < pace->mOfAll) {
      pace = { most * mShare, most, mColds->ColdSince(aServer), Duration(0) };
    }
  }
  return pace;
}

void
RateGate::NoteAnswer(const ServerId& aServer, Instant aNow)
{
  if (mColds != nullptr) {
    mColds->OnAnswer(aServer, aNow);
  }
}

void
RateGate::NoteLost(const ServerId& aServer, bool aIsRefused, Instant aNow)
{
  if (mColds != nullptr) {
    mColds->OnLost(aServer, aIsRefused, aNow);
  }
}

RateGate::Schedule&
RateGate::ScheduleOf(const ServerId& aServer, Instant aNow)
{
  if (!mSchedules.contains(aServer)) {
    std::erase_if(mSchedules, [&](const auto& aEntry) {
      return !PaceOf(aEntry.first, aNow);
    });
  }
  return mSchedules[aServer];
}

Instant
RateGate::InSlot(Instant aFrom, Duration aInterval) const
{
  if (!mPhase || aInterval <= kSlotTime) {
    return aFrom;
  }
  const auto shifted = aFrom.time_since_epoch() + aInterval * *mPhase;
  const auto sinceSlot =
    std::chrono::duration_cast<Duration>(shifted) % aInterval;
  return sinceSlot < kSlotTime ? aFrom : aFrom + (aInterval - sinceSlot);
}

Instant
RateGate::NextAt(const ServerId& aServer, const Pace& aPace) const
{
  const auto first = aPace.mSince + IntervalOf(aPace.mPerSecond);
  const auto it = mSchedules.find(aServer);
  return it == mSchedules.end() ? first : std::max(first, it->second.mNextAt);
}

std::optional<Duration>
RateGate::WaitFor(const ServerId& aServer, Instant aNow) const
{
  const auto pace = PaceOf(aServer, aNow);
  if (!pace) {
    return Duration(0);
  }
  if (pace->mPerSecond <= 0) {
    return std::nullopt;
  }
  const auto due = std::max(NextAt(aServer, *pace) - pace->mBurst, aNow);
  return InSlot(due, IntervalOf(pace->mPerSecond)) - aNow;
}

bool
RateGate::IsOpen(const ServerId& aServer, Instant aNow) const
{
  return WaitFor(aServer, aNow) == Duration(0);
}

void
RateGate::Take(const ServerId& aServer, Instant aNow)
{
  const auto pace = PaceOf(aServer, aNow);
  if (pace && pace->mPerSecond > 0) {
    const auto next = std::max(NextAt(aServer, *pace), aNow);
    ScheduleOf(aServer, aNow).mNextAt = next + IntervalOf(pace->mPerSecond);
  }
}

Duration
RateGate::PromiseReturn(const ServerId& aServer, Instant aNow)
{
  const auto pace = PaceOf(aServer, aNow);
  if (!pace) {
    return Duration(0);
  }
  // A sender with no share of its own, or a part of one, names the server's own
  // rate: a home places the request by then.
  const bool isHome = !mPhase && pace->mPerSecond > 0;
  const auto interval = IntervalOf(isHome ? pace->mPerSecond : pace->mOfAll);
  auto& schedule = ScheduleOf(aServer, aNow);
  const auto free =
    aNow + (isHome ? WaitFor(aServer, aNow).value_or(interval) : interval);
  const auto promised = std::max(
    free, std::min(schedule.mPromisedAt + interval, aNow + kMaxPromise));
  schedule.mPromisedAt = promised;
  return promised - aNow;
}

} // namespace bilberrytrail
