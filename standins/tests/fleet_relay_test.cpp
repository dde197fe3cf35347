#include "fleet_site.h"

#include <doctest/doctest.h>

#include <set>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

// More than a zone has without relays.
constexpr std::size_t kDaemons = 8;
// Time until the daemons know each other and follow their relay.
constexpr Duration kSettleTime = 2500ms;
// Time within which all daemons have a configuration in force: while nothing is
// disturbed, and when a relay is.
constexpr Duration kApplyTime = 1s;
constexpr Duration kDisturbedTime = 2500ms;
constexpr int kManyKeys = 1400;

std::string
KeyOf(std::uint64_t aVersion)
{
  return "key-" + std::to_string(aVersion);
}

// Puts a configuration with a key of its own, and so many others.
void
PutConfig(FleetSite& aSite, std::uint64_t aVersion, int aOtherKeys = 0)
{
  std::vector<std::string> keys{ KeyOf(aVersion) };
  for (int n = 0; n < aOtherKeys; ++n) {
    keys.push_back("other-" + std::to_string(aVersion) + "-" +
                   std::to_string(n));
  }
  aSite.mTable.Put("op", "config", SmallSiteConfig(aVersion, keys));
}

// Returns the daemons that serve a key at some time until the end of aTime, of
// those that are asked.
std::set<std::size_t>
ServedBy(FleetSite& aSite,
         const std::set<std::size_t>& aAsked,
         const std::string& aKey,
         Duration aTime)
{
  static int sent = 0;
  std::set<std::size_t> served;
  const auto end = MonotonicNow() + aTime;
  while (served.size() < aAsked.size() && MonotonicNow() < end) {
    for (const auto n : aAsked) {
      const auto id = "s" + std::to_string(++sent);
      if (!served.contains(n) && aSite.Status(n, id, "/read/1", aKey) == 200) {
        served.insert(n);
      }
    }
    (void)aSite.mLoop.Sleep(20ms);
  }
  return served;
}

std::set<std::size_t>
AllBut(std::optional<std::size_t> aLeftOut)
{
  std::set<std::size_t> all;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    if (n != aLeftOut) {
      all.insert(n);
    }
  }
  return all;
}

} // namespace

// Guards against configurations that are in force late behind a relay, small
// ones and large ones, alone and in series.
TEST_CASE("all daemons behind a relay have each configuration in force in time")
{
  for (const int keys : { 0, kManyKeys }) {
    CAPTURE(keys);
    FleetSite site;
    site.Run(kDaemons, [&] {
      (void)site.mLoop.Sleep(kSettleTime);
      std::uint64_t version = 1;
      for (int n = 0; n < 3; ++n) {
        PutConfig(site, ++version, keys);
        CHECK(ServedBy(site, AllBut({}), KeyOf(version), kApplyTime) ==
              AllBut({}));
      }
      for (int n = 0; n < 5; ++n) {
        PutConfig(site, ++version, keys);
        (void)site.mLoop.Sleep(150ms);
      }
      CHECK(ServedBy(site, AllBut({}), KeyOf(version), kApplyTime) ==
            AllBut({}));
      for (const auto n : AllBut({})) {
        CHECK(site.Status(n, "old", "/read/1", KeyOf(version - 1)) == 401);
      }
    });
  }
}

// Guards against a zone that asks the table service as often as if it had no
// relay.
TEST_CASE("daemons behind a relay spare the table service their calls")
{
  FleetSite site;
  site.Run(kDaemons, [&] {
    (void)site.mLoop.Sleep(kSettleTime);
    const auto before = site.mTable.Calls();
    (void)site.mLoop.Sleep(7s);
    // One daemon has a wait for each table in 0.7 s, and each reads the list of
    // the others once in 10 s.
    CHECK(site.mTable.Calls() - before <= 20 + kDaemons + 4);
  });
}

// Guards against a zone that is late when its relay stops, or when the table
// service does not answer the relay. Each daemon is disturbed in turn, so that
// the relay is.
TEST_CASE("configurations are in force in time while any daemon is disturbed")
{
  enum class Disturbance : unsigned char
  {
    TurnedAway,
    Stopped
  };
  for (const auto it : { Disturbance::TurnedAway, Disturbance::Stopped }) {
    CAPTURE(static_cast<int>(it));
    FleetSite site;
    site.mStopTime = 4s;
    site.Run(kDaemons, [&] {
      (void)site.mLoop.Sleep(kSettleTime);
      std::uint64_t version = 1;
      auto asked = AllBut({});
      // Some daemons are left to serve.
      for (std::size_t n = 0; n + 3 < kDaemons; ++n) {
        CAPTURE(n);
        if (it == Disturbance::TurnedAway) {
          site.mGates[n]->mIsClosed = true;
          asked = AllBut(n);
        } else {
          site.mDaemons[n]->Drain();
          asked.erase(n);
        }
        PutConfig(site, ++version);
        CHECK(ServedBy(site, asked, KeyOf(version), kDisturbedTime) == asked);
        PutConfig(site, ++version);
        CHECK(ServedBy(site, asked, KeyOf(version), kDisturbedTime) == asked);
        site.mGates[n]->mIsClosed = false;
      }
    });
  }
}

// Guards against daemons behind a relay that stay with what the table service
// lost when it came back from an older copy.
TEST_CASE("daemons behind a relay follow a table that came back from a copy")
{
  FleetSite site;
  site.mTable.SetEra(1);
  site.Run(kDaemons, [&] {
    (void)site.mLoop.Sleep(kSettleTime);
    site.mTable.TakeCopy();
    PutConfig(site, 2);
    CHECK(ServedBy(site, AllBut({}), KeyOf(2), kApplyTime) == AllBut({}));
    site.mTable.SetFault(RowTableFault::Busy);
    (void)site.mLoop.Sleep(500ms);
    site.mTable.Restore();
    site.mTable.SetFault(RowTableFault::None);
    PutConfig(site, 2);
    PutConfig(site, 3);
    CHECK(ServedBy(site, AllBut({}), KeyOf(3), 4s) == AllBut({}));
    PutConfig(site, 4);
    CHECK(ServedBy(site, AllBut({}), KeyOf(4), kDisturbedTime) == AllBut({}));
  });
}

// Guards against a daemon that starts behind a relay and takes long for what
// the others have.
TEST_CASE("a daemon that starts behind a relay serves the newest configuration")
{
  FleetSite site;
  site.Run(kDaemons - 1, [&] {
    (void)site.mLoop.Sleep(kSettleTime);
    PutConfig(site, 2, kManyKeys);
    site.StartDaemon();
    CHECK(site.Await([&] { return site.Readiness(kDaemons - 1) == 200; }));
    CHECK(ServedBy(site, { kDaemons - 1 }, KeyOf(2), kApplyTime).size() == 1);
    (void)site.mLoop.Sleep(kSettleTime);
    PutConfig(site, 3, kManyKeys);
    CHECK(ServedBy(site, AllBut({}), KeyOf(3), kApplyTime) == AllBut({}));
  });
}
