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

double
RateGate::RateOf(const ServerLimit& aLimit) const noexcept
{
  constexpr double kMsPerSecond = 1000;
  const double rate = aLimit.mPerSecond * mShare;
  return rate * ToMillis(kWindow) / kMsPerSecond < mMinRequests ? 0 : rate;
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
  const auto wait = NextAt(aServer, *limit) - aNow;
  return wait <= kBurstTime ? Duration(0) : wait - kBurstTime;
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
  if (limit == nullptr) {
    mSchedules.erase(aServer);
    return;
  }
  const double rate = RateOf(*limit);
  if (rate > 0) {
    const auto next = std::max(NextAt(aServer, *limit), aNow);
    mSchedules[aServer].mNextAt = next + IntervalOf(rate);
  }
}

Duration
RateGate::PromiseReturn(const ServerId& aServer, Instant aNow)
{
  const auto* limit = mLimits.Find(aServer);
  if (limit == nullptr) {
    return Duration(0);
  }
  // A sender without a share names the server's own rate: another daemon
  // places the request by then.
  const double rate = RateOf(*limit) > 0 ? RateOf(*limit) : limit->mPerSecond;
  const auto interval = IntervalOf(rate);
  auto& schedule = mSchedules[aServer];
  const auto free = aNow + WaitFor(aServer, aNow).value_or(interval);
  const auto promised = std::max(
    free, std::min(schedule.mPromisedAt + interval, aNow + kMaxPromise));
  schedule.mPromisedAt = promised;
  return promised - aNow;
}

} // namespace bilberrytrail
