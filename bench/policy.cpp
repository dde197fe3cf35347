// Queues and slow servers under load, each against its baseline on the same
// requests. Decision modules driven by themselves in virtual time with the
// sizes of both deployments; times are not scaled.

#include "queue_driver.h"
#include "report.h"
#include "slow_server_driver.h"

#include <array>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

using Requests = std::vector<TrialRequest>;

// What differs between the deployments: the queue of one server, and how many
// servers there are.
struct Deployment
{
  const char* mName;
  std::size_t mServers;
  // Running times of a draft, of short work and of a stock read.
  Duration mDraft;
  Duration mShort;
  Duration mRead;
};

constexpr std::array kDeployments{
  Deployment{ "Brotlag", 12, 2s, 100ms, 50ms },
  Deployment{ "Lissadell", 9, 4s, 150ms, 60ms },
};

constexpr std::uint64_t kSeeds[] = { 1, 2, 3, 4, 5 };
constexpr Duration kAtOnce = 50ms;
const QueueSettings kSettings{};

double
Seconds(Duration aLength)
{
  return ToMillis(aLength) / 1000;
}

Requests
RunFair(const Requests& aRequests)
{
  const auto queue = MakeFairServerQueue(kSettings);
  return QueueDriver(*queue, aRequests).Run();
}

Requests
RunFifo(const Requests& aRequests)
{
  const auto queue = MakeFifoServerQueue(kSettings);
  return QueueDriver(*queue, aRequests).Run();
}

bool
IsShort(const TrialRequest& aRequest)
{
  return IsShortWork(aRequest.mEntry.mClass);
}

// Running time of requests that finished within their deadline, as a share of
// all slots between the two moments.
double
Goodput(const Requests& aRequests, Instant aFrom, Instant aTo)
{
  double good = 0;
  for (const auto& it : aRequests) {
    if (it.IsGood() && *it.mFinished >= aFrom && *it.mFinished < aTo) {
      good += ToMillis(it.mTrueService);
    }
  }
  return good / (ToMillis(aTo - aFrom) * kSettings.mSlots);
}

// Returns the share of refusals that were given at once, in percent.
double
AtOncePercent(const Requests& aRequests)
{
  double refused = 0;
  double atOnce = 0;
  for (const auto& it : aRequests) {
    if (it.mRefused) {
      ++refused;
      atOnce += *it.mRefused - it.mArrival <= kAtOnce ? 1 : 0;
    }
  }
  return refused == 0 ? 100 : atOnce / refused * 100;
}

// The crest offers four times the capacity: half drafts, half short work.
void
MeasureCrest(const Deployment& aDeployment)
{
  constexpr Instant kFrom{ 20s };
  constexpr Instant kTo{ 120s };
  double fair = 1;
  double fifo = 0;
  double atOnce = 100;
  double fifoAtOnce = 100;
  for (const std::uint64_t seed : kSeeds) {
    const double each = 2 * static_cast<double>(kSettings.mSlots);
    Requests crest;
    AddStream(crest,
              { "a",
                WorkClass::Draft,
                each / Seconds(aDeployment.mDraft),
                aDeployment.mDraft,
                4 * aDeployment.mDraft,
                Instant(),
                kTo },
              seed);
    AddStream(crest,
              { "b",
                WorkClass::Short,
                each / Seconds(aDeployment.mShort),
                aDeployment.mShort,
                2s,
                Instant(),
                kTo },
              seed + 10);
    const auto fairRun = RunFair(crest);
    const auto fifoRun = RunFifo(crest);
    fair = std::min(fair, Goodput(fairRun, kFrom, kTo));
    fifo = std::max(fifo, Goodput(fifoRun, kFrom, kTo));
    atOnce = std::min(atOnce, AtOncePercent(fairRun));
    fifoAtOnce = std::min(fifoAtOnce, AtOncePercent(fifoRun));
  }
  Print({ "goodput at a crest of 4x, worst of 5 seeds",
          aDeployment.mName,
          Format(fair * 100, 1, " % of capacity (FIFO at best ") +
            Format(fifo * 100, 1, " %)"),
          ">= 95 %",
          AtLeast(fair, 0.95) });
  Print({ "refusals given within 50 ms at the crest",
          aDeployment.mName,
          Format(atOnce, 2, " % (FIFO ") + Format(fifoAtOnce, 1, " %)"),
          "100 %",
          AtLeast(atOnce, 100) });
}

// A swing from a tenth of the crest to the crest, first of drafts and then of
// short work too, of three accounts of very different size.
Requests
MakeSwing(const Deployment& aDeployment, std::uint64_t aSeed)
{
  struct Account
  {
    const char* mName;
    double mShare;
  };
  constexpr Account kAccounts[] = { { "a", 0.7 },
                                    { "b", 0.25 },
                                    { "c", 0.05 } };
  constexpr Instant kDraftsRise{ 20s };
  constexpr Instant kShortRises{ 30s };
  constexpr Instant kEnd{ 120s };
  const double each = 2 * static_cast<double>(kSettings.mSlots);
  Requests swing;
  std::uint64_t seed = aSeed;
  for (const auto& account : kAccounts) {
    const double drafts = account.mShare * each / Seconds(aDeployment.mDraft);
    const double shorts = account.mShare * each / Seconds(aDeployment.mShort);
    const auto add =
      [&](WorkClass aClass, double aPerSecond, Instant aFrom, Instant aTo) {
        const bool isDraft = aClass == WorkClass::Draft;
        seed += 100;
        AddStream(swing,
                  { account.mName,
                    aClass,
                    aPerSecond,
                    isDraft ? aDeployment.mDraft : aDeployment.mShort,
                    isDraft ? 4 * aDeployment.mDraft : 2s,
                    aFrom,
                    aTo },
                  seed);
      };
    add(WorkClass::Draft, drafts / 10, Instant(), kDraftsRise);
    add(WorkClass::Draft, drafts, kDraftsRise, kEnd);
    add(WorkClass::Short, shorts / 10, Instant(), kShortRises);
    add(WorkClass::Short, shorts, kShortRises, kEnd);
  }
  return swing;
}

void
MeasureSwing(const Deployment& aDeployment)
{
  constexpr Instant kFrom{ 40s };
  constexpr Instant kTo{ 120s };
  double fair = 1;
  double atOnce = 100;
  double fifo = 0;
  for (const std::uint64_t seed : kSeeds) {
    const auto swing = MakeSwing(aDeployment, seed);
    const auto run = RunFair(swing);
    fair = std::min(fair, Goodput(run, kFrom, kTo));
    fifo = std::max(fifo, Goodput(RunFifo(swing), kFrom, kTo));
    atOnce = std::min(atOnce, AtOncePercent(run));
  }
  Print({ "goodput after a swing of three unequal accounts, worst of 5 seeds",
          aDeployment.mName,
          Format(fair * 100, 1, " % of capacity (FIFO at best ") +
            Format(fifo * 100, 1, " %)"),
          ">= 95 %",
          AtLeast(fair, 0.95) });
  Print({ "refusals given within 50 ms in that swing, its rise included",
          aDeployment.mName,
          Format(atOnce, 2, " %"),
          "100 %",
          AtLeast(atOnce, 100) });
}

// Short work and stock reads, and a swing of drafts to four times the
// capacity of the draft slots.
void
MeasureBlocking(const Deployment& aDeployment)
{
  double ratio = 0;
  double fifoRatio = 0;
  double alone = 0;
  for (const std::uint64_t seed : kSeeds) {
    Requests base;
    AddStream(base,
              { "counter",
                WorkClass::Short,
                4,
                aDeployment.mShort,
                5s,
                Instant(),
                Instant(120s) },
              seed);
    AddStream(base,
              { "stock",
                WorkClass::Read,
                4,
                aDeployment.mRead,
                5s,
                Instant(),
                Instant(120s) },
              seed + 10);
    const double draftSlots = kSettings.mSlots - kSettings.mShortSlots;
    Requests mixed = base;
    AddStream(mixed,
              { "drafts",
                WorkClass::Draft,
                4 * draftSlots / Seconds(aDeployment.mDraft),
                aDeployment.mDraft,
                10 * aDeployment.mDraft,
                Instant(20s),
                Instant(60s),
                20 },
              seed + 20);
    const double p99 = LatencyQuantile(RunFair(base), 0.99, IsShort);
    alone = std::max(alone, p99);
    ratio =
      std::max(ratio, LatencyQuantile(RunFair(mixed), 0.99, IsShort) / p99);
    fifoRatio =
      std::max(fifoRatio, LatencyQuantile(RunFifo(mixed), 0.99, IsShort) / p99);
  }
  Print({ "p99 of short work and reads behind drafts, against alone",
          aDeployment.mName,
          Format(ratio, 2, "x of ") + Format(alone, 0, " ms (FIFO ") +
            Format(fifoRatio, 1, "x), worst of 5 seeds"),
          "<= 1.5x",
          AtMost(ratio, 1.5) });
}

void
MeasureFairness(const Deployment& aDeployment)
{
  const auto isSmall = [](const TrialRequest& aRequest) {
    return aRequest.mEntry.mAccount == AccountId("small");
  };
  double ratio = 0;
  double fifoRatio = 0;
  const Duration service = aDeployment.mDraft / 2;
  const double rate = 1 / Seconds(service);
  for (const std::uint64_t seed : kSeeds) {
    Requests base;
    AddStream(base,
              { "small",
                WorkClass::Draft,
                rate,
                service,
                30 * service,
                Instant(),
                Instant(300s) },
              seed);
    Requests mixed = base;
    AddStream(mixed,
              { "big",
                WorkClass::Draft,
                10 * rate,
                service,
                30 * service,
                Instant(),
                Instant(300s) },
              seed + 10);
    const double alone = LatencyQuantile(RunFair(base), 0.95, isSmall);
    ratio =
      std::max(ratio, LatencyQuantile(RunFair(mixed), 0.95, isSmall) / alone);
    fifoRatio = std::max(
      fifoRatio, LatencyQuantile(RunFifo(mixed), 0.95, isSmall) / alone);
  }
  Print({ "p95 of a small account beside one offering 10x, against alone",
          aDeployment.mName,
          Format(ratio, 2, "x (FIFO ") +
            Format(fifoRatio, 1, "x), worst of 5 seeds"),
          "<= 1.3x",
          AtMost(ratio, 1.3) });
}

double
SlowP99(SlowServerTrial aTrial, ServerHealth& aHealth)
{
  const auto chooser = MakePowerOfTwoChooser();
  return SlowServerDriver(aTrial, *chooser, aHealth).Run().value_or(1e9);
}

// Two servers are five times slower for 10 s and report it 2 s late.
void
MeasureSlowServers(const Deployment& aDeployment)
{
  double ratio = 0;
  double blindRatio = 0;
  double sound = 0;
  for (const std::uint64_t seed : kSeeds) {
    SlowServerTrial trial;
    trial.mServers = aDeployment.mServers;
    trial.mSlowServers = 2;
    trial.mSlowdown = 5;
    trial.mReportLag = 2s;
    trial.mSeed = seed;
    // Half of the servers are busy on average.
    trial.mLongestGap =
      4 * trial.mService / static_cast<int>(aDeployment.mServers);
    SlowServerTrial none = trial;
    none.mSlowdown = 1;
    const double p99 = SlowP99(none, *MakeNoDetection());
    sound = std::max(sound, p99);
    ratio = std::max(ratio,
                     SlowP99(trial, *MakeServerHealth(HealthSettings())) / p99);
    blindRatio = std::max(blindRatio, SlowP99(trial, *MakeNoDetection()) / p99);
  }
  Print({ "p99 with 2 servers slowed 5x, reports 2 s late, against none slowed",
          aDeployment.mName,
          Format(ratio, 2, "x of ") + Format(sound, 0, " ms (no detection ") +
            Format(blindRatio, 1, "x), worst of 5 seeds"),
          "<= 1.5x",
          AtMost(ratio, 1.5) });
}

} // namespace

int
main()
{
  for (const auto& it : kDeployments) {
    MeasureCrest(it);
    MeasureSwing(it);
    MeasureBlocking(it);
    MeasureFairness(it);
    MeasureSlowServers(it);
  }
  return 0;
}
