#pragma once

#include <bilberrytrail/membership/rendezvous.h>

#include <map>

namespace bilberrytrail {

// Daemons of one availability zone that read the platform's list of VMs.
inline constexpr std::size_t kListReadersPerZone = 2;

// Returns the readers of a zone: chosen by rendezvous among its live daemons,
// so that all daemons with the same view choose the same, and one that goes
// is replaced by one other.
[[nodiscard]] std::vector<DaemonId>
ListReadersOf(const ZoneId& aZone, std::span<const HomeCandidate> aCandidates);

// Returns the candidates of each zone.
[[nodiscard]] std::map<ZoneId, std::vector<DaemonId>>
DaemonsByZone(std::span<const HomeCandidate> aCandidates);

} // namespace bilberrytrail
