#pragma once

#include <bilberrytrail/membership/rendezvous.h>

#include <map>

namespace bilberrytrail {

// Number of daemons in each availability zone that read the platform's list of
// VMs.
inline constexpr std::size_t kListReadersPerZone = 2;

// Returns the list readers of an availability zone, chosen by rendezvous
// hashing among its live daemons. All daemons with the same view choose the
// same readers, and a reader that leaves is replaced by one other daemon.
[[nodiscard]] std::vector<DaemonId>
ListReadersOf(const ZoneId& aZone, std::span<const HomeCandidate> aCandidates);

// Returns the candidates by availability zone.
[[nodiscard]] std::map<ZoneId, std::vector<DaemonId>>
DaemonsByZone(std::span<const HomeCandidate> aCandidates);

} // namespace bilberrytrail
