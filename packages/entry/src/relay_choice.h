#pragma once

#include "peer_directory.h"

#include <bilberrytrail/base/time.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bilberrytrail {

// Chooses the relay: the daemon of an availability zone that this one queries
// instead of following the tables and stores directly. In a large zone this
// spares the table service and the stores a call from each daemon; in a small
// one it would only add a point of failure. The daemons of a zone compute the
// same order without communication. Disagreement only costs calls, since a
// queried daemon follows directly.
//
//   if (auto relay = choice.Pick(peers, now)) {
//     Query(*relay) ? choice.OnAnswer(relay->mName)
//                   : choice.OnFailure(relay->mName, now);
//   }
class RelayChoice
{
public:
  // Daemons with less than this share of the zone's fastest link rank after the
  // others: a relay sends its answers to its whole zone.
  static constexpr double kMinLinkShare = 0.5;
  // Daemons of zones up to this size follow directly.
  static constexpr std::size_t kDirectDaemons = 5;
  // Daemons of a zone that may be relays at a time, so that the failure of one
  // never makes more and more others follow the tables and stores. When none of
  // them answers, a daemon follows the tables directly.
  static constexpr std::size_t kRelays = 3;
  // Shortest and longest back-off after a failure; it doubles with each failure
  // in a row.
  static constexpr Duration kMinBackOff = 2s;
  static constexpr Duration kMaxBackOff = 60s;
  // A daemon with such a back-off counts as gone: the next one takes its place
  // among the possible relays.
  static constexpr Duration kGoneBackOff = 8s;

  // aZone is the zone to choose a daemon of.
  RelayChoice(DaemonId aSelf, ZoneId aZone)
    : mSelf(std::move(aSelf))
    , mZone(std::move(aZone))
  {
  }
  explicit RelayChoice(const PeerAddress& aSelf)
    : RelayChoice(aSelf.mName, aSelf.mZone)
  {
  }

  // Returns the relay, or nothing when this daemon follows directly. aPeers are
  // all daemons, this one included.
  [[nodiscard]] std::optional<PeerAddress> Pick(
    std::span<const PeerAddress> aPeers,
    Instant aNow) const;

  // Returns whether this daemon is one of the possible relays of its zone.
  [[nodiscard]] bool IsCandidate(std::span<const PeerAddress> aPeers) const;
  // Returns whether its zone is large enough for relays.
  [[nodiscard]] bool HasRelays(std::span<const PeerAddress> aPeers) const
  {
    return !Ranked(aPeers).empty();
  }
  // Returns whether this daemon is the preferred relay of its zone.
  [[nodiscard]] bool IsFirst(std::span<const PeerAddress> aPeers) const;

  void OnAnswer(const DaemonId& aPeer) { mBackOffs.erase(aPeer); }
  // Records that a daemon did not answer or that its replica is too old.
  void OnFailure(const DaemonId& aPeer, Instant aNow);

private:
  struct BackOff
  {
    Duration mTime{};
    Instant mUntil;
  };

  // Returns all daemons of the zone, best first; none in a zone that follows
  // directly.
  [[nodiscard]] std::vector<const PeerAddress*> Ranked(
    std::span<const PeerAddress> aPeers) const;
  // Returns the possible relays, best first.
  [[nodiscard]] std::vector<const PeerAddress*> Candidates(
    std::span<const PeerAddress> aPeers) const;
  [[nodiscard]] bool IsBackingOff(const DaemonId& aPeer, Instant aNow) const;
  [[nodiscard]] bool IsGone(const DaemonId& aPeer) const;

  const DaemonId mSelf;
  const ZoneId mZone;
  std::map<DaemonId, BackOff> mBackOffs;
};

} // namespace bilberrytrail
