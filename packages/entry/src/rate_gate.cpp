#include <bilberrytrail/entry/rate_gate.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Time by which a request may be ahead of its even spacing.
constexpr Duration kBurstTime = 125ms;
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

RateGate::Schedule&
RateGate::ScheduleOf(const ServerId& aServer)
{
  if (!mSchedules.contains(aServer)) {
    std::erase_if(mSchedules, [this](const auto& aEntry) {
      return mLimits.Find(aEntry.first) == nullptr;
    });
  }
  return mSchedules[aServer];
}

double
RateGate::RateOf(const ServerLimit& aLimit) const noexcept
{
  return aLimit.mPerSecond * mShare;
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
RateGate::NextAt(const ServerId& aServer, const ServerLimit& aLimit) const
{
  const auto first = aLimit.mSince + IntervalOf(RateOf(aLimit));
  const auto it = mSchedules.find(aServer);
  return it == mSchedules.end() ? first : std::max(first, it->second.mNextAt);
}

std::optional<Duration>
RateGate::WaitFor(const ServerId& aServer, Instant aNow) const
{
  const auto* limit = mLimits.Find(aServer);
  if (limit == nullptr) {
    return Duration(0);
  }
  if (RateOf(*limit) <= 0) {
    return std::nullopt;
  }
  const auto due = std::max(NextAt(aServer, *limit) - kBurstTime, aNow);
  return InSlot(due, IntervalOf(RateOf(*limit))) - aNow;
}

bool
RateGate::IsOpen(const ServerId& aServer, Instant aNow) const
{
  return WaitFor(aServer, aNow) == Duration(0);
}

void
RateGate::Take(const ServerId& aServer, Instant aNow)
{
  const auto* limit = mLimits.Find(aServer);
  if (limit != nullptr && RateOf(*limit) > 0) {
    const auto next = std::max(NextAt(aServer, *limit), aNow);
    ScheduleOf(aServer).mNextAt = next + IntervalOf(RateOf(*limit));
  }
}

Duration
RateGate::PromiseReturn(const ServerId& aServer, Instant aNow)
{
  const auto* limit = mLimits.Find(aServer);
  if (limit == nullptr) {
    return Duration(0);
  }
  // A sender with no share of its own, or a part of one, names the server's own
  // rate: a home places the request by then.
  const bool isHome = !mPhase && RateOf(*limit) > 0;
  const auto interval = IntervalOf(isHome ? RateOf(*limit) : limit->mPerSecond);
  auto& schedule = ScheduleOf(aServer);
  const auto free =
    aNow + (isHome ? WaitFor(aServer, aNow).value_or(interval) : interval);
  const auto promised = std::max(
    free, std::min(schedule.mPromisedAt + interval, aNow + kMaxPromise));
  schedule.mPromisedAt = promised;
  return promised - aNow;
}

} // namespace bilberrytrail
