#include "running_site.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

TEST_CASE("Servers have a new home, and claims are served again, within the "
          "bound of the membership after a home died")
{
  SiteShape shape;
  shape.mStores = false;
  RunningSite site(std::move(shape));
  const std::size_t home = site.HomeOf("orders-1");
  const std::size_t asked = (home + 1) % 3;
  const auto killedAt = MonotonicNow();
  site.Kill(site->Daemons()[home]);
  const auto isRehomed = [&] {
    const Json status = site.Status(asked);
    const Json servers = status.value("servers", Json::array());
    return std::none_of(
      servers.begin(), servers.end(), [&](const Json& aServer) {
        return aServer.value("home", "")
          .starts_with(site->Daemons()[home].mName + "~");
      });
  };
  CHECK(site->Await(DeathBound(), isRehomed));
  MESSAGE("home re-homed after " << ToMillis(MonotonicNow() - killedAt)
                                 << " ms, bound " << ToMillis(DeathBound())
                                 << " ms");
  int n = 0;
  const auto isServed = [&] {
    const std::string key = "after-" + std::to_string(++n);
    return site.Book(asked, key, key).mStatus / 100 == 2;
  };
  CHECK(site->Await(kPatience, isServed));
  const auto served = MonotonicNow() - killedAt;
  MESSAGE("claims served again after " << ToMillis(served) << " ms");
  CHECK(served <= DeathBound() + kLeavingBound);
}
