#include <bilberrytrail/traffic/server_choice.h>

#include <algorithm>

namespace bilberrytrail {
namespace {

// Number of candidates picked at random for each choice.
constexpr std::size_t kRandomPicks = 2;
// Added to each estimate, so that weights also matter among idle servers.
constexpr Duration kBaseTime = 1ms;

double
CostOf(const ServerCandidate& aCandidate)
{
  const auto time = kBaseTime + aCandidate.mQueueWait + aCandidate.mFirstToken;
  return ToMillis(time) / aCandidate.mWeight;
}

// See MakePowerOfTwoChooser.
class PowerOfTwoChooser final : public ServerChooser
{
public:
  std::optional<std::size_t> Choose(
    const std::vector<ServerCandidate>& aCandidates,
    Random& aRandom) override
  {
    std::vector<bool> compared(aCandidates.size(), false);
    for (std::size_t n = 0; n < aCandidates.size(); ++n) {
      compared[n] = aCandidates[n].mPreferred && aCandidates[n].mWeight > 0;
    }
    for (std::size_t n = 0; n < kRandomPicks; ++n) {
      if (const auto picked = Pick(aCandidates, compared, aRandom)) {
        compared[*picked] = true;
      }
    }
    return Cheapest(aCandidates, compared);
  }

private:
  // Picks a candidate that is not in aCompared yet, with a probability
  // proportional to its weight.
  static std::optional<std::size_t> Pick(
    const std::vector<ServerCandidate>& aCandidates,
    const std::vector<bool>& aCompared,
    Random& aRandom)
  {
    double total = 0;
    for (std::size_t n = 0; n < aCandidates.size(); ++n) {
      total += aCompared[n] ? 0 : std::max(0.0, aCandidates[n].mWeight);
    }
    double left = aRandom.Unit() * total;
    std::optional<std::size_t> picked;
    for (std::size_t n = 0; n < aCandidates.size() && left >= 0; ++n) {
      if (!aCompared[n] && aCandidates[n].mWeight > 0) {
        picked = n;
        left -= aCandidates[n].mWeight;
      }
    }
    return picked;
  }

  static std::optional<std::size_t> Cheapest(
    const std::vector<ServerCandidate>& aCandidates,
    const std::vector<bool>& aCompared)
  {
    std::optional<std::size_t> best;
    for (std::size_t n = 0; n < aCandidates.size(); ++n) {
      if (aCompared[n] &&
          (!best || CostOf(aCandidates[n]) < CostOf(aCandidates[*best]))) {
        best = n;
      }
    }
    return best;
  }
};

// See MakeRoundRobinChooser.
class RoundRobinChooser final : public ServerChooser
{
public:
  std::optional<std::size_t> Choose(
    const std::vector<ServerCandidate>& aCandidates,
    Random& /*aRandom*/) override
  {
    for (std::size_t n = 0; n < aCandidates.size(); ++n) {
      const auto index = mNext++ % aCandidates.size();
      if (aCandidates[index].mWeight > 0) {
        return index;
      }
    }
    return std::nullopt;
  }

private:
  std::size_t mNext = 0;
};

} // namespace

std::unique_ptr<ServerChooser>
MakePowerOfTwoChooser()
{
  return std::make_unique<PowerOfTwoChooser>();
}

std::unique_ptr<ServerChooser>
MakeRoundRobinChooser()
{
  return std::make_unique<RoundRobinChooser>();
}

} // namespace bilberrytrail
