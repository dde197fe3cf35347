#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// A live daemon that can be the home of keys. A daemon of weight 2 is the home
// of twice as many keys as one of weight 1; a daemon of weight 0 gets none.
struct HomeCandidate
{
  DaemonId mId;
  ZoneId mZone;
  double mWeight = 1.0;
};

// Returns the home of a key without a zone, such as a prompt root, an
// idempotency key or a control shard, by rendezvous hashing; an empty id when
// no candidate has a weight above 0. The order of the candidates does not
// matter, and adding or removing a candidate moves only its own keys.
[[nodiscard]] DaemonId
HomeOf(std::string_view aKey, std::span<const HomeCandidate> aCandidates);

// Returns the home of a backend server: as above, among the candidates of the
// server's availability zone, or among all when that zone has none.
[[nodiscard]] DaemonId
HomeOf(std::string_view aServer,
       const ZoneId& aZone,
       std::span<const HomeCandidate> aCandidates);

// Returns up to aCount candidates for a key: the home first, then the
// successors in the order in which they would become the home.
[[nodiscard]] std::vector<DaemonId>
HomesOf(std::string_view aKey,
        std::span<const HomeCandidate> aCandidates,
        std::size_t aCount);

} // namespace bilberrytrail
