#include "relay_choice.h"

#include <bilberrytrail/membership/rendezvous.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr std::string_view kDuty = "relay";

// Returns the candidates by rendezvous, those with wide links first.
std::vector<const PeerAddress*>
InOrder(std::span<const PeerAddress> aPeers,
        std::span<const HomeCandidate> aCandidates)
{
  std::vector<const PeerAddress*> order;
  double widest = 0;
  for (const auto& name : HomesOf(kDuty, aCandidates, aCandidates.size())) {
    order.push_back(&*std::ranges::find(aPeers, name, &PeerAddress::mName));
    widest = std::max(widest, order.back()->mLinkMbps);
  }
  const double least = RelayChoice::kLinkShare * widest;
  // The linter's compiler cannot read std::ranges::stable_partition.
  std::stable_partition(
    order.begin(), order.end(), [&](const PeerAddress* aPeer) {
      return aPeer->mLinkMbps >= least;
    });
  return order;
}

} // namespace

bool
RelayChoice::IsResting(const DaemonId& aPeer, Instant aNow) const
{
  const auto it = mRests.find(aPeer);
  return it != mRests.end() && aNow < it->second.mUntil;
}

std::vector<const PeerAddress*>
RelayChoice::Order(std::span<const PeerAddress> aPeers) const
{
  std::vector<HomeCandidate> candidates;
  for (const auto& it : aPeers) {
    if (it.mZone == mZone) {
      candidates.push_back({ it.mName, it.mZone, 1.0 });
    }
  }
  if (candidates.size() <= mDirectDaemons) {
    return {};
  }
  return InOrder(aPeers, candidates);
}

bool
RelayChoice::IsFirst(std::span<const PeerAddress> aPeers) const
{
  const auto order = Order(aPeers);
  return !order.empty() && order.front()->mName == mSelf.mName;
}

std::optional<PeerAddress>
RelayChoice::Pick(std::span<const PeerAddress> aPeers, Instant aNow) const
{
  for (const auto* peer : Order(aPeers)) {
    if (peer->mName == mSelf.mName) {
      return std::nullopt;
    }
    if (!IsResting(peer->mName, aNow)) {
      return *peer;
    }
  }
  return std::nullopt;
}

void
RelayChoice::OnFailure(const DaemonId& aPeer, Instant aNow)
{
  auto& rest = mRests[aPeer];
  rest.mTime = std::clamp(rest.mTime * 2, kFirstRest, kMaxRest);
  rest.mUntil = aNow + rest.mTime;
}

} // namespace bilberrytrail
