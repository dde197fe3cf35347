#include <bilberrytrail/membership/list_readers.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

std::vector<HomeCandidate>
Candidates(int aCount, int aZones)
{
  std::vector<HomeCandidate> candidates;
  candidates.reserve(static_cast<std::size_t>(aCount));
  for (int n = 0; n < aCount; ++n) {
    candidates.push_back({ DaemonId("daemon-" + std::to_string(n)),
                           ZoneId("zone-" + std::to_string(n % aZones)),
                           1.0 });
  }
  return candidates;
}

} // namespace

TEST_CASE(
  "each zone has two list readers, and removing one replaces only that one")
{
  const auto all = Candidates(400, 7);
  for (const auto& [zone, ids] : DaemonsByZone(all)) {
    const auto readers = ListReadersOf(zone, all);
    REQUIRE(readers.size() == 2);
    CHECK(readers[0] != readers[1]);
    for (const auto& it : readers) {
      CHECK(std::count(ids.begin(), ids.end(), it) == 1);
    }
    auto fewer = all;
    std::erase_if(fewer, [&](const HomeCandidate& aCandidate) {
      return aCandidate.mId == readers[0];
    });
    const auto after = ListReadersOf(zone, fewer);
    REQUIRE(after.size() == 2);
    CHECK(after[0] == readers[1]);
  }
  CHECK(ListReadersOf(ZoneId("zone-0"), Candidates(1, 1)).size() == 1);
  CHECK(ListReadersOf(ZoneId("none"), all).empty());
}
