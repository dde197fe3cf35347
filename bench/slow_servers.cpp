// Time to the first token while two servers are five times slower and report
// their load 2 s late, against none slowed, without detection of slow servers
// and without hedges. Real processes on the loopback address with stand-in
// engines in three availability zones; a request takes an engine about 120 ms,
// times are not scaled.

#include "bench_site.h"

#include <bilberrytrail/platform/platform_json.h>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

struct Deployment
{
  const char* mName;
  std::size_t mEngines;
};

constexpr std::array kDeployments{ Deployment{ "Brotlag", 12 },
                                   Deployment{ "Lissadell", 9 } };

constexpr std::size_t kDaemons = 4;
constexpr std::size_t kSlowServers = 2;
constexpr std::size_t kPromptBytes = 1600;
constexpr Duration kWarmUp = 5s;
constexpr Duration kSlowTime = 12s;
// Requests of one engine per second: a third of what it can carry.
constexpr double kPerSecond = 3;
constexpr double kMaxRatio = 1.5;
constexpr double kMaxExtraWork = 10;

struct Variant
{
  bool mSlowed = true;
  bool mFinds = true;
  bool mHedges = true;
};

struct Figures
{
  double mP50 = 0;
  double mP99 = 0;
  double mExtraPercent = 0;
  std::size_t mFailed = 0;
};

SiteShape
ShapeOf(const Deployment& aDeployment, const Variant& aVariant)
{
  SiteShape shape;
  shape.mDaemons = kDaemons;
  shape.mEngines = aDeployment.mEngines;
  shape.mZones = 3;
  shape.mStores = false;
  shape.mOrderServers = 0;
  shape.mEngineOptions = { "--prefill-tokens-per-s=4000",
                           "--decode-tokens-per-s=200",
                           "--load-ms=200",
                           "--report-lag-ms=2000" };
  shape.mSettings["requests"] =
    std::string("find_slow_servers = ") + (aVariant.mFinds ? "1" : "0") +
    "\nhedge_budget = " + (aVariant.mHedges ? "0.05" : "0") + "\n";
  return shape;
}

double
Attempts(Site& aSite)
{
  double sum = 0;
  for (const auto& engine : aSite.Engines()) {
    const auto stats =
      aSite.Call(engine.mEndpoint, { "GET", "/stats", {}, {} });
    const auto json = ParseJson(stats.mBody);
    sum += json ? json.value().value("attempts", 0.0) : 0;
  }
  return sum;
}

Figures
Measure(const Deployment& aDeployment, const Variant& aVariant)
{
  Site site(ShapeOf(aDeployment, aVariant));
  StartWithRelease(site);
  std::vector<TimedCall> calls;
  for (const auto& daemon : site.Daemons()) {
    calls.push_back(Through(daemon.mCallers, kPromptBytes));
  }
  for (const auto& call : calls) {
    AwaitServing(site, call);
  }
  std::size_t next = 0;
  const TimedCall call = [&](HttpClient& aClient) {
    return calls[next++ % calls.size()](aClient);
  };
  const double perSecond =
    kPerSecond * static_cast<double>(aDeployment.mEngines);
  (void)RunOpen(call, perSecond, kWarmUp);
  for (std::size_t n = 0; aVariant.mSlowed && n < kSlowServers; ++n) {
    site.SetFault(site.Engines()[n].mEndpoint, R"({"slow": 5})");
  }
  const double before = Attempts(site);
  const auto run = RunOpen(call, perSecond, kSlowTime);
  const double requests =
    static_cast<double>(run.mFirstTokens.size() + run.mFailed);
  Figures figures;
  figures.mP50 = Quantile(run.mFirstTokens, 0.5);
  figures.mP99 = Quantile(run.mFirstTokens, 0.99);
  figures.mExtraPercent =
    std::max(0.0, (Attempts(site) - before) / requests - 1) * 100;
  figures.mFailed = run.mFailed;
  return figures;
}

void
Report(const Deployment& aDeployment)
{
  const auto sound = Measure(aDeployment, { false, true, true });
  const auto both = Measure(aDeployment, { true, true, true });
  const auto finds = Measure(aDeployment, { true, true, false });
  const auto none = Measure(aDeployment, { true, false, false });
  const double ratio = both.mP99 / sound.mP99;
  Print(
    { "p99 of first token, 2 servers slowed 5x, real processes, against "
      "none slowed",
      aDeployment.mName,
      Format(ratio, 2, "x of ") + Format(sound.mP99, 0, " ms (no hedge ") +
        Format(finds.mP99 / sound.mP99, 2, "x, no detection and no hedge ") +
        Format(none.mP99 / sound.mP99, 2, "x), ") +
        std::to_string(both.mFailed) + " failed",
      "<= 1.5x",
      AtMost(ratio, kMaxRatio) });
  Print({ "extra work of hedges and retries in that run",
          aDeployment.mName,
          Format(both.mExtraPercent, 1, " % (none slowed ") +
            Format(sound.mExtraPercent, 1, " %)"),
          "<= 10 %",
          AtMost(both.mExtraPercent, kMaxExtraWork) });
}

} // namespace

int
main()
{
  for (const auto& it : kDeployments) {
    Report(it);
  }
  return EXIT_SUCCESS;
}
