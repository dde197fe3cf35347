// Memory, processor time and control bytes of a daemon that is idle, and of
// one that takes the share of requests of one of 400 daemons. Real processes
// on the loopback address, times as they are.

#include "bench_site.h"
#include "process_usage.h"

#include <bilberrytrail/platform/platform_json.h>

#include <thread>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr Duration kSettleTime = 10s;
constexpr Duration kRunLength = 15s;
constexpr Duration kSamplePeriod = 200ms;
// 5,500 requests a second over 400 daemons.
constexpr double kRequestsPerDaemon = 13.75;
constexpr std::size_t kPromptBytes = 400;
constexpr double kMegabyte = 1e6;
constexpr double kTargetMegabytes = 128;
constexpr double kTargetCorePercent = 3.7;
constexpr double kTargetBytesPerSecond = 3000;

// What all daemons used in one run, per daemon and second.
struct Usage
{
  double mCorePercent = 0;
  double mMegabytes = 0;
  double mSentBytes = 0;
  double mReceivedBytes = 0;
  double mTableReads = 0;
  double mTableWrites = 0;
  double mListReads = 0;
};

SiteShape
Shape()
{
  SiteShape shape;
  shape.mEngineOptions = { "--prefill-tokens-per-s=100000000",
                           "--decode-tokens-per-s=20000",
                           "--slots=512",
                           "--cache-blocks=4096" };
  return shape;
}

Json
PlatformStats(Site& aSite)
{
  const auto stats =
    aSite.Call(aSite.Platform().mEndpoint, { "GET", "/stats", {}, {} });
  auto json = ParseJson(stats.mBody);
  return json ? std::move(json).value() : Json::object();
}

// Measures while the body runs.
template<class Body>
Usage
Measure(Site& aSite, Body aBody)
{
  auto& daemons = aSite.Daemons();
  std::vector<TcpByteCounter> counters;
  std::vector<ProcessUsage> before;
  for (const auto& it : daemons) {
    counters.emplace_back(it.mProcess->Pid()).Sample();
    before.push_back(ReadUsage(it.mProcess->Pid()));
  }
  const Json statsBefore = PlatformStats(aSite);
  const auto start = MonotonicNow();
  std::jthread body(aBody);
  while (MonotonicNow() - start < kRunLength) {
    std::this_thread::sleep_for(kSamplePeriod);
    for (auto& it : counters) {
      it.Sample();
    }
  }
  const Json stats = PlatformStats(aSite);
  const double seconds = ToMillis(MonotonicNow() - start) / 1000;
  const double scale = 1 / (seconds * static_cast<double>(daemons.size()));
  Usage usage;
  for (std::size_t n = 0; n < daemons.size(); ++n) {
    const auto now = ReadUsage(daemons[n].mProcess->Pid());
    usage.mCorePercent +=
      ToMillis(now.mProcessor - before[n].mProcessor) / 10 * scale;
    usage.mMegabytes =
      std::max(usage.mMegabytes, now.mResidentBytes / kMegabyte);
    usage.mSentBytes += counters[n].SentBytes() * scale;
    usage.mReceivedBytes += counters[n].ReceivedBytes() * scale;
  }
  const auto grown = [&](const char* aName) {
    return (stats.value(aName, 0.0) - statsBefore.value(aName, 0.0)) * scale;
  };
  usage.mTableReads = grown("reads");
  usage.mTableWrites = grown("writes");
  usage.mListReads = grown("list_reads");
  return usage;
}

void
Report(const std::string& aLabel,
       const std::string& aSection,
       const Usage& aUsage)
{
  Print({ "memory of a daemon, " + aLabel,
          "both",
          Format(aUsage.mMegabytes, 1, " MB"),
          "<= 128 MB",
          AtMost(aUsage.mMegabytes, kTargetMegabytes) });
  Print({ "processor time of a daemon, " + aLabel,
          "both",
          Format(aUsage.mCorePercent, 2, " % of a core"),
          "<= 3.7 %",
          AtMost(aUsage.mCorePercent, kTargetCorePercent) });
  PrintSlope(aSection, "memory_mb", aUsage.mMegabytes);
  PrintSlope(aSection, "core_percent", aUsage.mCorePercent);
  PrintSlope(aSection, "tcp_sent_bytes_per_second", aUsage.mSentBytes);
  PrintSlope(aSection, "tcp_received_bytes_per_second", aUsage.mReceivedBytes);
  PrintSlope(aSection, "table_reads_per_second", aUsage.mTableReads);
  PrintSlope(aSection, "table_writes_per_second", aUsage.mTableWrites);
  PrintSlope(aSection, "list_reads_per_second", aUsage.mListReads);
}

} // namespace

int
main()
{
  Site site(Shape());
  StartWithRelease(site);
  AwaitServing(site, Through(site.Daemons()[0].mCallers, kPromptBytes));
  std::this_thread::sleep_for(kSettleTime);
  const Usage idle = Measure(site, [] {});
  Report("idle", "idle", idle);
  const double bytes = idle.mSentBytes + idle.mReceivedBytes;
  Print({ "control bytes over TCP of an idle daemon, 3 engines on 3 daemons",
          "both",
          Format(idle.mSentBytes, 0, " B/s sent, ") +
            Format(idle.mReceivedBytes, 0, " B/s received"),
          "<= 3000 B/s",
          AtMost(bytes, kTargetBytesPerSecond) });
  const Usage busy = Measure(site, [&] {
    std::vector<std::jthread> callers;
    for (const auto& it : site.Daemons()) {
      callers.emplace_back([call = Through(it.mCallers, kPromptBytes)] {
        (void)RunOpen(call, kRequestsPerDaemon, kRunLength);
      });
    }
  });
  Report(Format(kRequestsPerDaemon, 2, " requests/s"), "busy", busy);
  return EXIT_SUCCESS;
}
