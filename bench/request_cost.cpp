// Processor time and thread wake-ups that one request costs its entry and the
// homes, with requests one after the other. These say more than latencies do
// on a machine that does other work. Real processes on the loopback address.

#include "bench_site.h"
#include "process_usage.h"

#include <thread>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr Duration kRunLength = 4s;
constexpr std::size_t kShortPrompt = 400;
constexpr std::size_t kLongPrompt = 64 * 1024;

struct Cost
{
  double mProcessorMs = 0;
  double mWakeUps = 0;
};

SiteShape
Shape()
{
  SiteShape shape;
  // One engine, so that every run has one home and another daemon as entry.
  shape.mEngines = 1;
  shape.mOrderServers = 1;
  shape.mEngineOptions = { "--prefill-tokens-per-s=100000000",
                           "--decode-tokens-per-s=20000",
                           "--slots=512",
                           "--cache-blocks=4096" };
  shape.mSettings["daemon"] = "traffic_threads = 1\n";
  return shape;
}

// Returns what all daemons have used so far.
Cost
Used(Site& aSite)
{
  Cost cost;
  for (const auto& it : aSite.Daemons()) {
    const auto usage = ReadUsage(it.mProcess->Pid());
    cost.mProcessorMs += ToMillis(usage.mProcessor);
    cost.mWakeUps += usage.mWakeUps;
  }
  return cost;
}

void
Measure(Site& aSite,
        const Endpoint& aEntry,
        const std::string& aLabel,
        std::size_t aBytes)
{
  const auto idle = Used(aSite);
  std::this_thread::sleep_for(kRunLength);
  const auto before = Used(aSite);
  const auto run = RunClosed(Through(aEntry, aBytes), 1, kRunLength);
  const auto after = Used(aSite);
  const auto n = static_cast<double>(run.mFirstTokens.size());
  const auto perRequest = [&](double Cost::*aPart) {
    return (after.*aPart - 2 * before.*aPart + idle.*aPart) / n;
  };
  Print({ "processor time of all daemons for a request, " + aLabel,
          "both",
          Format(perRequest(&Cost::mProcessorMs), 3, " ms"),
          "",
          Verdict::Stated });
  Print({ "thread wake-ups of all daemons for a request, " + aLabel,
          "both",
          Format(perRequest(&Cost::mWakeUps), 1) + " (" + Format(n, 0) +
            " requests)",
          "",
          Verdict::Stated });
}

} // namespace

int
main()
{
  Site site(Shape());
  StartWithRelease(site);
  const auto entry = site.Daemons()[FindEntry(site)].mCallers;
  AwaitServing(site, Through(entry, kShortPrompt));
  Measure(site, entry, "prompt of 400 bytes", kShortPrompt);
  Measure(site, entry, "prompt of 64 KiB", kLongPrompt);
  return EXIT_SUCCESS;
}
