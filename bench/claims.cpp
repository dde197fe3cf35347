// Orders per second and table transactions per order, with claims gathered at
// claim homes and with a table write for each claim. Both sites run in turn in
// the same run; the ratios are what counts.

#include "site.h"

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>

namespace {

using namespace bilberrytrail;

constexpr int kCallers = 96;
constexpr Duration kRunTime = 5s;

struct Measured
{
  double mOrdersPerSecond = 0;
  double mWritesPerOrder = 0;
  std::uint64_t mDoubleRuns = 0;
  // Orders not taken by reason.
  std::map<std::string, std::uint64_t> mRefused;
  std::vector<Duration> mTimes;
};

// What came of the orders of all callers.
struct Tally
{
  std::map<std::string, std::uint64_t> mRefused;
  std::vector<Duration> mTimes;
};

std::string
ReasonOf(const Result<HttpResponse, HttpError>& aAnswer)
{
  if (!aAnswer) {
    return aAnswer.error().mMessage;
  }
  const auto& answer = aAnswer.value();
  const auto json = ParseJson(answer.mBody);
  const auto text = json ? json.value().value("reason", "") + ": " +
                             json.value().value("detail", "")
                         : answer.mBody;
  return std::to_string(answer.mStatus) + " " + text;
}

std::uint64_t
Stat(Site& aSite, const Endpoint& aEndpoint, const char* aName)
{
  const auto stats = aSite.Call(aEndpoint, { "GET", "/stats", {}, {} });
  const auto json = ParseJson(stats.mBody);
  return json ? json.value().value(aName, std::uint64_t{ 0 }) : 0;
}

// Returns the sample note with limits that no caller reaches: a caller that is
// refused by a limit measures the refusal.
std::string
MakeNote(Site& aSite)
{
  auto note = SampleNote("brotlag", 0, "v1", aSite.Engines().size());
  for (const std::string name :
       { "requests_per_second = ", "tokens_per_second = ", "concurrent = " }) {
    for (auto at = note.find(name); at != std::string::npos;
         at = note.find(name, at + 1)) {
      const auto begin = at + name.size();
      note.replace(begin, note.find('\n', begin) - begin, "1000000000");
    }
  }
  return note;
}

void
StartSite(Site& aSite)
{
  aSite.Start();
  const auto applied = aSite.Operate(0,
                                     "POST",
                                     "/operator/release/apply",
                                     Json{ { "product", "brotlag" },
                                           { "against", 0 },
                                           { "id", "first" },
                                           { "note", MakeNote(aSite) } }
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
            Tally& aTally)
{
  HttpClient client(aLoop);
  for (int n = 0; MonotonicNow() < aEnd; ++n) {
    const auto name = std::to_string(aCaller) + "-" + std::to_string(n);
    const auto sent = MonotonicNow();
    const auto answer =
      client.Call(aDaemon,
                  { "POST",
                    "/v1/products/brotlag/services/orders/book",
                    { { "Authorization", "Bearer token-large" },
                      { "Content-Type", "application/json" },
                      { "Idempotency-Key", name } },
                    Json{ { "order", name }, { "slot", "monday" } }.dump() },
                  10s);
    if (answer && answer.value().mStatus == 201) {
      aTally.mTimes.push_back(MonotonicNow() - sent);
    } else {
      ++aTally.mRefused[ReasonOf(answer)];
    }
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
  Tally tally;
  int left = kCallers;
  const auto began = MonotonicNow();
  Loop loop;
  for (int n = 0; n < kCallers; ++n) {
    loop.Spawn([&, n] {
      const auto daemon = static_cast<std::size_t>(n) % site.Daemons().size();
      PlaceOrders(
        loop, site.Daemons()[daemon].mCallers, n, began + kRunTime, tally);
      if (--left == 0) {
        loop.Stop();
      }
    });
  }
  loop.Run();
  const double seconds = ToMillis(MonotonicNow() - began) / 1000;
  const auto taken = static_cast<double>(tally.mTimes.size());
  const auto orders = std::max(taken, 1.0);
  Measured measured;
  measured.mOrdersPerSecond = taken / seconds;
  measured.mWritesPerOrder =
    static_cast<double>(Stat(site, site.Platform().mEndpoint, "writes") -
                        before) /
    orders;
  measured.mRefused = std::move(tally.mRefused);
  measured.mTimes = std::move(tally.mTimes);
  std::sort(measured.mTimes.begin(), measured.mTimes.end());
  for (const auto& server : site.OrderServers()) {
    measured.mDoubleRuns += Stat(site, server.mEndpoint, "double_runs");
  }
  return measured;
}

double
Percentile(const std::vector<Duration>& aTimes, double aShare)
{
  const auto n = static_cast<std::size_t>(
    aShare * static_cast<double>(std::max<std::size_t>(aTimes.size(), 1) - 1));
  return aTimes.empty() ? 0 : ToMillis(aTimes[n]);
}

void
Print(const char* aName, const Measured& aMeasured)
{
  std::printf("%-12s %8.0f orders/s %7.3f table transactions per order, "
              "%.0f ms p50, %.0f ms p99, %llu run twice\n",
              aName,
              aMeasured.mOrdersPerSecond,
              aMeasured.mWritesPerOrder,
              Percentile(aMeasured.mTimes, 0.5),
              Percentile(aMeasured.mTimes, 0.99),
              static_cast<unsigned long long>(aMeasured.mDoubleRuns));
  for (const auto& [reason, count] : aMeasured.mRefused) {
    std::printf("  %6llu not taken: %s\n",
                static_cast<unsigned long long>(count),
                reason.c_str());
  }
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
