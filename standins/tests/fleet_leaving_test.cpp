#include "fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::size_t kDaemons = 4;
constexpr Duration kRequestGap = 40ms;
constexpr Duration kTrafficTime = 3s;
// Requests that were on their way when a daemon got the first answer that says
// leaving arrive within this time.
constexpr Duration kOnTheWayTime = 500ms;
// A refusal that takes longer was held back.
constexpr Duration kMaxRefusalTime = 500ms;

// Returns the beginning of the ids of the requests to a daemon.
std::string
IdPrefix(std::size_t aDaemon)
{
  return "d" + std::to_string(aDaemon) + "-";
}

// Requests to all daemons of a site at the same time.
class Callers
{
public:
  Callers(FleetSite& aSite, std::string aTarget)
    : mSite(aSite)
    , mTarget(std::move(aTarget))
  {
  }

  // Sends until aTime has passed, and waits for all answers.
  void Run(Duration aTime)
  {
    const auto end = MonotonicNow() + aTime;
    while (MonotonicNow() < end) {
      for (std::size_t n = 0; n < mSite.mDaemons.size(); ++n) {
        ++mRunning;
        mSite.mLoop.Spawn([this, n] { SendOne(n); });
      }
      (void)mSite.mLoop.Sleep(kRequestGap);
    }
    CHECK(mSite.Await([this] { return mRunning == 0; }));
  }

  int mServed = 0;
  int mRefused = 0;
  // Refusals that came late, or without a time to return after.
  int mPoorRefusals = 0;
  // The longest time to return after that a refusal named, in seconds.
  double mLongestDelay = 0;

private:
  void SendOne(std::size_t aDaemon)
  {
    const auto number = std::to_string(++mSent);
    const auto start = MonotonicNow();
    const auto response =
      mSite.Send(aDaemon, IdPrefix(aDaemon) + number, mTarget + number);
    --mRunning;
    if (response && response.value().mStatus == 200) {
      ++mServed;
      return;
    }
    ++mRefused;
    const auto delay =
      response ? FindHeader(response.value().mHeaders, "Retry-After") : "";
    const double seconds = std::strtod(std::string(delay).c_str(), nullptr);
    const bool isGood =
      seconds > 0 && MonotonicNow() - start <= kMaxRefusalTime;
    mLongestDelay = std::max(mLongestDelay, seconds);
    mPoorRefusals += isGood ? 0 : 1;
  }

  FleetSite& mSite;
  const std::string mTarget;
  int mSent = 0;
  int mRunning = 0;
};

// Returns how many requests reached a server from a daemon although it had been
// told, by an answer sent at aFrom or later, that the server is leaving.
std::ptrdiff_t
CountLate(const FleetServer& aServer, std::size_t aDaemon, Instant aFrom)
{
  const auto arrivals = aServer.ArrivalsOf(IdPrefix(aDaemon));
  const auto first = std::ranges::lower_bound(arrivals, aFrom);
  return first == arrivals.end()
           ? 0
           : std::ranges::count_if(first, arrivals.end(), [&](Instant aAt) {
               return aAt > *first + kOnTheWayTime;
             });
}

// Returns the most requests that reached a server from a daemon during a pause
// that it asked for by refusing one of them at aFrom or later.
std::ptrdiff_t
MostInPause(const FleetServer& aServer,
            std::size_t aDaemon,
            Instant aFrom,
            Duration aPause)
{
  const auto arrivals = aServer.ArrivalsOf(IdPrefix(aDaemon));
  std::ptrdiff_t most = 0;
  for (auto it = std::ranges::lower_bound(arrivals, aFrom);
       it != arrivals.end();
       ++it) {
    const auto from = std::ranges::upper_bound(arrivals, *it + kOnTheWayTime);
    const auto to = std::ranges::lower_bound(arrivals, *it + aPause);
    most = std::max(most, to - from);
  }
  return most;
}

struct PauseRow
{
  const char* mName;
  const char* mTarget;
  // Servers of the site that refuse requests and ask for a pause.
  std::vector<std::size_t> mPaused;
  const char* mRetryAfter;
  // All servers of the service refuse.
  bool mIsAll = false;
  // The table service fails meanwhile.
  bool mHasOutage = false;
};

struct LeavingRow
{
  const char* mName;
  const char* mTarget;
  // Servers of the site that say that they leave.
  std::vector<std::size_t> mLeaving;
  // All servers of the service leave.
  bool mIsAll = false;
  // The leaving servers refuse requests as not run.
  bool mIsFull = false;
  // All engines break streams off, so that they are resumed.
  bool mIsCut = false;
  // The table service fails meanwhile.
  bool mHasOutage = false;
};

} // namespace

// Guards against requests to a server that has said in an answer that it is
// leaving, while its row still shows it as ready.
TEST_CASE("a server whose answers say that it leaves gets no more requests")
{
  const LeavingRow rows[] = {
    { "one of two engines", "/stream/", { 0 } },
    { "one of two engines, streams break off",
      "/stream/",
      { 0 },
      false,
      false,
      true },
    { "one of two plain servers", "/read/", { 3 } },
    { "one of two plain servers, full", "/read/", { 3 }, false, true },
    { "calls that run once, table service down",
      "/order/",
      { 2 },
      false,
      false,
      false,
      true },
    { "both engines", "/stream/", { 0, 1 }, true },
    { "both plain servers", "/order/", { 2, 3 }, true }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    FleetSite site;
    if (row.mIsCut) {
      site.mServers[0]->SetCutAfter(2);
      site.mServers[1]->SetCutAfter(4);
    }
    site.Run(kDaemons, [&] {
      Callers before(site, row.mTarget);
      before.Run(500ms);
      if (row.mHasOutage) {
        site.mTable.SetFault(RowTableFault::Busy);
      }
      for (const auto n : row.mLeaving) {
        site.mServers[n]->SetLeaving(true);
        site.mServers[n]->SetFull(row.mIsFull);
      }
      const auto said = MonotonicNow();
      Callers callers(site, row.mTarget);
      callers.Run(kTrafficTime);
      for (const auto n : row.mLeaving) {
        CAPTURE(n);
        for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
          CHECK(CountLate(*site.mServers[n], daemon, said) == 0);
        }
      }
      CHECK(callers.mServed > 0);
      // A stream that breaks off at the only server left is cut.
      if (!row.mIsCut) {
        CHECK((callers.mRefused > 0) == row.mIsAll);
        CHECK(callers.mPoorRefusals == 0);
      }
    });
  }
}

// Guards against a server that stays unused after its restart under the same
// id.
TEST_CASE("a server that said that it leaves is used again once restarted")
{
  FleetSite site;
  site.Run(2, [&] {
    auto& server = *site.mServers[3];
    server.SetLeaving(true);
    Callers callers(site, "/read/");
    callers.Run(1s);
    const auto count = server.Arrivals().size();
    callers.Run(500ms);
    CHECK(server.Arrivals().size() == count);
    server.SetLeaving(false);
    server.Restart();
    site.PutServer(3);
    callers.Run(1500ms);
    CHECK(server.Arrivals().size() > count);
    CHECK(callers.mRefused == 0);
  });
}

// Guards against requests to a server that has said that it leaves before the
// list named its start: its row looked like that of a later start.
TEST_CASE("a server that leaves before it is listed gets no more requests")
{
  FleetSite site;
  site.Run(1, [&] {
    auto& server = *site.mServers[3];
    Callers callers(site, "/read/");
    callers.Run(500ms);
    server.Restart();
    (void)site.mLoop.Sleep(50ms);
    server.SetLeaving(true);
    callers.Run(500ms);
    // It is listed while nobody calls.
    (void)site.mLoop.Sleep(500ms);
    site.PutServer(3);
    (void)site.mLoop.Sleep(1500ms);
    const auto count = server.Arrivals().size();
    CHECK(count > 0);
    callers.Run(500ms);
    CHECK(server.Arrivals().size() == count);
    CHECK(callers.mRefused == 0);
  });
}

// Guards against requests to a server that has refused one with 503 and a time
// for which it wants none.
TEST_CASE("a server that refuses with Retry-After gets no requests until then")
{
  const PauseRow rows[] = {
    { "one of two engines", "/stream/", { 0 }, "1.5" },
    { "one of two plain servers", "/read/", { 3 }, "1.5" },
    { "calls that run once, long pause, table service down",
      "/order/",
      { 2 },
      "30",
      false,
      true },
    { "both engines", "/stream/", { 0, 1 }, "2", true },
    { "both plain servers", "/read/", { 2, 3 }, "1.25", true }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    const double seconds = std::strtod(row.mRetryAfter, nullptr);
    FleetSite site;
    site.Run(kDaemons, [&] {
      Callers before(site, row.mTarget);
      before.Run(500ms);
      if (row.mHasOutage) {
        site.mTable.SetFault(RowTableFault::Busy);
      }
      for (const auto n : row.mPaused) {
        site.mServers[n]->SetRetryAfter(row.mRetryAfter);
        site.mServers[n]->SetFull(true);
      }
      const auto began = MonotonicNow();
      Callers callers(site, row.mTarget);
      callers.Run(kTrafficTime);
      for (const auto n : row.mPaused) {
        CAPTURE(n);
        for (std::size_t daemon = 0; daemon < kDaemons; ++daemon) {
          CHECK(MostInPause(*site.mServers[n],
                            daemon,
                            began,
                            FromMillis(1000 * seconds)) == 0);
        }
      }
      CHECK((callers.mServed > 0) == !row.mIsAll);
      CHECK((callers.mRefused > 0) == row.mIsAll);
      CHECK(callers.mPoorRefusals == 0);
      CHECK(callers.mLongestDelay <= seconds);
    });
  }
}

// Guards against a server that stays unused after its pause, or after a restart
// under the same id.
TEST_CASE("a server that asked for a pause is used again after it")
{
  for (const bool isRestarted : { false, true }) {
    CAPTURE(isRestarted);
    FleetSite site;
    site.Run(2, [&] {
      auto& server = *site.mServers[3];
      server.SetRetryAfter(isRestarted ? "60" : "1.5");
      server.SetFull(true);
      Callers callers(site, "/read/");
      callers.Run(500ms);
      server.SetFull(false);
      const auto count = server.Arrivals().size();
      CHECK(count > 0);
      if (isRestarted) {
        server.Restart();
        site.PutServer(3);
      }
      callers.Run(2500ms);
      CHECK(server.Arrivals().size() > count);
      CHECK(callers.mRefused == 0);
    });
  }
}
