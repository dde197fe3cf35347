#include <bilberrytrail/entry/return_places.h>

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

// Time constant of the rate of grants.
constexpr double kRateSeconds = 1;
// Rate assumed at least, so that the first callers get places.
constexpr double kLeastRate = 10;
constexpr double kMsPerSecond = 1000;

} // namespace

void
ReturnPlaces::NoteGranted(Instant aNow) noexcept
{
  const double age = ToMillis(aNow - mRateAt) / kMsPerSecond;
  mRate = mRate * std::exp(-age / kRateSeconds) + 1 / kRateSeconds;
  mRateAt = aNow;
}

Duration
ReturnPlaces::Interval(Instant aNow) const noexcept
{
  const double age = ToMillis(aNow - mRateAt) / kMsPerSecond;
  const double rate = mRate * std::exp(-age / kRateSeconds);
  return FromMillis(kMsPerSecond / (kShare * std::max(rate, kLeastRate)));
}

void
ReturnPlaces::Expire(Instant aNow)
{
  std::erase_if(
    mPlaces, [&](const auto& aPlace) { return aNow > aPlace.second + kLate; });
}

Duration
ReturnPlaces::Give(std::uint64_t aCaller,
                   unsigned aRank,
                   Duration aEstimate,
                   Duration aTimeLeft,
                   Instant aNow)
{
  // Repeating a request early must not push the places of others back.
  const auto own = mPlaces.find(aCaller);
  if (own != mPlaces.end() && aNow < own->second) {
    return std::max(own->second - aNow, kLeast);
  }
  const auto rank = std::min<std::size_t>(aRank, kRanks - 1);
  const auto most =
    std::clamp(FromMillis(ToMillis(aTimeLeft) * kTimeShare), kLeast, kMost);
  const auto place =
    std::max(aNow + std::max(aEstimate, kLeast), mNextAt[rank]);
  if (place - aNow > most) {
    return most;
  }
  if (mPlaces.size() >= kMaxPlaces) {
    Expire(aNow);
  }
  if (mPlaces.size() < kMaxPlaces) {
    mPlaces[aCaller] = place;
  }
  const auto interval = Interval(aNow);
  for (std::size_t n = rank; n < kRanks; ++n) {
    mNextAt[n] = std::max(mNextAt[n], aNow) + interval;
  }
  return place - aNow;
}

bool
ReturnPlaces::Take(std::uint64_t aCaller, Instant aNow)
{
  const auto it = mPlaces.find(aCaller);
  if (it == mPlaces.end() || aNow < it->second - kEarly) {
    return false;
  }
  const bool isInTime = aNow <= it->second + kLate;
  mPlaces.erase(it);
  return isInTime;
}

} // namespace bilberrytrail
