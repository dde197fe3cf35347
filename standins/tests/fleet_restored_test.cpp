#include "fleet_site.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr Duration kAwayTime = 500ms;
// Time within which a change is in force after the table service is back.
constexpr Duration kApplyTime = 3s;

// The same for a daemon whose calls got no answer for some time.
constexpr Duration kCutOffTime = 7s;

// Takes the table service away and brings it back from its copy.
void
Lose(FleetSite& aSite)
{
  aSite.mTable.SetFault(RowTableFault::Busy);
  (void)aSite.mLoop.Sleep(kAwayTime);
  aSite.mTable.Restore();
  aSite.mTable.SetFault(RowTableFault::None);
}

// Returns whether a daemon serves reads by a key within a time.
bool
Serves(FleetSite& aSite,
       std::size_t aDaemon,
       const std::string& aKey,
       Duration aTime = kApplyTime)
{
  static int sent = 0;
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    if (aSite.Status(aDaemon, "s" + std::to_string(++sent), "/read/1", aKey) ==
        200) {
      return true;
    }
    (void)aSite.mLoop.Sleep(20ms);
  }
  return false;
}

} // namespace

// Guards against a confirmed configuration that is never put in force, since
// the numbers of a table service that came back from an older copy are lower
// than those that the daemons have, and against calls without end.
TEST_CASE("changes come into force after a loss of the table service's newest")
{
  for (const int losses : { 1, 2 }) {
    for (const int changes : { 0, 1, 5 }) {
      CAPTURE(losses);
      CAPTURE(changes);
      FleetSite site;
      site.mTable.SetEra(1);
      site.Run(2, [&] {
        site.mTable.TakeCopy();
        std::uint64_t version = 1;
        // These are lost, so that their numbers are given out again.
        for (int n = 0; n < changes; ++n) {
          site.PutConfig(++version, "lost");
        }
        if (changes > 0) {
          REQUIRE(Serves(site, 0, "lost"));
          REQUIRE(Serves(site, 1, "lost"));
        }
        for (int n = 0; n < losses; ++n) {
          Lose(site);
        }
        const auto before = site.mTable.Calls();
        // The operator writes what was lost again, and a change.
        site.PutConfig(version, changes > 0 ? "lost" : "key");
        site.PutConfig(++version, "new");
        for (const std::size_t n : { 0, 1 }) {
          CAPTURE(n);
          CHECK(Serves(site, n, "new"));
          CHECK(site.Status(n, "old", "/read/1", "key") != 200);
        }
        (void)site.mLoop.Sleep(kApplyTime);
        // Until then, the restored table may have lacked the key.
        for (const std::size_t n : { 0, 1 }) {
          CHECK(site.Status(n, "later", "/read/1", "key") == 401);
        }
        CHECK(site.mTable.Calls() - before < 60);
      });
    }
  }
}

// Guards against a configuration that comes back older: the restored table has
// an earlier one until the operator has written again.
TEST_CASE("a configuration in force stays while the table has an older one")
{
  FleetSite site;
  site.mTable.SetEra(1);
  site.Run(1, [&] {
    site.mTable.TakeCopy();
    site.PutConfig(2, "new");
    REQUIRE(Serves(site, 0, "new"));
    Lose(site);
    const auto end = MonotonicNow() + kApplyTime;
    for (int n = 0; MonotonicNow() < end; ++n) {
      CHECK(site.Status(0, "a" + std::to_string(n), "/read/1", "new") == 200);
      CHECK(site.Status(0, "b" + std::to_string(n), "/read/1") != 200);
      (void)site.mLoop.Sleep(50ms);
    }
  });
}

// Guards against a daemon that keeps its rows of before the loss, and passes
// them on: it was cut off or frozen while the table service came back.
TEST_CASE("a daemon cut off over a loss follows the restored table")
{
  for (const int losses : { 1, 2 }) {
    CAPTURE(losses);
    FleetSite site;
    site.mTable.SetEra(1);
    site.Run(2, [&] {
      site.mTable.TakeCopy();
      site.PutConfig(2, "lost");
      site.PutConfig(3, "lost");
      REQUIRE(Serves(site, 0, "lost"));
      REQUIRE(Serves(site, 1, "lost"));
      // Until they know each other.
      (void)site.mLoop.Sleep(1200ms);
      site.mGates[1]->mIsClosed = true;
      for (int n = 0; n < losses; ++n) {
        Lose(site);
      }
      site.PutConfig(3, "lost");
      site.PutConfig(4, "new");
      // By the daemon that reaches the table service.
      CHECK(Serves(site, 0, "new"));
      CHECK(Serves(site, 1, "new", kCutOffTime));
      site.PutConfig(5, "newer");
      (void)site.mLoop.Sleep(kApplyTime);
      site.mGates[1]->mIsClosed = false;
      CHECK(Serves(site, 0, "newer"));
      CHECK(Serves(site, 1, "newer", kCutOffTime));
    });
  }
}

// Guards against a server that is used again although it had said that it
// leaves: the restored table has its earlier row.
TEST_CASE("a server that was leaving is not used while its row is an older one")
{
  for (const bool isGone : { false, true }) {
    CAPTURE(isGone);
    FleetSite site;
    site.mTable.SetEra(1);
    site.Run(1, [&] {
      // A removal soon after the start may be a lapse.
      (void)site.mLoop.Sleep(2s);
      site.mTable.TakeCopy();
      if (isGone) {
        site.mTable.Remove("servers", "i-2");
      } else {
        site.PutServer(2, "draining");
      }
      (void)site.mLoop.Sleep(500ms);
      REQUIRE(site.Status(0, "a", "/read/1") == 200);
      const auto before = site.mServers[2]->Runs().size();
      Lose(site);
      const auto end = MonotonicNow() + kApplyTime;
      for (int n = 0; MonotonicNow() < end; ++n) {
        (void)site.Status(0, "b" + std::to_string(n), "/read/1");
        (void)site.mLoop.Sleep(20ms);
      }
      CHECK(site.mServers[2]->Runs().size() == before);
    });
  }
}

// Guards against daemons that forget each other: the row of one that started
// shortly before the loss is not in the copy.
TEST_CASE("a daemon writes its own row again after a loss")
{
  FleetSite site;
  site.mTable.SetEra(1);
  site.mTable.TakeCopy();
  const auto rows = [&] {
    return static_cast<int>(
             !site.mTable.Value("bilberrytrail", "daemon/d0").empty()) +
           static_cast<int>(
             !site.mTable.Value("bilberrytrail", "daemon/d1").empty());
  };
  site.Run(2, [&] {
    REQUIRE(site.Await([&] { return rows() == 2; }));
    for (int n = 0; n < 2; ++n) {
      Lose(site);
      CHECK(rows() == 0);
      const auto end = MonotonicNow() + kApplyTime;
      while (rows() < 2 && MonotonicNow() < end) {
        (void)site.mLoop.Sleep(20ms);
      }
      CHECK(rows() == 2);
    }
  });
}

// Guards against "no such key" for one that the operator has added but not
// written again yet.
TEST_CASE("unknown keys are not denied while the restored table may lack some")
{
  FleetSite site;
  site.mTable.SetEra(1);
  site.Run(1, [&] {
    site.mTable.TakeCopy();
    site.PutConfig(2, "key");
    // A daemon that has just started doubts as well.
    (void)site.mLoop.Sleep(kApplyTime);
    CHECK(site.Status(0, "a", "/read/1", "unknown") == 401);
    const auto before = site.mTable.Calls();
    Lose(site);
    // Two tables have been read and are waited for.
    REQUIRE(site.Await([&] { return site.mTable.Calls() >= before + 8; }));
    CHECK(site.Status(0, "b", "/read/1", "unknown") == 503);
    CHECK(site.Status(0, "c", "/nowhere/1") == 503);
    CHECK(site.Status(0, "d", "/read/1") == 200);
    (void)site.mLoop.Sleep(kApplyTime);
    CHECK(site.Status(0, "e", "/read/1", "unknown") == 401);
    CHECK(site.Status(0, "f", "/nowhere/1") == 404);
  });
}

// Guards against the same at a daemon that starts between the loss and the
// operator's writing: it has seen no earlier era that would make it doubt.
TEST_CASE("a daemon that starts after a loss denies no key that was lost")
{
  FleetSite site;
  site.mTable.SetEra(1);
  site.Run(1, [&] {
    site.mTable.TakeCopy();
    site.PutConfig(2, "lost");
    REQUIRE(Serves(site, 0, "lost"));
    Lose(site);
    site.StartDaemon();
    const auto end = MonotonicNow() + 1500ms;
    bool hasAnswered = false;
    for (int n = 0; MonotonicNow() < end; ++n) {
      const auto id = "a" + std::to_string(n);
      const auto status = site.Status(1, id, "/read/1", "lost");
      hasAnswered = hasAnswered || status == 503;
      CHECK(status != 401);
      CHECK(site.Status(1, id + "x", "/nowhere/1", "lost") != 404);
      (void)site.mLoop.Sleep(20ms);
    }
    CHECK(hasAnswered);
    // It counts as ready all the same.
    CHECK(site.Readiness(1) == 200);
    site.PutConfig(2, "lost");
    (void)site.mLoop.Sleep(kApplyTime);
    CHECK(site.Status(1, "b", "/read/1", "lost") == 200);
    CHECK(site.Status(1, "c", "/read/1", "key") == 401);
    CHECK(site.Status(1, "d", "/nowhere/1", "lost") == 404);
  });
}

// Guards against a daemon that never reads a large configuration over a narrow
// link: the call after a failed one does not wait for changes, but its answer
// may take as long as that of any other.
TEST_CASE("a change whose answer takes long comes into force after a failure")
{
  FleetSite site;
  site.Run(1, [&] {
    (void)site.mLoop.Sleep(1200ms);
    site.mTable.SetFault(RowTableFault::Busy);
    (void)site.mLoop.Sleep(kCutOffTime);
    site.mGates[0]->mAnswerTime = 900ms;
    site.mTable.SetFault(RowTableFault::None);
    site.PutConfig(2, "new");
    CHECK(Serves(site, 0, "new", kCutOffTime));
  });
}
