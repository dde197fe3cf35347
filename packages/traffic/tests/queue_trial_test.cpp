#include "queue_driver.h"

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

using Requests = std::vector<TrialRequest>;

const QueueSettings kSettings{};

constexpr std::uint64_t kSeeds[] = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 };

// Ratios that the trials are held to.
constexpr double kMaxShortP99Ratio = 1.5;
constexpr double kMaxSmallP95Ratio = 1.3;
constexpr double kMinCrestGoodput = 0.95;
// Every refusal at a crest is to come at once; what is held here short of that
// is that no more than a thousandth comes late once a queue has learnt.
constexpr double kMaxLateRefusals = 0.001;
constexpr Duration kAtOnce = 50ms;
// Time in which a queue learns how much work other accounts send.
constexpr Instant kLearnt{ 1s };

bool
IsShort(const TrialRequest& aRequest)
{
  return IsShortWork(aRequest.mEntry.mClass);
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

// Running time of good requests as a share of all slots from aFrom to aTo.
double
Goodput(const Requests& aRequests, Instant aFrom, Instant aTo)
{
  double good = 0;
  for (const auto& request : aRequests) {
    if (request.IsGood() && *request.mFinished >= aFrom &&
        *request.mFinished < aTo) {
      good += ToMillis(request.mTrueService);
    }
  }
  return good / (ToMillis(aTo - aFrom) * kSettings.mSlots);
}

// Accounts of a crest, and the share of the load that each one offers.
struct Crest
{
  std::string mName;
  std::vector<std::pair<const char*, double>> mAccounts;
};

const Crest kCrests[] = {
  { "one account", { { "a", 1 } } },
  { "accounts of unequal size",
    { { "a", 0.7 }, { "b", 0.25 }, { "c", 0.05 } } },
};

// Returns the share of refusals that came late, of those of requests that
// arrived at aFrom or behind.
double
LateShare(const Crest& aCrest, std::uint64_t aSeed, Instant aFrom)
{
  const Instant end(60s);
  Requests crest;
  std::uint64_t stream = aSeed;
  for (const auto& [name, share] : aCrest.mAccounts) {
    AddStream(crest,
              { name, WorkClass::Draft, 8 * share, 2s, 8s, Instant(), end },
              stream += 100);
    AddStream(
      crest,
      { name, WorkClass::Short, 160 * share, 100ms, 2s, Instant(), end },
      stream += 100);
  }
  double refused = 0;
  double late = 0;
  for (const auto& request : RunFair(crest)) {
    if (request.mRefused && request.mArrival >= aFrom) {
      ++refused;
      late += *request.mRefused - request.mArrival > kAtOnce ? 1 : 0;
    }
  }
  REQUIRE(refused > 0);
  return late / refused;
}

} // namespace

TEST_CASE("short work behind a swing of drafts is served as if alone")
{
  double surgePerSecond = 0;
  SUBCASE("steady short work") {}
  SUBCASE("short work surges too, far above its kept slots")
  {
    surgePerSecond = 30;
  }
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    Requests alone;
    AddStream(
      alone,
      { "counter", WorkClass::Short, 4, 100ms, 5s, Instant(), Instant(120s) },
      seed);
    AddStream(
      alone,
      { "stock", WorkClass::Read, 4, 50ms, 5s, Instant(), Instant(120s) },
      seed + 10);
    if (surgePerSecond > 0) {
      AddStream(alone,
                { "counter",
                  WorkClass::Short,
                  surgePerSecond,
                  100ms,
                  5s,
                  Instant(30s),
                  Instant(50s) },
                seed + 30);
    }
    auto mixed = alone;
    // Six draft slots carry 3 drafts a second; the swing offers 12.
    AddStream(mixed,
              { "drafts",
                WorkClass::Draft,
                12,
                2s,
                20s,
                Instant(20s),
                Instant(60s),
                20 },
              seed + 20);
    const auto base = LatencyQuantile(RunFair(alone), 0.99, IsShort);
    const auto fair = LatencyQuantile(RunFair(mixed), 0.99, IsShort);
    const auto fifo = LatencyQuantile(RunFifo(mixed), 0.99, IsShort);
    MESSAGE("short p99 ms: alone " << base << ", lanes " << fair << ", fifo "
                                   << fifo);
    CHECK(fair <= kMaxShortP99Ratio * base);
    CHECK(fifo > fair);
  }
}

TEST_CASE("a small account beside one that offers ten times as much")
{
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    const auto isSmall = [](const TrialRequest& aRequest) {
      return aRequest.mEntry.mAccount == AccountId("small");
    };
    Requests alone;
    AddStream(
      alone,
      { "small", WorkClass::Draft, 1, 1s, 30s, Instant(), Instant(300s) },
      seed);
    auto mixed = alone;
    AddStream(
      mixed,
      { "big", WorkClass::Draft, 10, 1s, 30s, Instant(), Instant(300s) },
      seed + 10);
    const auto base = LatencyQuantile(RunFair(alone), 0.95, isSmall);
    const auto fair = LatencyQuantile(RunFair(mixed), 0.95, isSmall);
    const auto fifo = LatencyQuantile(RunFifo(mixed), 0.95, isSmall);
    MESSAGE("small p95 ms: alone " << base << ", fair " << fair << ", fifo "
                                   << fifo);
    CHECK(fair <= kMaxSmallP95Ratio * base);
    CHECK(fifo > fair);
  }
}

TEST_CASE("goodput holds at a crest of four times the capacity")
{
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    // Eight slots; each second offers 32 s of work.
    Requests crest;
    AddStream(crest,
              { "a", WorkClass::Draft, 20, 1s, 6s, Instant(), Instant(120s) },
              seed);
    AddStream(
      crest,
      { "b", WorkClass::Short, 60, 200ms, 2s, Instant(), Instant(120s) },
      seed + 10);
    const auto fairRun = RunFair(crest);
    const auto fair = Goodput(fairRun, Instant(20s), Instant(120s));
    const auto fifo = Goodput(RunFifo(crest), Instant(20s), Instant(120s));
    MESSAGE("goodput at the crest: fair " << fair << ", fifo " << fifo);
    CHECK(fair >= kMinCrestGoodput);
    CHECK(fifo < fair);
    for (const auto& request : fairRun) {
      CHECK((request.mFinished.has_value() != request.mRefused.has_value()));
    }
  }
}

TEST_CASE("who is let in at a crest is not refused later")
{
  for (const auto& row : kCrests) {
    for (const std::uint64_t seed : kSeeds) {
      CAPTURE(row.mName);
      CAPTURE(seed);
      CHECK(LateShare(row, seed, kLearnt) <= kMaxLateRefusals);
    }
  }
}

TEST_CASE("every refusal at a crest comes at once")
{
  for (const auto& row : kCrests) {
    for (const std::uint64_t seed : kSeeds) {
      CAPTURE(row.mName);
      CAPTURE(seed);
      CHECK(LateShare(row, seed, Instant()) == 0);
    }
  }
}
