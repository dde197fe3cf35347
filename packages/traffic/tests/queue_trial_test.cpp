#include "queue_driver.h"

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

using Requests = std::vector<TrialRequest>;

const QueueSettings kSettings{};

constexpr std::uint64_t kSeeds[] = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 };

// Limits that the simulations are checked against.
constexpr double kMaxShortP99Ratio = 1.5;
constexpr double kMaxSmallP95Ratio = 1.3;
constexpr double kMinOverloadGoodput = 0.95;
// Every refusal under overload should come immediately. This weaker limit
// allows one late refusal in a thousand after the queue has measured the
// arrival rates.
constexpr double kMaxLateRefusalFraction = 0.001;
constexpr Duration kImmediate = 50ms;
// Time in which a queue measures the arrival rates of the accounts.
constexpr Instant kMeasuredFrom{ 1s };

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

// Returns the running time of the requests that met their deadline, as a
// fraction of the capacity from aFrom to aTo.
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

// Accounts of an overload, and the share of the load that each one offers.
struct Overload
{
  std::string mName;
  std::vector<std::pair<const char*, double>> mAccounts;
};

const Overload kOverloads[] = {
  { "one account", { { "a", 1 } } },
  { "accounts of unequal size",
    { { "a", 0.7 }, { "b", 0.25 }, { "c", 0.05 } } },
};

// Returns the fraction of refusals that came later than kImmediate, among the
// requests that arrived at aFrom or later.
double
LateRefusalFraction(const Overload& aOverload,
                    std::uint64_t aSeed,
                    Instant aFrom)
{
  const Instant end(60s);
  Requests overload;
  std::uint64_t stream = aSeed;
  for (const auto& [name, share] : aOverload.mAccounts) {
    AddStream(overload,
              { name, WorkClass::Draft, 8 * share, 2s, 8s, Instant(), end },
              stream += 100);
    AddStream(
      overload,
      { name, WorkClass::Short, 160 * share, 100ms, 2s, Instant(), end },
      stream += 100);
  }
  double refused = 0;
  double late = 0;
  for (const auto& request : RunFair(overload)) {
    if (request.mRefused && request.mArrival >= aFrom) {
      ++refused;
      late += *request.mRefused - request.mArrival > kImmediate ? 1 : 0;
    }
  }
  REQUIRE(refused > 0);
  return late / refused;
}

} // namespace

TEST_CASE(
  "p99 of short work stays within 1.5 times its baseline under a draft surge")
{
  double surgePerSecond = 0;
  SUBCASE("steady short work") {}
  SUBCASE("short work also surges, far above its reserved slots")
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
    // Six draft slots can serve 3 drafts a second; the surge offers 12.
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

TEST_CASE(
  "p95 of a small account stays within 1.3 times its baseline next to one "
  "with ten times the load")
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

TEST_CASE("goodput stays above 95% at four times the capacity")
{
  for (const std::uint64_t seed : kSeeds) {
    CAPTURE(seed);
    // Eight slots; each second offers 32 s of work.
    Requests overload;
    AddStream(overload,
              { "a", WorkClass::Draft, 20, 1s, 6s, Instant(), Instant(120s) },
              seed);
    AddStream(
      overload,
      { "b", WorkClass::Short, 60, 200ms, 2s, Instant(), Instant(120s) },
      seed + 10);
    const auto fairRun = RunFair(overload);
    const auto fair = Goodput(fairRun, Instant(20s), Instant(120s));
    const auto fifo = Goodput(RunFifo(overload), Instant(20s), Instant(120s));
    MESSAGE("goodput under overload: fair " << fair << ", fifo " << fifo);
    CHECK(fair >= kMinOverloadGoodput);
    CHECK(fifo < fair);
    for (const auto& request : fairRun) {
      CHECK((request.mFinished.has_value() != request.mRefused.has_value()));
    }
  }
}

TEST_CASE(
  "at most 0.1% of refusals under overload are late once rates are measured")
{
  for (const auto& row : kOverloads) {
    for (const std::uint64_t seed : kSeeds) {
      CAPTURE(row.mName);
      CAPTURE(seed);
      CHECK(LateRefusalFraction(row, seed, kMeasuredFrom) <=
            kMaxLateRefusalFraction);
    }
  }
}

TEST_CASE("every refusal under overload is immediate")
{
  for (const auto& row : kOverloads) {
    for (const std::uint64_t seed : kSeeds) {
      CAPTURE(row.mName);
      CAPTURE(seed);
      CHECK(LateRefusalFraction(row, seed, Instant()) == 0);
    }
  }
}
