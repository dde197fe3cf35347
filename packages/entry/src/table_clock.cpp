#include <bilberrytrail/entry/table_clock.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

Duration
ToDuration(std::uint64_t aTableMs)
{
  return std::chrono::milliseconds(static_cast<std::int64_t>(aTableMs));
}

} // namespace

void
TableClock::Observe(std::uint64_t aTableMs, Instant aSentAt, Instant aReadAt)
{
  const auto time = ToDuration(aTableMs);
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
TableClock::EarliestAt(std::uint64_t aTableMs) const
{
  if (!mDifference) {
    return std::nullopt;
  }
  return Instant(ToDuration(aTableMs) + mDifference->mLeast);
}

std::optional<Duration>
TableClock::Since(std::uint64_t aTableMs, Instant aNow) const
{
  if (!mDifference) {
    return std::nullopt;
  }
  const auto middle = (mDifference->mLeast + mDifference->mMost) / 2;
  const auto since = aNow.time_since_epoch() - middle - ToDuration(aTableMs);
  return std::max(since, Duration(0));
}

} // namespace bilberrytrail
