#include <bilberrytrail/entry/remote_clock.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

Duration
ToDuration(std::uint64_t aRemoteMs)
{
  return std::chrono::milliseconds(static_cast<std::int64_t>(aRemoteMs));
}

} // namespace

void
RemoteClock::Observe(std::uint64_t aRemoteMs, Instant aSentAt, Instant aReadAt)
{
  const auto time = ToDuration(aRemoteMs);
  const Range seen{ aSentAt.time_since_epoch() - time,
                    aReadAt.time_since_epoch() - time };
  if (!mDifference) {
    mDifference = seen;
    return;
  }
  const Range both{ std::max(mDifference->mLeast, seen.mLeast),
                    std::min(mDifference->mMost, seen.mMost) };
  mDifference = both.mLeast <= both.mMost ? both : seen;
}

std::optional<Instant>
RemoteClock::EarliestAt(std::uint64_t aRemoteMs) const
{
  if (!mDifference) {
    return std::nullopt;
  }
  return Instant(ToDuration(aRemoteMs) + mDifference->mLeast);
}

std::optional<Duration>
RemoteClock::Since(std::uint64_t aRemoteMs, Instant aNow) const
{
  if (!mDifference) {
    return std::nullopt;
  }
  const auto middle = (mDifference->mLeast + mDifference->mMost) / 2;
  const auto since = aNow.time_since_epoch() - middle - ToDuration(aRemoteMs);
  return std::max(since, Duration(0));
}

} // namespace bilberrytrail
