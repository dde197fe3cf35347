#include "relay_choice.h"

#include <bilberrytrail/membership/rendezvous.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr std::string_view kRankKey = "relay";

} // namespace

bool
RelayChoice::IsBackingOff(const DaemonId& aPeer, Instant aNow) const
{
  const auto it = mBackOffs.find(aPeer);
  return it != mBackOffs.end() && aNow < it->second.mUntil;
}

bool
RelayChoice::IsGone(const DaemonId& aPeer) const
{
  const auto it = mBackOffs.find(aPeer);
  return it != mBackOffs.end() && it->second.mTime >= kGoneBackOff;
}

std::vector<const PeerAddress*>
RelayChoice::Candidates(std::span<const PeerAddress> aPeers) const
{
  auto order = Ranked(aPeers);
  // Those that count as gone are asked again now and then, too.
  std::size_t present = 0;
  const auto end = std::ranges::find_if(order, [&](const PeerAddress* aPeer) {
    present += IsGone(aPeer->mName) ? 0 : 1;
    return present > kRelays;
  });
  order.erase(end, order.end());
  return order;
}

bool
RelayChoice::IsCandidate(std::span<const PeerAddress> aPeers) const
{
  return std::ranges::any_of(Candidates(aPeers), [&](const PeerAddress* aPeer) {
    return aPeer->mName == mSelf;
  });
}

// Ordered by rendezvous hashing, daemons with fast links first.
std::vector<const PeerAddress*>
RelayChoice::Ranked(std::span<const PeerAddress> aPeers) const
{
  std::map<DaemonId, const PeerAddress*> daemons;
  std::vector<HomeCandidate> candidates;
  double fastest = 0;
  for (const auto& it : aPeers) {
    if (it.mZone == mZone) {
      daemons.emplace(it.mName, &it);
      candidates.push_back({ it.mName, it.mZone, 1.0 });
      fastest = std::max(fastest, it.mLinkMbps);
    }
  }
  std::vector<const PeerAddress*> order;
  if (candidates.size() <= kDirectDaemons) {
    return order;
  }
  for (const auto& name : HomesOf(kRankKey, candidates, candidates.size())) {
    order.push_back(daemons.at(name));
  }
  // The linter's compiler cannot parse std::ranges::stable_partition.
  std::stable_partition(
    order.begin(), order.end(), [&](const PeerAddress* aPeer) {
      return aPeer->mLinkMbps >= kMinLinkShare * fastest;
    });
  return order;
}

bool
RelayChoice::IsFirst(std::span<const PeerAddress> aPeers) const
{
  const auto order = Ranked(aPeers);
  return !order.empty() && order.front()->mName == mSelf;
}

std::optional<PeerAddress>
RelayChoice::Pick(std::span<const PeerAddress> aPeers, Instant aNow) const
{
  for (const auto* peer : Candidates(aPeers)) {
    if (peer->mName == mSelf) {
      return std::nullopt;
    }
    if (!IsBackingOff(peer->mName, aNow)) {
      return *peer;
    }
  }
  return std::nullopt;
}

void
RelayChoice::OnFailure(const DaemonId& aPeer, Instant aNow)
{
  auto& backOff = mBackOffs[aPeer];
  backOff.mTime = std::clamp(backOff.mTime * 2, kMinBackOff, kMaxBackOff);
  backOff.mUntil = aNow + backOff.mTime;
}

} // namespace bilberrytrail
