// Latency that the entry and the home of a server add to a direct call of the
// engine, and the requests that one traffic thread carries. Real processes on
// the loopback address, times as they are.

#include "bench_site.h"
#include "load.h"

#include <bilberrytrail/backend/http_backend.h>

#include <cstdlib>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr Duration kRunLength = 4s;
constexpr Duration kTimeout = 5s;
constexpr double kLowPerSecond = 50;
constexpr std::size_t kOpenAtFull = 48;
constexpr double kTargetP50Ms = 0.5;
constexpr double kTargetP99Ms = 2;
constexpr std::size_t kShortPrompt = 400;
constexpr std::size_t kLongPrompt = 64 * 1024;

// Runs the daemons with one traffic thread each and engines whose own times
// are near zero.
SiteShape
Shape()
{
  SiteShape shape;
  shape.mEngines = 2;
  shape.mOrderServers = 1;
  shape.mEngineOptions = { "--prefill-tokens-per-s=100000000",
                           "--decode-tokens-per-s=20000",
                           "--slots=512",
                           "--cache-blocks=4096" };
  shape.mSettings["daemon"] = "traffic_threads = 1\n";
  return shape;
}

TimedCall
Direct(const Endpoint& aEngine, std::size_t aBytes)
{
  return [aEngine, aBytes](HttpClient& aClient) -> std::optional<Duration> {
    static std::uint64_t sCalls = 0;
    GenerateRequest request;
    request.mAttempt = AttemptId("direct-" + std::to_string(++sCalls));
    request.mModel = ModelId("guide");
    request.mVersion = VersionId("v1");
    request.mPrompt = std::string(aBytes, 'a');
    request.mBlockBytes = 8192;
    request.mMaxTokens = kAnswerTokens;
    const auto start = MonotonicNow();
    const auto engine = MakeHttpEngine(aClient, aEngine);
    const auto stream = engine->Generate(request, kTimeout);
    if (!stream) {
      return std::nullopt;
    }
    std::optional<Duration> first;
    while (true) {
      const auto chunk = stream.value()->Next(kTimeout);
      if (!chunk) {
        return std::nullopt;
      }
      if (!first) {
        first = MonotonicNow() - start;
      }
      if (chunk.value().mEnd) {
        return first;
      }
    }
  };
}

void
Compare(const std::string& aLabel,
        const LoadResult& aDirect,
        const LoadResult& aThrough,
        bool aHasTarget)
{
  const double p50 =
    Quantile(aThrough.mFirstTokens, 0.5) - Quantile(aDirect.mFirstTokens, 0.5);
  const double p99 = Quantile(aThrough.mFirstTokens, 0.99) -
                     Quantile(aDirect.mFirstTokens, 0.99);
  const auto show =
    [](double aAdded, const LoadResult& aRun, double aQuantile) {
      return Format(aAdded, 2, " ms") + " (direct " +
             Format(Quantile(aRun.mFirstTokens, aQuantile), 2, " ms)");
    };
  Print({ "added first token p50, " + aLabel,
          "both",
          show(p50, aDirect, 0.5),
          aHasTarget ? "<= 0.5 ms" : "",
          aHasTarget ? AtMost(p50, kTargetP50Ms) : Verdict::Stated });
  Print({ "added first token p99, " + aLabel,
          "both",
          show(p99, aDirect, 0.99),
          aHasTarget ? "<= 2 ms" : "",
          aHasTarget ? AtMost(p99, kTargetP99Ms) : Verdict::Stated });
  if (aThrough.mFailed + aDirect.mFailed > 0) {
    std::printf(
      "# %s: %zu of the direct and %zu of the other requests failed\n",
      aLabel.c_str(),
      aDirect.mFailed,
      aThrough.mFailed);
  }
}

} // namespace

int
main()
{
  Site site(Shape());
  StartWithRelease(site);
  const std::size_t daemon = FindEntry(site);
  const auto entry = site.Daemons()[daemon].mCallers;
  const auto engine = site.Engines()[0].mEndpoint;
  const auto through = Through(entry, kShortPrompt);
  const auto direct = Direct(engine, kShortPrompt);
  AwaitServing(site, through);
  (void)RunClosed(through, 8, 1s);
  Compare("low load",
          RunOpen(direct, kLowPerSecond, kRunLength),
          RunOpen(through, kLowPerSecond, kRunLength),
          true);
  const auto full = RunClosed(through, kOpenAtFull, kRunLength);
  const auto fullDirect = RunClosed(direct, kOpenAtFull, kRunLength);
  Print({ "requests/s per traffic thread",
          "both",
          Format(full.mPerSecond, 0) + " (" +
            Format(full.mPerSecond / fullDirect.mPerSecond, 2) +
            " of direct), " + std::to_string(full.mFailed) + " failed",
          "",
          Verdict::Stated });
  PrintSlope("overhead", "requests_per_second_per_thread", full.mPerSecond);
  const double half = full.mPerSecond / 2;
  Compare("half load (" + Format(half, 0) + "/s)",
          RunOpen(direct, half, kRunLength),
          RunOpen(through, half, kRunLength),
          true);
  Compare("prompt of 64 KiB at low load",
          RunOpen(Direct(engine, kLongPrompt), kLowPerSecond, kRunLength),
          RunOpen(Through(entry, kLongPrompt), kLowPerSecond, kRunLength),
          false);
  return EXIT_SUCCESS;
}
