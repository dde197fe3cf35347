// Orders per second and table transactions per order, with claims gathered at
// claim homes and with a table write for each claim. Both sites run in turn in
// the same run; the ratios are what counts.

#include "site.h"

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <cstdio>
#include <cstdlib>

namespace {

using namespace bilberrytrail;

constexpr int kCallers = 96;
constexpr Duration kRunTime = 5s;

struct Measured
{
  double mOrdersPerSecond = 0;
  double mWritesPerOrder = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mDoubleRuns = 0;
};

std::uint64_t
Stat(Site& aSite, const Endpoint& aEndpoint, const char* aName)
{
  const auto stats = aSite.Call(aEndpoint, { "GET", "/stats", {}, {} });
  const auto json = ParseJson(stats.mBody);
  return json ? json.value().value(aName, std::uint64_t{ 0 }) : 0;
}

void
StartSite(Site& aSite)
{
  aSite.Start();
  const auto applied = aSite.Operate(
    0,
    "POST",
    "/operator/release/apply",
    Json{ { "product", "brotlag" },
          { "against", 0 },
          { "id", "first" },
          { "note", SampleNote("brotlag", 0, "v1", aSite.Engines().size()) } }
      .dump());
  bool isReady = applied.mStatus == 200;
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    isReady = isReady && aSite.AwaitRelease(n, 1, 20s);
  }
  if (!isReady) {
    std::fprintf(stderr, "claims: no release: %s\n", applied.mBody.c_str());
    std::exit(EXIT_FAILURE);
  }
}

// Places orders one after the other until the end; counts those taken.
void
PlaceOrders(Loop& aLoop,
            const Endpoint& aDaemon,
            int aCaller,
            Instant aEnd,
            std::uint64_t& aTaken,
            std::uint64_t& aRefused)
{
  HttpClient client(aLoop);
  for (int n = 0; MonotonicNow() < aEnd; ++n) {
    const auto name = std::to_string(aCaller) + "-" + std::to_string(n);
    const auto answer =
      client.Call(aDaemon,
                  { "POST",
                    "/v1/products/brotlag/services/orders/book",
                    { { "Authorization", "Bearer token-large" },
                      { "Content-Type", "application/json" },
                      { "Idempotency-Key", name } },
                    Json{ { "order", name }, { "slot", "monday" } }.dump() },
                  10s);
    ++(answer && answer.value().mStatus == 201 ? aTaken : aRefused);
  }
}

Measured
Measure(const std::string& aRequestSettings)
{
  SiteShape shape;
  shape.mEngines = 1;
  shape.mStores = false;
  shape.mOrderServers = 2;
  shape.mSettings["requests"] = aRequestSettings;
  Site site(shape);
  StartSite(site);
  const auto before = Stat(site, site.Platform().mEndpoint, "writes");
  std::uint64_t taken = 0;
  std::uint64_t refused = 0;
  int left = kCallers;
  const auto began = MonotonicNow();
  Loop loop;
  for (int n = 0; n < kCallers; ++n) {
    loop.Spawn([&, n] {
      const auto daemon = static_cast<std::size_t>(n) % site.Daemons().size();
      PlaceOrders(loop,
                  site.Daemons()[daemon].mCallers,
                  n,
                  began + kRunTime,
                  taken,
                  refused);
      if (--left == 0) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  const double seconds = ToMillis(MonotonicNow() - began) / 1000;
  const auto orders = static_cast<double>(std::max<std::uint64_t>(taken, 1));
  Measured measured;
  measured.mOrdersPerSecond = static_cast<double>(taken) / seconds;
  measured.mWritesPerOrder =
    static_cast<double>(Stat(site, site.Platform().mEndpoint, "writes") -
                        before) /
    orders;
  measured.mRefused = refused;
  for (const auto& server : site.OrderServers()) {
    measured.mDoubleRuns += Stat(site, server.mEndpoint, "double_runs");
  }
  return measured;
}

void
Print(const char* aName, const Measured& aMeasured)
{
  std::printf("%-12s %8.0f orders/s %7.3f table transactions per order, "
              "%llu not taken, %llu run twice\n",
              aName,
              aMeasured.mOrdersPerSecond,
              aMeasured.mWritesPerOrder,
              static_cast<unsigned long long>(aMeasured.mRefused),
              static_cast<unsigned long long>(aMeasured.mDoubleRuns));
}

} // namespace

int
main()
{
  const auto single = Measure("claim_homes = 0\n");
  Print("single", single);
  const auto gathered = Measure("claim_homes = 3\n");
  Print("gathered", gathered);
  std::printf("ratio        %8.2f in orders/s, %.1f times fewer transactions\n",
              gathered.mOrdersPerSecond / single.mOrdersPerSecond,
              single.mWritesPerOrder / gathered.mWritesPerOrder);
  return EXIT_SUCCESS;
}
