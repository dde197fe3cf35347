#include "fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::size_t kDaemons = 3;
constexpr Duration kDownTime = 600ms;
// The same for a host that loses power.
constexpr Duration kSilentTime = 1500ms;
// Daemons in touch know of a request that crashes servers this long after the
// third crash.
constexpr Duration kStableTime = 3s;
constexpr std::size_t kCrashes = 3;
constexpr std::size_t kMaxLateArrivals = 3;
// A daemon that starts has read the list of daemons after this time.
constexpr Duration kReadTime = 1200ms;
constexpr Duration kSoundGap = 50ms;
// One request in so many crashes servers.
constexpr int kDeadlyOneIn = 5;
const std::string kDeadlyBody = "three reels of wick 7, cut to 0 m";

// Requests to the daemons of a site by one caller on one path. One of them,
// which comes again and again, crashes each server that begins to run it.
class Traffic
{
public:
  Traffic(FleetSite& aSite, std::string aTarget, Duration aDeadline)
    : mSite(aSite)
    , mTarget(std::move(aTarget))
    , mDeadline(aDeadline)
  {
  }

  // Sends until aTime has passed, and waits for all answers.
  void Run(Duration aTime)
  {
    mServed = 0;
    mSound = 0;
    const auto end = MonotonicNow() + aTime;
    while (MonotonicNow() < end) {
      const auto number = ++mSent;
      const auto daemon =
        static_cast<std::size_t>(number) % mSite.mDaemons.size();
      ++mRunning;
      mSite.mLoop.Spawn([this, daemon, number] { SendOne(daemon, number); });
      (void)mSite.mLoop.Sleep(kSoundGap);
    }
    CHECK(mSite.Await([this] { return mRunning == 0; }));
  }

  int mServed = 0;
  int mSound = 0;
  int mRefusedDeadly = 0;

private:
  void SendOne(std::size_t aDaemon, int aNumber)
  {
    const bool isDeadly = aNumber % kDeadlyOneIn == 0;
    const auto number = std::to_string(aNumber);
    auto request = SmallSiteRequest("a" + number, mTarget, "key", mDeadline);
    request.mBody = isDeadly ? kDeadlyBody : "sound " + number;
    const auto response = mSite.Send(aDaemon, request);
    --mRunning;
    const auto status = response ? response.value().mStatus : 0;
    if (!isDeadly) {
      ++mSound;
      mServed += status == 200 ? 1 : 0;
    } else if (status == 503) {
      ++mRefusedDeadly;
    }
  }

  FleetSite& mSite;
  const std::string mTarget;
  const Duration mDeadline;
  int mSent = 0;
  int mRunning = 0;
};

} // namespace

// Guards against a request that crashes each server that runs it, and that is
// passed on again each time that its caller sends it: other requests at work at
// these servers are lost.
TEST_CASE("daemons keep a request that crashes servers away from them")
{
  struct Row
  {
    const char* mName;
    const char* mTarget;
    bool mHasDaemonStarted;
    CrashKind mCrash;
    Duration mDeadline;
  };
  constexpr auto kReset = CrashKind::Reset;
  constexpr auto kSilent = CrashKind::Silent;
  for (const Row& row :
       { Row{ "an order", "/order/reels", false, kReset, 4s },
         Row{ "a read", "/read/reels", false, kReset, 4s },
         Row{ "a stream", "/stream/reels", false, kReset, 4s },
         Row{ "an order, a daemon starts", "/order/reels", true, kReset, 4s },
         Row{ "a read, a daemon starts", "/read/reels", true, kReset, 4s },
         Row{ "an order, hosts", "/order/reels", false, kSilent, 1s },
         Row{ "a read, hosts", "/read/reels", false, kSilent, 1s },
         Row{ "a stream, hosts", "/stream/reels", false, kSilent, 1s },
         Row{
           "an order, hosts, back first", "/order/reels", false, kSilent, 4s },
         Row{
           "an order, hosts, a daemon", "/order/reels", true, kSilent, 1s } }) {
    CAPTURE(std::string(row.mName));
    FleetSite site;
    site.SetDeadlyBody(
      kDeadlyBody, row.mCrash == kSilent ? kSilentTime : kDownTime, row.mCrash);
    site.Run(kDaemons, [&] {
      (void)site.mLoop.Sleep(kReadTime);
      Traffic traffic(site, row.mTarget, row.mDeadline);
      traffic.Run(6s);
      if (row.mHasDaemonStarted) {
        site.StartDaemon();
        CHECK(site.Await([&] { return site.Readiness(kDaemons) == 200; }));
        (void)site.mLoop.Sleep(kReadTime);
      }
      traffic.Run(4s);
      const auto crashes = site.Times(&FleetServer::Crashes);
      const auto arrivals = site.Times(&FleetServer::DeadlyArrivals);
      CAPTURE(crashes.size());
      REQUIRE(crashes.size() >= kCrashes);
      const auto late =
        std::ranges::upper_bound(arrivals, crashes[kCrashes - 1] + kStableTime);
      CHECK(static_cast<std::size_t>(arrivals.end() - late) <=
            kMaxLateArrivals);
      CAPTURE(traffic.mServed);
      CHECK(traffic.mSound >= 20);
      CHECK(traffic.mServed * 10 >= traffic.mSound * 9);
      CHECK(traffic.mRefusedDeadly >= 10);
    });
  }
}
