#include "fleet_site.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

// Guards against an order that a planned stop cuts without an answer at the end
// of the time to stop: its caller must learn that it may have run.
TEST_CASE("an order in progress at the end of a planned stop is answered")
{
  FleetSite site;
  site.mStopTime = 3s;
  for (auto& it : site.mServers) {
    it->SetQueueTime(10s);
  }
  site.Run(1, [&] {
    site.mDaemons[0]->Drain();
    (void)site.mLoop.Sleep(200ms);
    const auto answer = site.Send(0, "a1", "/order/1");
    REQUIRE(answer.has_value());
    CHECK(answer.value().mStatus == 502);
    for (auto& it : site.mServers) {
      it->SetQueueTime(Duration(0));
    }
  });
}
