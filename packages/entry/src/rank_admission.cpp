#include <bilberrytrail/entry/rank_admission.h>

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

// Weight of a prompt in the average load of its rank. Without prompts the
// average holds for a moment, then fades.
constexpr double kWeight = 0.1;
constexpr Duration kHoldTime = 100ms;
constexpr Duration kLifetime = 300ms;
// A higher load counts as this one, so that a single prompt does not hold
// others back for long.
constexpr double kMostLoad = 1.5;

} // namespace

double
RankAdmission::LoadOf(const Average& aAverage, Instant aNow) const
{
  const double age =
    ToMillis(std::max(aNow - aAverage.mAt - kHoldTime, Duration(0)));
  return aAverage.mLoad * std::exp(-age / ToMillis(kLifetime));
}

double
RankAdmission::LoadAbove(unsigned aRank, Instant aNow) const
{
  double load = 0;
  for (std::size_t n = 0; n < aRank && n < kRanks; ++n) {
    load = std::max(load, LoadOf(mAverages[n], aNow));
  }
  return load;
}

bool
RankAdmission::Admits(unsigned aRank,
                      double aLoad,
                      Instant aNow,
                      double aFactor)
{
  const auto rank = std::min<std::size_t>(aRank, kRanks - 1);
  auto& average = mAverages[rank];
  const double before = LoadOf(average, aNow);
  average.mLoad = before + kWeight * (std::min(aLoad, kMostLoad) - before);
  average.mAt = aNow;
  const double above = LoadAbove(aRank, aNow);
  const double left = (kFullLoad - above) / (kFullLoad - kCalmLoad);
  return aFactor * aLoad <= std::clamp(left, kFreeLoad, 1.0);
}

} // namespace bilberrytrail
