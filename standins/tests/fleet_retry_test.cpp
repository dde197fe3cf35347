#include "fleet_site.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr int kRequests = 20;

// Sends requests that both plain servers refuse, and returns how often they
// were repeated.
std::size_t
CountRepeats(FleetSite& aSite)
{
  std::size_t before = 0;
  for (const auto n : { 2, 3 }) {
    before += aSite.mServers[n]->Arrivals().size();
    aSite.mServers[n]->SetFull(true);
  }
  for (int n = 0; n < kRequests; ++n) {
    CHECK(aSite.Status(0, "r" + std::to_string(n), "/read/1") == 503);
  }
  std::size_t after = 0;
  for (const auto n : { 2, 3 }) {
    after += aSite.mServers[n]->Arrivals().size();
  }
  return after - before - kRequests;
}

} // namespace

// Guards against a number of daemons that only a change of the configuration or
// of the servers brings to use: others that join took their part of the slack,
// and the first ones kept theirs; or a daemon used next to none.
TEST_CASE("a daemon's part of the slack follows the number of daemons")
{
  struct Row
  {
    const char* mName;
    int mJoining;
    double mSlack;
    std::size_t mLeast;
    std::size_t mMost;
  };
  // The daemons read the list of each other each 10 s.
  constexpr Duration kReadTime = 11s;
  for (const Row& row : { Row{ "alone", 0, 200, kRequests, kRequests },
                          Row{ "three daemons join", 3, 20, 1, 9 } }) {
    CAPTURE(std::string(row.mName));
    FleetSite site;
    site.mRetryWindow = 500ms;
    site.mRetrySlack = row.mSlack;
    site.Run(1, [&] {
      CHECK(site.Status(0, "a1", "/read/1") == 200);
      (void)site.mLoop.Sleep(1500ms);
      if (row.mJoining > 0) {
        site.PutServer(2);
        (void)site.mLoop.Sleep(300ms);
        CHECK(site.Status(0, "a2", "/read/1") == 200);
        for (int n = 0; n < row.mJoining; ++n) {
          site.StartDaemon();
        }
        (void)site.mLoop.Sleep(kReadTime);
      }
      const auto repeats = CountRepeats(site);
      CHECK(repeats >= row.mLeast);
      CHECK(repeats <= row.mMost);
    });
  }
}
