#include <bilberrytrail/membership/list_readers.h>

namespace bilberrytrail {

std::vector<DaemonId>
ListReadersOf(const ZoneId& aZone, std::span<const HomeCandidate> aCandidates)
{
  std::vector<HomeCandidate> inZone;
  for (const auto& it : aCandidates) {
    if (it.mZone == aZone) {
      inZone.push_back(it);
    }
  }
  return HomesOf("list-readers/" + aZone.Text(), inZone, kListReadersPerZone);
}

std::map<ZoneId, std::vector<DaemonId>>
DaemonsByZone(std::span<const HomeCandidate> aCandidates)
{
  std::map<ZoneId, std::vector<DaemonId>> zones;
  for (const auto& it : aCandidates) {
    zones[it.mZone].push_back(it.mId);
  }
  return zones;
}

} // namespace bilberrytrail
