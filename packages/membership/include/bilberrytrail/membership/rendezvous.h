#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// A live daemon that can be home to keys. A daemon of weight 2 is home to
// twice as many keys as one of weight 1; weight 0 gets none.
struct HomeCandidate
{
  DaemonId mId;
  ZoneId mZone;
  double mWeight = 1.0;
};

// Returns the home of a key without a zone, such as a prompt root, an
// idempotency key or a control shard, by rendezvous hashing; an empty id when
// no candidate has weight. The order of the candidates does not matter, and a
// candidate that comes or goes moves only its own keys.
[[nodiscard]] DaemonId
HomeOf(std::string_view aKey, std::span<const HomeCandidate> aCandidates);

// Returns the home of a backend server: as above, among the candidates of the
// server's availability zone, or among all when the zone has none.
[[nodiscard]] DaemonId
HomeOf(std::string_view aServer,
       const ZoneId& aZone,
       std::span<const HomeCandidate> aCandidates);

// Returns up to aCount candidates for a key, the home first and then those
// that would follow it in order if it went.
[[nodiscard]] std::vector<DaemonId>
HomesOf(std::string_view aKey,
        std::span<const HomeCandidate> aCandidates,
        std::size_t aCount);

} // namespace bilberrytrail
