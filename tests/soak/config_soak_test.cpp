#include "config_play.h"
#include "soak_seeds.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;
using namespace bilberrytrail::soak;

namespace {

// Faults of one play that are printed; the others are counted.
constexpr std::size_t kMostPrinted = 4;

// Seeds of each run of all tests: one with a relay, one without, and those that
// were red once:
//
// - 25: keys that were added while daemons were turned away are denied, since
//   they then find an invalid version
const std::vector<std::uint64_t> kSeeds{ 1, 2, 25 };

} // namespace

// Guards against requests that are refused or run as an old configuration says,
// at daemons that nothing has disturbed for 3 s, and refused so at any daemon.
// BILBERRYTRAIL_SOAK_SEEDS plays so many seeds from BILBERRYTRAIL_SOAK_FIRST
// on: in three zones and, with the odd numbers, in one whose daemons follow one
// of them; each third seed has one kind of disturbance only, in series.
TEST_CASE("configurations in series are in force in time under disturbances")
{
  for (const auto seed : SeedsToPlay(kSeeds)) {
    ConfigPlayShape shape;
    shape.mZones = seed % 2 == 0 ? 3 : 1;
    if (seed % 3 == 0) {
      const auto kinds = AllDisturbances();
      shape.mKinds = { kinds[seed / 3 % kinds.size()] };
    }
    CAPTURE(seed);
    const SoakFolder folder("config", seed);
    ConfigPlay play(seed, folder.Path(), shape);
    const auto faults = play.Run();
    MESSAGE(play.Summary());
    for (std::size_t n = 0; n < std::min(faults.size(), kMostPrinted); ++n) {
      MESSAGE(faults[n]);
    }
    CHECK(faults.empty());
    folder.EndWith(faults.empty());
  }
}
