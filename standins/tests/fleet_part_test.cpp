#include "fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr int kDaemons = 3;
constexpr Duration kDownTime = 600ms;
// The same for a host that loses power.
constexpr Duration kSilentTime = 1500ms;
// Daemons know of a part that crashes servers this long after the fifth crash.
constexpr Duration kStableTime = 3s;
constexpr std::size_t kCrashes = 5;
constexpr std::size_t kMaxLateArrivals = 3;
// A daemon that starts has read the list of daemons after this time.
constexpr Duration kReadTime = 1200ms;
constexpr Duration kRequestGap = 60ms;
// One request in so many holds the part.
constexpr int kDeadlyOneIn = 4;

// Requests to the daemons of a site, some of which hold a part that crashes
// engines; no two are alike.
class Traffic
{
public:
  Traffic(FleetSite& aSite, Duration aDeadline)
    : mSite(aSite)
    , mDeadline(aDeadline)
  {
  }

  // Sends until aTime has passed, and waits for all answers.
  void Run(Duration aTime);
  // Uses only the daemons from this one on.
  void SetFirst(std::size_t aDaemon) noexcept { mFirst = aDaemon; }

  int mServed = 0;
  int mSound = 0;
  // Refusals of requests that hold the part.
  int mRefusals = 0;

private:
  void SendOne(std::size_t aDaemon, int aNumber);

  FleetSite& mSite;
  const Duration mDeadline;
  std::size_t mFirst = 0;
  int mSent = 0;
  int mRunning = 0;
};

void
Traffic::Run(Duration aTime)
{
  mServed = 0;
  mSound = 0;
  mRefusals = 0;
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    const auto daemons = mSite.mDaemons.size() - mFirst;
    const auto number = ++mSent;
    const auto daemon = mFirst + static_cast<std::size_t>(number) % daemons;
    ++mRunning;
    mSite.mLoop.Spawn([this, daemon, number] { SendOne(daemon, number); });
    (void)mSite.mLoop.Sleep(kRequestGap);
  }
  CHECK(mSite.Await([this] { return mRunning == 0; }));
}

void
Traffic::SendOne(std::size_t aDaemon, int aNumber)
{
  const bool isDeadly = aNumber % kDeadlyOneIn == 0;
  const auto number = std::to_string(aNumber);
  const auto parts =
    std::string("c0:10,") + (isDeadly ? "dead:10," : "5a:10,") + number + ":10";
  const auto response =
    mSite.Send(aDaemon,
               SmallSiteRequest(
                 "a" + number, "/stream/" + number, "key", mDeadline, parts));
  --mRunning;
  const auto status = response ? response.value().mStatus : 0;
  if (!isDeadly) {
    ++mSound;
    mServed += status == 200 ? 1 : 0;
  } else if (status == 503) {
    ++mRefusals;
    const auto delay = FindHeader(response.value().mHeaders, "Retry-After");
    CHECK(std::strtod(std::string(delay).c_str(), nullptr) > 0);
  }
}

void
CheckArrivals(const FleetSite& aSite)
{
  const auto crashes = aSite.Times(&FleetServer::Crashes);
  const auto arrivals = aSite.Times(&FleetServer::DeadlyArrivals);
  CAPTURE(crashes.size());
  CAPTURE(arrivals.size());
  CHECK(crashes.size() >= 3);
  if (crashes.size() >= kCrashes) {
    const auto late =
      std::ranges::upper_bound(arrivals, crashes[kCrashes - 1] + kStableTime);
    CHECK(static_cast<std::size_t>(arrivals.end() - late) <= kMaxLateArrivals);
  }
}

enum class Change : unsigned char
{
  None,
  HomeStops,
  DaemonStarts
};

} // namespace

// Guards against prompts with one part, no two of them alike, that crash one
// server after the other, from whichever daemon they come.
TEST_CASE("daemons keep a part that crashes servers away from them")
{
  struct Row
  {
    const char* mName;
    Change mChange;
    CrashKind mCrash;
    Duration mDeadline;
  };
  constexpr auto kReset = CrashKind::Reset;
  constexpr auto kSilent = CrashKind::Silent;
  for (const Row& row :
       { Row{ "all daemons", Change::None, kReset, 4s },
         Row{ "daemons stop", Change::HomeStops, kReset, 4s },
         Row{ "a daemon starts", Change::DaemonStarts, kReset, 4s },
         Row{ "hosts", Change::None, kSilent, 1s },
         Row{ "hosts that are back first", Change::None, kSilent, 4s },
         Row{ "hosts, a daemon starts", Change::DaemonStarts, kSilent, 1s } }) {
    CAPTURE(std::string(row.mName));
    FleetSite site;
    site.SetDeadlyPart(
      "dead:", row.mCrash == kSilent ? kSilentTime : kDownTime, row.mCrash);
    site.Run(kDaemons, [&] {
      (void)site.mLoop.Sleep(kReadTime);
      Traffic traffic(site, row.mDeadline);
      traffic.Run(7s);
      if (row.mChange == Change::HomeStops) {
        site.mDaemons[0]->Drain();
        site.mDaemons[1]->Drain();
        traffic.SetFirst(2);
      } else if (row.mChange == Change::DaemonStarts) {
        site.StartDaemon();
        CHECK(site.Await([&] { return site.Readiness(kDaemons) == 200; }));
        (void)site.mLoop.Sleep(kReadTime);
        traffic.SetFirst(kDaemons);
      }
      traffic.Run(4s);
      CheckArrivals(site);
      CAPTURE(traffic.mServed);
      CHECK(traffic.mSound >= 20);
      CHECK(traffic.mServed * 10 >= traffic.mSound * 9);
      CHECK(traffic.mRefusals >= 10);
    });
  }
}
