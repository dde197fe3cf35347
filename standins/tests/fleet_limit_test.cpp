#include "fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::size_t kDaemons = 4;
// The limit counts from this time after a server first named it, in windows of
// kWindow, with half as much again and kSlack requests allowed.
constexpr Duration kStableTime = 3s;
constexpr Duration kWindow = 4s;
constexpr double kTolerance = 1.5;
constexpr double kSlack = 5;
constexpr Duration kTrafficTime = kStableTime + kWindow + 2s;
constexpr Duration kRequestGap = 40ms;
// A refusal that takes longer was held back.
constexpr Duration kMaxRefusalTime = 500ms;

// Returns the most arrivals in any window that begins at or after aFrom.
std::size_t
MostInWindow(const std::vector<Instant>& aArrivals, Instant aFrom)
{
  std::size_t most = 0;
  for (auto it = aArrivals.begin(); it != aArrivals.end(); ++it) {
    if (*it >= aFrom) {
      const auto end = std::ranges::lower_bound(aArrivals, *it + kWindow);
      most = std::max(most, static_cast<std::size_t>(end - it));
    }
  }
  return most;
}

// Returns how many requests a server with this limit may get in a window.
double
AllowedInWindow(double aLimit)
{
  return kTolerance * aLimit * ToMillis(kWindow) / 1000 + kSlack;
}

// Checks that no server of the site got more than its limit allows.
void
CheckLimits(const FleetSite& aSite, Instant aNamedAt, double aLimit)
{
  for (const auto& it : aSite.mServers) {
    const auto most = MostInWindow(it->Arrivals(), aNamedAt + kStableTime);
    CHECK(static_cast<double>(most) <= AllowedInWindow(aLimit));
  }
}

// Requests that some daemons of a site get at the same time.
class Traffic
{
public:
  // Sends to the daemons from aFirst on.
  Traffic(FleetSite& aSite, std::string aTarget, std::size_t aFirst = 0)
    : mSite(aSite)
    , mTarget(std::move(aTarget))
    , mFirst(aFirst)
  {
  }

  // Sends until aTime has passed, and waits for all answers.
  void Run(Duration aTime);

  int mServed = 0;
  int mRefused = 0;
  int mLateRefusals = 0;
  int mRefusalsWithoutDelay = 0;

private:
  void SendOne(std::size_t aDaemon);

  FleetSite& mSite;
  const std::string mTarget;
  const std::size_t mFirst;
  int mSent = 0;
  int mRunning = 0;
};

void
Traffic::Run(Duration aTime)
{
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    for (std::size_t n = mFirst; n < mSite.mDaemons.size(); ++n) {
      ++mRunning;
      mSite.mLoop.Spawn([this, n] { SendOne(n); });
    }
    (void)mSite.mLoop.Sleep(kRequestGap);
  }
  CHECK(mSite.Await([this] { return mRunning == 0; }));
}

void
Traffic::SendOne(std::size_t aDaemon)
{
  const auto id = mTarget + std::to_string(++mSent);
  // Prompts of many sessions, so that their shared parts differ.
  const auto target = mTarget + std::to_string(mSent);
  const auto start = MonotonicNow();
  const auto response = mSite.Send(aDaemon, id, target);
  --mRunning;
  if (response && response.value().mStatus == 200) {
    ++mServed;
    return;
  }
  ++mRefused;
  mLateRefusals += MonotonicNow() - start > kMaxRefusalTime ? 1 : 0;
  const auto delay =
    response ? FindHeader(response.value().mHeaders, "Retry-After") : "";
  mRefusalsWithoutDelay +=
    std::strtod(std::string(delay).c_str(), nullptr) > 0 ? 0 : 1;
}

// Checks that some requests were served, and that all others were refused at
// once and were told when to return.
void
CheckAnswers(const Traffic& aTraffic)
{
  CHECK(aTraffic.mServed > 0);
  CHECK(aTraffic.mLateRefusals == 0);
  CHECK(aTraffic.mRefusalsWithoutDelay == 0);
}

// Makes all servers of a site name a limit. Returns the time.
Instant
NameLimits(FleetSite& aSite, double aLimit)
{
  for (const auto& it : aSite.mServers) {
    it->SetLimit(std::to_string(aLimit));
  }
  return MonotonicNow();
}

struct LimitRow
{
  const char* mName;
  const char* mTarget;
  // Servers of the site that name a limit.
  std::vector<std::size_t> mLimited;
  const char* mLimit;
  // Every server of the service names it, so that some requests are refused.
  bool mIsAll;
  // Time for which the daemons have known each other before.
  Duration mUptime = 0s;
};

} // namespace

// Guards against sending a server more than the rate that it names: the rate
// holds for all daemons together, and for all services.
TEST_CASE("all daemons together keep to the limit that a server names")
{
  const LimitRow rows[] = {
    { "one of two engines", "/stream/", { 0 }, "1", false },
    { "both engines", "/stream/", { 0, 1 }, "2.5", true },
    { "one of two plain servers", "/read/", { 3 }, "1.5", false },
    { "both plain servers, calls that run once",
      "/order/",
      { 2, 3 },
      "1",
      true },
    // Homes that use the whole limit.
    { "both engines, daemons that run for long",
      "/stream/",
      { 0, 1 },
      "2.5",
      true,
      16s }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    FleetSite site;
    site.Run(kDaemons, [&] {
      (void)site.mLoop.Sleep(row.mUptime);
      Traffic traffic(site, row.mTarget);
      traffic.Run(500ms);
      for (const auto n : row.mLimited) {
        site.mServers[n]->SetLimit(row.mLimit);
      }
      const auto named = MonotonicNow();
      traffic.Run(kTrafficTime);
      CAPTURE(traffic.mServed);
      CAPTURE(traffic.mRefused);
      const double limit = std::strtod(row.mLimit, nullptr);
      for (const auto n : row.mLimited) {
        const auto& arrivals = site.mServers[n]->Arrivals();
        const auto most = MostInWindow(arrivals, named + kStableTime);
        CHECK(static_cast<double>(most) <= AllowedInWindow(limit));
        // A limited server stays in use.
        CHECK(most >= 1);
      }
      CheckAnswers(traffic);
      CHECK((traffic.mRefused > 0) == row.mIsAll);
      for (const auto n : row.mLimited) {
        site.mServers[n]->SetLimit("");
      }
    });
  }
}

// Guards against daemons that send at their own pace once the home of a server
// has stopped. The first daemons stop one after the other, so that every home
// but the last one changes; only the last daemon gets requests.
TEST_CASE("the limit that a server names holds while its homes stop")
{
  constexpr double kLimit = 2;
  for (const char* target : { "/stream/", "/read/" }) {
    CAPTURE(std::string(target));
    FleetSite site;
    site.Run(kDaemons, [&] {
      const auto named = NameLimits(site, kLimit);
      Traffic traffic(site, target, kDaemons - 1);
      for (std::size_t n = 0; n + 1 < kDaemons; ++n) {
        traffic.Run(1s);
        site.mDaemons[n]->Drain();
      }
      traffic.Run(kTrafficTime);
      CheckAnswers(traffic);
      CheckLimits(site, named, kLimit);
    });
  }
}

// Guards against daemons that don't know the limit yet, and against homes that
// change because daemons start: they send to servers that named a limit before.
TEST_CASE("the limit that a server names holds while daemons start")
{
  constexpr double kLimit = 2;
  for (const char* target : { "/stream/", "/order/" }) {
    CAPTURE(std::string(target));
    FleetSite site;
    site.Run(1, [&] {
      const auto named = NameLimits(site, kLimit);
      Traffic traffic(site, target);
      traffic.Run(1s);
      while (site.mDaemons.size() < kDaemons) {
        site.StartDaemon();
        const auto newest = site.mDaemons.size() - 1;
        CHECK(site.Await([&] { return site.Readiness(newest) == 200; }));
        traffic.Run(1s);
      }
      traffic.Run(kTrafficTime);
      CheckAnswers(traffic);
      CheckLimits(site, named, kLimit);
    });
  }
}

// Guards against two homes that both use the whole limit: a daemon that started
// is the home of a group in its own list, while the one before cannot read the
// list of daemons and stays the home in its own.
TEST_CASE("the limit that a server names holds while lists of daemons differ")
{
  constexpr double kLimit = 5;
  // A daemon that starts has read the list of daemons after this time.
  constexpr Duration kReadTime = 1200ms;
  constexpr Duration kSettledTime = 16s;
  FleetSite site;
  site.Run(1, [&] {
    const auto named = NameLimits(site, kLimit);
    (void)site.mLoop.Sleep(kReadTime);
    site.StartDaemon();
    (void)site.mLoop.Sleep(kReadTime);
    CHECK(site.Readiness(1) == 200);
    site.mTable.SetFault(RowTableFault::Busy, "bilberrytrail");
    Traffic streams(site, "/stream/");
    Traffic reads(site, "/read/");
    bool hasEnded = false;
    site.mLoop.Spawn([&] {
      reads.Run(kSettledTime + kWindow);
      hasEnded = true;
    });
    streams.Run(kSettledTime + kWindow);
    CHECK(site.Await([&] { return hasEnded; }));
    CheckAnswers(streams);
    CheckAnswers(reads);
    CheckLimits(site, named, kLimit);
  });
}
