#pragma once

#include "peer_directory.h"

#include <bilberrytrail/base/time.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bilberrytrail {

// Decides which daemon of an availability zone this one asks, as for news of
// the tables and stores instead of following them itself. With many daemons
// that spares the table service and the stores a call of each; with few it
// would only add a daemon that can fail. Daemons of a zone agree on the order
// without talking, and disagreement costs calls only, since a daemon that is
// asked follows itself.
//
//   if (auto relay = choice.Pick(peers, now)) {
//     Ask(*relay) ? choice.OnAnswer(relay->mName)
//                 : choice.OnFailure(relay->mName, now);
//   }
class RelayChoice
{
public:
  // Daemons with less than this share of the widest link of the zone are asked
  // behind the others: one daemon's answers go to all of its zone.
  static constexpr double kMinLinkShare = 0.5;
  // Zones with so many daemons or fewer follow directly.
  static constexpr std::size_t kDirectDaemons = 5;
  // How long a daemon that did not answer is not asked, at first and at most;
  // the time doubles with each failure in a row.
  static constexpr Duration kMinBackOff = 2s;
  static constexpr Duration kMaxBackOff = 60s;

  // aZone is the zone whose daemons are asked.
  RelayChoice(DaemonId aSelf, ZoneId aZone)
    : mSelf(std::move(aSelf))
    , mZone(std::move(aZone))
  {
  }
  explicit RelayChoice(const PeerAddress& aSelf)
    : RelayChoice(aSelf.mName, aSelf.mZone)
  {
  }

  // Returns the daemon to ask, or nothing when this one follows directly.
  // aPeers are all daemons, this one included.
  [[nodiscard]] std::optional<PeerAddress> Pick(
    std::span<const PeerAddress> aPeers,
    Instant aNow) const;

  // Returns whether this daemon is the first that the others of the zone ask.
  [[nodiscard]] bool IsFirst(std::span<const PeerAddress> aPeers) const;

  void OnAnswer(const DaemonId& aPeer) { mBackOffs.erase(aPeer); }
  // Notes that a daemon did not answer, or knows too little.
  void OnFailure(const DaemonId& aPeer, Instant aNow);

private:
  struct BackOff
  {
    Duration mTime{};
    Instant mUntil;
  };

  // Returns the daemons to ask, best first; none when this one follows
  // directly.
  [[nodiscard]] std::vector<const PeerAddress*> Ranked(
    std::span<const PeerAddress> aPeers) const;
  [[nodiscard]] bool IsBackingOff(const DaemonId& aPeer, Instant aNow) const;

  const DaemonId mSelf;
  const ZoneId mZone;
  std::map<DaemonId, BackOff> mBackOffs;
};

} // namespace bilberrytrail
