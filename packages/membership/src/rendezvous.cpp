#include <bilberrytrail/membership/rendezvous.h>

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/random.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace bilberrytrail {

namespace {

struct Scored
{
  double mScore = 0;
  const HomeCandidate* mCandidate = nullptr;
};

// The negated score is exponentially distributed with the weight as its rate,
// so a candidate has the highest score with a probability proportional to its
// weight.
double
ScoreOf(std::uint64_t aKeyHash, const HomeCandidate& aCandidate)
{
  Random mixed(aKeyHash ^ StableHash64(aCandidate.mId.Text()));
  const double uniform =
    std::max(mixed.Unit(), std::numeric_limits<double>::min());
  return std::log(uniform) / aCandidate.mWeight;
}

bool
IsBefore(const Scored& aLeft, const Scored& aRight)
{
  if (aLeft.mScore != aRight.mScore) {
    return aLeft.mScore > aRight.mScore;
  }
  return aLeft.mCandidate->mId < aRight.mCandidate->mId;
}

DaemonId
Best(std::string_view aKey,
     const ZoneId* aZone,
     std::span<const HomeCandidate> aCandidates)
{
  const std::uint64_t keyHash = StableHash64(aKey);
  Scored best;
  for (const auto& it : aCandidates) {
    if (it.mWeight <= 0 || (aZone != nullptr && it.mZone != *aZone)) {
      continue;
    }
    const Scored scored{ ScoreOf(keyHash, it), &it };
    if (best.mCandidate == nullptr || IsBefore(scored, best)) {
      best = scored;
    }
  }
  return best.mCandidate == nullptr ? DaemonId() : best.mCandidate->mId;
}

} // namespace

DaemonId
HomeOf(std::string_view aKey, std::span<const HomeCandidate> aCandidates)
{
  return Best(aKey, nullptr, aCandidates);
}

DaemonId
HomeOf(std::string_view aServer,
       const ZoneId& aZone,
       std::span<const HomeCandidate> aCandidates)
{
  DaemonId home = Best(aServer, &aZone, aCandidates);
  return home.IsEmpty() ? Best(aServer, nullptr, aCandidates) : home;
}

std::vector<DaemonId>
HomesOf(std::string_view aKey,
        std::span<const HomeCandidate> aCandidates,
        std::size_t aCount)
{
  const std::uint64_t keyHash = StableHash64(aKey);
  std::vector<Scored> scored;
  for (const auto& it : aCandidates) {
    if (it.mWeight > 0) {
      scored.push_back({ ScoreOf(keyHash, it), &it });
    }
  }
  std::sort(scored.begin(), scored.end(), IsBefore);
  std::vector<DaemonId> homes;
  for (std::size_t n = 0; n < std::min(aCount, scored.size()); ++n) {
    homes.push_back(scored[n].mCandidate->mId);
  }
  return homes;
}

} // namespace bilberrytrail
