#include <bilberrytrail/entry/placement_map.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace bilberrytrail;

namespace {

const ServiceId kEngines("engines");

std::vector<ServerRecord>
Servers(int aCount)
{
  std::vector<ServerRecord> servers(static_cast<std::size_t>(aCount));
  for (std::size_t n = 0; n < servers.size(); ++n) {
    servers[n].mId = ServerId("s" + std::to_string(n));
    servers[n].mService = kEngines;
  }
  return servers;
}

std::vector<PlacementCandidate>
Daemons(int aCount, int aWide = 0)
{
  std::vector<PlacementCandidate> daemons;
  daemons.reserve(static_cast<std::size_t>(aCount));
  for (int n = 0; n < aCount; ++n) {
    daemons.push_back({ DaemonId("d" + std::to_string(n)),
                        { "10.0.0.1", static_cast<std::uint16_t>(n + 1) },
                        n < aWide ? 200.0 : 20.0 });
  }
  return daemons;
}

} // namespace

TEST_CASE("the number of groups follows the number of servers")
{
  struct Row
  {
    int mServers;
    int mDaemons;
    std::size_t mGroups;
  };
  for (const Row& row : { Row{ 1, 1, 1 },
                          Row{ 12, 6, 1 },
                          Row{ 60, 65, 4 },
                          Row{ 240, 295, 15 } }) {
    CAPTURE(row.mServers);
    const auto servers = Servers(row.mServers);
    const PlacementMap map(servers, Daemons(row.mDaemons));
    const auto groups = map.GroupsFor(kEngines, 77, 100);
    CHECK(groups.size() == row.mGroups);
    for (const auto& it : groups) {
      CHECK(it.mCount == row.mGroups);
      CHECK_FALSE(map.HomesOf(it).empty());
    }
  }
  CHECK(PlacementMap().GroupsFor(kEngines, 1, 2).empty());
  CHECK(PlacementMap(Servers(3), {}).HomesOf({ kEngines, 0, 1 }).empty());
}

TEST_CASE("the map does not depend on the order of servers and daemons")
{
  auto servers = Servers(100);
  auto daemons = Daemons(40);
  const PlacementMap first(servers, daemons);
  std::ranges::reverse(servers);
  std::ranges::reverse(daemons);
  const PlacementMap second(servers, daemons);
  for (std::uint64_t part = 0; part < 200; ++part) {
    const auto groups = first.GroupsFor(kEngines, part * 7919, 2);
    CHECK(groups == second.GroupsFor(kEngines, part * 7919, 2));
    CHECK(first.HomesOf(groups[0])[0].mDaemon ==
          second.HomesOf(groups[0])[0].mDaemon);
  }
}

TEST_CASE(
  "only daemons with wide links are homes, with equally many groups each")
{
  const PlacementMap map(Servers(240), Daemons(295, 15));
  std::map<DaemonId, int> homes;
  for (const auto& it : map.GroupsFor(kEngines, 1, 100)) {
    const auto order = map.HomesOf(it);
    ++homes[order[0].mDaemon];
    CHECK(order.size() >= 2);
    CHECK(order[0].mLinkMbps == 200);
  }
  CHECK(homes.size() == 15);
}

TEST_CASE("requests are spread over groups in proportion to their servers")
{
  const auto servers = Servers(240);
  const PlacementMap map(servers, Daemons(20));
  std::map<std::uint32_t, int> sizes;
  std::map<std::uint32_t, int> requests;
  for (const auto& it : servers) {
    ++sizes[PlacementMap::GroupOf(it.mId, 15)];
  }
  constexpr int kRequests = 48'000;
  for (std::uint64_t n = 1; n <= kRequests; ++n) {
    ++requests[map.GroupsFor(kEngines, n * 0x9e3779b97f4a7c15ULL, 1)[0]
                 .mNumber];
  }
  for (const auto& it : sizes) {
    CAPTURE(it.second);
    CHECK(requests[it.first] ==
          doctest::Approx(it.second * kRequests / 240.0).epsilon(0.1));
  }
}
