#include "first_release.h"

#include <bilberrytrail/membership/rendezvous.h>

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

// Places an order; while the account's limit refuses it, as it does for a burst
// on a daemon that has no share of the limit yet, it is placed again.
bool
PlaceOrder(Site& aSite, std::size_t aDaemon, const std::string& aName)
{
  HttpResponse answer;
  return aSite.Await(20s, [&] {
    answer = Order(aSite, aDaemon, aName);
    return answer.mStatus != 429;
  }) && answer.mStatus == 201;
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
        taken += PlaceOrder(aSite, t % aDaemons, name) ? 1 : 0;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return taken;
}

// Returns the daemon that gathers the claims of all rows in a site of one claim
// home.
std::size_t
FindClaimHome(Site& aSite)
{
  const auto status = aSite.Operate(0, "GET", "/operator/status", {});
  const auto json = ParseJson(status.mBody);
  REQUIRE_MESSAGE(json, status.mBody);
  std::vector<HomeCandidate> candidates;
  for (const auto& it : json.value()["daemons"]) {
    candidates.push_back({ DaemonId(it.value("name", "")), ZoneId(), 1 });
  }
  REQUIRE(candidates.size() == aSite.Daemons().size());
  const auto home = HomeOf("claim-home/0", candidates);
  std::size_t n = 0;
  while (!home.Text().starts_with(aSite.Daemons()[n].mName + "~")) {
    ++n;
    REQUIRE(n < aSite.Daemons().size());
  }
  return n;
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
  const auto home = FindClaimHome(site);
  site.Daemons()[home].mProcess->Signal(SIGKILL);
  (void)site.Daemons()[home].mProcess->Wait(20s);
  for (std::size_t n = 0; n < kThreads * kEach; ++n) {
    const auto name = "after-" + std::to_string(n);
    // A request that met the death may be refused; its resend settles it.
    CHECK(site.Await(20s, [&] {
      const auto daemon = (home + 1 + n % 2) % 3;
      return Order(site, daemon, name).mStatus == 201;
    }));
  }
  CHECK(Stat(site, site.OrderServers()[0].mEndpoint, "double_runs") == 0);
}
