#include "relay_choice.h"

#include <bilberrytrail/membership/rendezvous.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr std::string_view kDuty = "relay";

} // namespace

bool
RelayChoice::IsResting(const DaemonId& aPeer, Instant aNow) const
{
  const auto it = mRests.find(aPeer);
  return it != mRests.end() && aNow < it->second.mUntil;
}

std::optional<PeerAddress>
RelayChoice::Pick(std::span<const PeerAddress> aPeers, Instant aNow) const
{
  std::vector<HomeCandidate> candidates;
  for (const auto& it : aPeers) {
    if (it.mZone == mSelf.mZone) {
      candidates.push_back({ it.mName, it.mZone, 1.0 });
    }
  }
  if (candidates.size() <= kDirectDaemons) {
    return std::nullopt;
  }
  for (const auto& name : HomesOf(kDuty, candidates, candidates.size())) {
    if (name == mSelf.mName) {
      return std::nullopt;
    }
    if (!IsResting(name, aNow)) {
      return *std::ranges::find(aPeers, name, &PeerAddress::mName);
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
