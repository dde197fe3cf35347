#include "simulated_fleet.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>

using namespace bilberrytrail;
using namespace bilberrytrail::relays;

namespace {

constexpr std::size_t kWide = 3;
constexpr std::size_t kNarrow = 54;
// Within these times after the first daemon, 95 in 100 and all others have a
// configuration in force.
constexpr Duration kMostWithin = 1s;
constexpr Duration kAllWithin = 2500ms;

constexpr Duration kChangeGap = 3s;
constexpr int kChanges = 3;

// Puts some configurations, one after the other.
void
ChangeConfig(SimulatedFleet& aFleet, Duration aGap = kChangeGap)
{
  for (int n = 0; n < kChanges; ++n) {
    aFleet.PutConfig();
    aFleet.RunFor(aGap);
  }
}

// Keeps a daemon's processor busy, so that it reads what arrives up to 1 s
// late.
void
Starve(SimulatedFleet& aFleet, std::size_t aNumber)
{
  aFleet.mLoop.Spawn([&aFleet, aNumber] {
    while (aFleet.mLoop.Sleep(200ms)) {
      aFleet.At(aNumber).mVm.Compute(120ms);
    }
  });
}

void
CheckDelays(const SimulatedFleet& aFleet)
{
  const auto delays = aFleet.Delays();
  REQUIRE_FALSE(delays.empty());
  const auto most = delays[delays.size() * 95 / 100];
  CHECK(ToMillis(most) <= ToMillis(kMostWithin));
  CHECK(ToMillis(delays.back()) <= ToMillis(kAllWithin));
}

} // namespace

// Guards against relays that fail one after the other, and configurations that
// are in force late, once callers change what the stores hold: each reply was
// built anew, with cache changes and configuration, and each daemon that was
// asked in place of a late relay began to follow all stores.
TEST_CASE("relays stay in time while the stores change")
{
  struct Row
  {
    std::string mName;
    double mEventsPerSecond;
    std::size_t mConfigBytes;
    Duration mChangeGap;
    std::function<void(SimulatedFleet&)> mDisturb;
    // Daemons that may follow the stores: the possible relays, and those that
    // take the place of lost ones.
    std::size_t mMostStoreFollowers = kWide;
  };
  const auto none = [](SimulatedFleet&) {};
  const Row rows[] = {
    { "few changes", 200, 12'000, kChangeGap, none },
    { "many changes", 2500, 12'000, kChangeGap, none },
    { "1,400 routes", 1500, 320'000, kChangeGap, none },
    { "1,400 routes, changes in series", 1500, 320'000, 400ms, none },
    { "the relay is frozen",
      1500,
      12'000,
      kChangeGap,
      [](SimulatedFleet& aFleet) {
        const auto relay = aFleet.MostQueried();
        aFleet.LeaveOut(relay);
        aFleet.At(relay).mVm.FreezeUntil(MonotonicNow() + 6s);
      } },
    { "the relay has stopped",
      1500,
      12'000,
      kChangeGap,
      [](SimulatedFleet& aFleet) {
        const auto relay = aFleet.MostQueried();
        aFleet.LeaveOut(relay);
        aFleet.Stop(relay);
      } },
    { "the table service turns the relay away",
      1500,
      12'000,
      kChangeGap,
      [](SimulatedFleet& aFleet) {
        const auto relay = aFleet.MostQueried();
        aFleet.LeaveOut(relay);
        aFleet.At(relay).mFeed.mIsTurnedAway = true;
      } },
    { "the table service turns a third of the daemons away",
      1500,
      12'000,
      kChangeGap,
      [](SimulatedFleet& aFleet) {
        for (std::size_t n = 0; n < kWide + kNarrow; n += 3) {
          aFleet.At(n).mFeed.mIsTurnedAway = true;
        }
      } },
    { "the table service turns all relays away",
      1500,
      12'000,
      kChangeGap,
      [](SimulatedFleet& aFleet) {
        for (std::size_t n = 0; n < kWide; ++n) {
          aFleet.LeaveOut(n);
          aFleet.At(n).mFeed.mIsTurnedAway = true;
        }
      },
      2 * kWide },
    { "callers take the processor time of some daemons",
      1500,
      12'000,
      kChangeGap,
      [](SimulatedFleet& aFleet) {
        for (std::size_t n = kWide; n < kWide + kNarrow; n += 4) {
          aFleet.LeaveOut(n);
          Starve(aFleet, n);
        }
      } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    SimulatedFleet fleet(kWide, kNarrow);
    fleet.mConfigBytes = row.mConfigBytes;
    fleet.Run([&] {
      fleet.mSite.SetEventRate(row.mEventsPerSecond);
      fleet.RunFor(3s);
      fleet.Forget();
      fleet.RunFor(1s);
      row.mDisturb(fleet);
      ChangeConfig(fleet, row.mChangeGap);
      fleet.RunFor(kAllWithin);
      CheckDelays(fleet);
      for (const auto& failed : fleet.FailedCalls()) {
        CAPTURE(failed.first);
        CHECK(failed.second == 0);
      }
      CHECK(fleet.StoreFollowers().size() <= row.mMostStoreFollowers);
    });
  }
}

// Guards against daemons behind a relay that go on with an old configuration
// after connections fell silent: those to the relay, those to the table service
// that a daemon keeps for when it gives up its relay, or all.
TEST_CASE("all daemons are up to date soon after connections fell silent")
{
  struct Row
  {
    bool mPeers;
    bool mTables;
  };
  for (const Row& row :
       { Row{ true, false }, Row{ false, true }, Row{ true, true } }) {
    for (const auto phase : { 0ms, 230ms, 490ms, 710ms }) {
      CAPTURE(row.mPeers);
      CAPTURE(row.mTables);
      CAPTURE(phase.count());
      SimulatedFleet fleet(kWide, kNarrow);
      fleet.Run([&] {
        fleet.RunFor(1s + phase);
        if (row.mPeers) {
          fleet.SilencePeers();
        }
        if (row.mTables) {
          fleet.SilenceTables();
        }
        const auto silentAt = MonotonicNow();
        const auto before = fleet.At(0).Config();
        fleet.PutConfig();
        fleet.RunFor(2900ms);
        CHECK(MonotonicNow() - silentAt <= 3s);
        for (std::size_t n = 0; n < kWide + kNarrow; ++n) {
          CAPTURE(n);
          CHECK(fleet.At(n).Config() > before);
        }
      });
    }
  }
}
