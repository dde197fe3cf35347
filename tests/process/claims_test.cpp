#include "first_release.h"

#include <doctest/doctest.h>

#include <atomic>
#include <csignal>
#include <thread>

using namespace bilberrytrail;

namespace {

HttpResponse
Order(Site& aSite, std::size_t aDaemon, const std::string& aName)
{
  return aSite.Call(
    aSite.Daemons()[aDaemon].mCallers,
    { "POST",
      "/v1/products/brotlag/services/orders/book",
      { { "Authorization", "Bearer token-small" },
        { "Content-Type", "application/json" },
        { "Idempotency-Key", aName } },
      Json{ { "order", aName }, { "slot", "monday" } }.dump() });
}

std::uint64_t
Stat(Site& aSite, const Endpoint& aEndpoint, const char* aName)
{
  const auto stats = aSite.Call(aEndpoint, { "GET", "/stats", {}, {} });
  const auto json = ParseJson(stats.mBody);
  return json ? json.value().value(aName, std::uint64_t{ 0 }) : 0;
}

// Places orders from several threads; returns how many were taken.
std::size_t
PlaceOrders(Site& aSite,
            std::size_t aThreads,
            std::size_t aEach,
            std::size_t aDaemons,
            const std::string& aPrefix)
{
  std::atomic<std::size_t> taken = 0;
  std::vector<std::thread> threads;
  for (std::size_t t = 0; t < aThreads; ++t) {
    threads.emplace_back([&, t] {
      for (std::size_t n = 0; n < aEach; ++n) {
        const auto name = aPrefix + std::to_string(t) + "-" + std::to_string(n);
        taken += Order(aSite, t % aDaemons, name).mStatus == 201 ? 1 : 0;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return taken;
}

} // namespace

TEST_CASE("claims of many daemons share table transactions")
{
  constexpr std::size_t kThreads = 24;
  constexpr std::size_t kEach = 5;
  SiteShape shape;
  shape.mEngines = 1;
  shape.mStores = false;
  shape.mSettings["control"] = "shards = 1\n";
  shape.mSettings["requests"] = "claim_homes = 1\nclaim_batch_time = 40ms\n";
  Site site(shape);
  StartWithRelease(site);
  const auto before = Stat(site, site.Platform().mEndpoint, "writes");
  CHECK(PlaceOrders(site, kThreads, kEach, 3, "o-") == kThreads * kEach);
  const auto writes = Stat(site, site.Platform().mEndpoint, "writes") - before;
  // A claim and an outcome each would be two transactions without batches.
  CHECK(writes < kThreads * kEach);
  CHECK(Stat(site, site.OrderServers()[0].mEndpoint, "slots") ==
        kThreads * kEach);
  CHECK(Stat(site, site.OrderServers()[0].mEndpoint, "double_runs") == 0);
}

TEST_CASE("orders go on when a claim home is killed")
{
  constexpr std::size_t kThreads = 4;
  constexpr std::size_t kEach = 4;
  SiteShape shape;
  shape.mEngines = 1;
  shape.mStores = false;
  Site site(shape);
  StartWithRelease(site);
  CHECK(PlaceOrders(site, kThreads, kEach, 3, "before-") == kThreads * kEach);
  site.Daemons()[2].mProcess->Signal(SIGKILL);
  (void)site.Daemons()[2].mProcess->Wait(20s);
  for (std::size_t n = 0; n < kThreads * kEach; ++n) {
    const auto name = "after-" + std::to_string(n);
    // A request that met the death may be refused; its resend settles it.
    CHECK(
      site.Await(20s, [&] { return Order(site, n % 2, name).mStatus == 201; }));
  }
  CHECK(Stat(site, site.OrderServers()[0].mEndpoint, "double_runs") == 0);
}
