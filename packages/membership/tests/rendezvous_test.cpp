#include <bilberrytrail/membership/rendezvous.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace bilberrytrail;

namespace {

std::vector<HomeCandidate>
MakeCandidates(std::size_t aCount)
{
  std::vector<HomeCandidate> all;
  for (std::size_t n = 0; n < aCount; ++n) {
    all.push_back({ DaemonId("10.0.0." + std::to_string(n) + ":7000#1"),
                    ZoneId("zone-" + std::to_string(n % 3)),
                    1.0 });
  }
  return all;
}

std::string
KeyOf(int aIndex)
{
  return "server-" + std::to_string(aIndex);
}

} // namespace

TEST_CASE("adding or removing a candidate moves only its own keys")
{
  constexpr int kKeys = 4000;
  for (const std::size_t count : { 2UL, 9UL, 40UL }) {
    CAPTURE(count);
    const auto all = MakeCandidates(count);
    auto fewer = all;
    const DaemonId gone = fewer.front().mId;
    fewer.erase(fewer.begin());
    int moved = 0;
    for (int n = 0; n < kKeys; ++n) {
      const DaemonId home = HomeOf(KeyOf(n), all);
      if (home == gone) {
        ++moved;
        CHECK(HomesOf(KeyOf(n), all, 2).at(1) == HomeOf(KeyOf(n), fewer));
      } else {
        CHECK(HomeOf(KeyOf(n), fewer) == home);
      }
    }
    const double share =
      static_cast<double>(kKeys) / static_cast<double>(count);
    CHECK(moved > 0.6 * share);
    CHECK(moved < 1.5 * share);
  }
}

TEST_CASE("a backend server's home is in its zone if the zone has a candidate")
{
  const auto all = MakeCandidates(9);
  std::map<DaemonId, ZoneId> zones;
  for (const auto& it : all) {
    zones[it.mId] = it.mZone;
  }
  for (int n = 0; n < 200; ++n) {
    const ZoneId zone("zone-" + std::to_string(n % 3));
    CHECK(zones.at(HomeOf(KeyOf(n), zone, all)) == zone);
    CHECK(HomeOf(KeyOf(n), ZoneId("other"), all) == HomeOf(KeyOf(n), all));
  }
}

TEST_CASE("keys are distributed in proportion to weights; weight 0 gets none")
{
  auto all = MakeCandidates(3);
  all[1].mWeight = 2;
  all[2].mWeight = 0;
  std::map<DaemonId, int> counts;
  for (int n = 0; n < 6000; ++n) {
    ++counts[HomeOf(KeyOf(n), all)];
  }
  CHECK(counts[all[2].mId] == 0);
  CHECK(counts[all[1].mId] > 3700);
  CHECK(counts[all[1].mId] < 4300);
  CHECK(HomeOf("key", std::span<const HomeCandidate>()).IsEmpty());
}

TEST_CASE("homes do not depend on the order of the candidates")
{
  const auto all = MakeCandidates(7);
  const std::vector<HomeCandidate> reversed(all.rbegin(), all.rend());
  for (int n = 0; n < 200; ++n) {
    CHECK(HomesOf(KeyOf(n), all, 3) == HomesOf(KeyOf(n), reversed, 3));
  }
}
