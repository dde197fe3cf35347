#include <bilberrytrail/entry/weight_rollout.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

using namespace bilberrytrail;

namespace {

const ModelId kModel("m");
constexpr std::size_t kServers = 12;
constexpr unsigned kSeeds = 200;
// Time after its announcement from which a version should be in use, and by
// which all servers but one must have it.
constexpr Duration kVersionBound = 15s;
constexpr Duration kAllWithin = 21s;
constexpr Duration kTick = 100ms;
constexpr Duration kStep = 200ms;
constexpr Duration kCallTimeout = 500ms;
// Time until the list of servers shows a change.
constexpr Duration kListDelay = 300ms;
constexpr Duration kLoadTime = 1800ms;
constexpr Duration kLongestDrain = 400ms;
// Servers that load at once without taking longer.
constexpr std::size_t kFastLoads = 2;
// Time for a new holder to get the lease after the last one stopped.
constexpr Duration kHolderGap = 4s;

struct Window
{
  Duration mFrom{};
  Duration mUntil{};

  [[nodiscard]] bool Contains(Duration aTime) const noexcept
  {
    return mFrom <= aTime && aTime < mUntil;
  }
};

struct Scenario
{
  std::string mName;
  // When versions 2 and up are named.
  std::vector<Duration> mNamedAt;
  // Orders get no reply and are executed so much later.
  Window mNoReply;
  Duration mLeastLate{};
  Duration mMostLate{};
  // Every second server answers nothing.
  Window mHang;
  // The holder of the lease is replaced by one without its state.
  std::optional<Duration> mHolderStops;
  // Server 0 restarts.
  std::optional<Duration> mRestart;
  // Maximum number of servers that load at once, and of orders.
  std::size_t mMaxLoading;
  std::size_t mMaxOrders;
};

// Servers of one model that execute orders as the platform's do, late ones
// included, and a rollout on them, in virtual time.
class Simulation
{
public:
  Simulation(const Scenario& aScenario, unsigned aSeed)
    : mScenario(aScenario)
    , mRandom(aSeed)
    , mServers(kServers)
  {
    for (std::size_t n = 0; n < kServers; ++n) {
      mServers[n].mRecord.mId = ServerId("s" + std::to_string(n));
      mServers[n].mRecord.mModels = { { kModel, 1 } };
    }
  }

  // Runs until a time after the start.
  void RunUntil(Duration aEnd)
  {
    for (; mNow < aEnd; mNow += kTick) {
      if (mNow == mScenario.mRestart) {
        Restart(mServers[0]);
      }
      const auto loading = std::max(Loading(), kFastLoads);
      for (auto& it : mServers) {
        if (it.mLoadLeft) {
          *it.mLoadLeft -= kTick * static_cast<std::int64_t>(kFastLoads) /
                           static_cast<std::int64_t>(loading);
        }
        Execute(it);
      }
      Reply();
      if (mNow % kStep == 0ms) {
        Step();
      }
    }
  }

  // Returns the number of servers without the newest weights.
  [[nodiscard]] std::size_t Old() const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mServers, [&](const SimServer& aServer) {
        return aServer.mVersion < Newest();
      }));
  }
  [[nodiscard]] std::size_t Orders() const noexcept { return mOrders; }
  [[nodiscard]] std::size_t MaxLoading() const noexcept { return mMaxLoading; }

private:
  struct LateOrder
  {
    Duration mAt{};
    std::uint64_t mExpected = 0;
    std::uint64_t mVersion = 0;
  };

  struct SimServer
  {
    ServerRecord mRecord;
    std::uint64_t mVersion = 1;
    std::uint64_t mLoads = 0;
    std::uint64_t mSequence = 0;
    // Load time left, as if the server loaded alone.
    std::optional<Duration> mLoadLeft;
    std::vector<LateOrder> mLate;
    std::map<Duration, std::uint64_t> mListChanges;
  };

  struct PendingReply
  {
    Duration mAt{};
    WeightOrder mOrder;
    OrderOutcome mOutcome;
  };

  [[nodiscard]] std::uint64_t Newest() const
  {
    return 1U +
           static_cast<std::uint64_t>(std::ranges::count_if(
             mScenario.mNamedAt, [&](Duration aAt) { return aAt <= mNow; }));
  }

  [[nodiscard]] Instant Clock() const { return Instant() + 1000s + mNow; }

  [[nodiscard]] std::size_t Loading() const
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(mServers, [](const SimServer& aServer) {
        return aServer.mLoadLeft.has_value();
      }));
  }

  Duration Between(Duration aLeast, Duration aMost)
  {
    std::uniform_int_distribution<std::int64_t> range(aLeast.count(),
                                                      aMost.count());
    return Duration(range(mRandom));
  }

  static void Restart(SimServer& aServer)
  {
    aServer.mSequence = 0;
    aServer.mLoadLeft.reset();
    aServer.mLate.clear();
    ++aServer.mRecord.mStartedAtMs;
  }

  // Carries out an order if the server accepts it.
  bool Accept(SimServer& aServer,
              std::uint64_t aExpected,
              std::uint64_t aVersion)
  {
    if (aServer.mLoadLeft || aServer.mSequence != aExpected) {
      return false;
    }
    ++aServer.mSequence;
    aServer.mLoads = aVersion;
    aServer.mLoadLeft = kLoadTime + Between(0ms, kLongestDrain);
    mMaxLoading = std::max(mMaxLoading, Loading());
    return true;
  }

  void Execute(SimServer& aServer)
  {
    if (aServer.mLoadLeft && *aServer.mLoadLeft <= 0ms) {
      aServer.mLoadLeft.reset();
      aServer.mVersion = aServer.mLoads;
      aServer.mListChanges[mNow + kListDelay] = aServer.mVersion;
    }
    for (const auto& it : aServer.mLate) {
      if (it.mAt <= mNow) {
        (void)Accept(aServer, it.mExpected, it.mVersion);
      }
    }
    std::erase_if(aServer.mLate,
                  [&](const LateOrder& aOrder) { return aOrder.mAt <= mNow; });
    const auto it = aServer.mListChanges.find(mNow);
    if (it != aServer.mListChanges.end()) {
      aServer.mRecord.mModels = { { kModel, it->second } };
    }
  }

  void Reply()
  {
    for (const auto& it : mReplies) {
      if (it.mAt <= mNow) {
        mRollout.OnOutcome(it.mOrder, it.mOutcome, Clock());
      }
    }
    std::erase_if(
      mReplies, [&](const PendingReply& aReply) { return aReply.mAt <= mNow; });
  }

  void Step()
  {
    if (mScenario.mHolderStops && mNow >= *mScenario.mHolderStops &&
        mNow < *mScenario.mHolderStops + kHolderGap) {
      mRollout.Clear();
      mReplies.clear();
      return;
    }
    std::vector<ServerRecord> records;
    Duration left = kVersionBound;
    for (const auto& it : mServers) {
      records.push_back(it.mRecord);
      const auto version = it.mRecord.VersionOf(kModel);
      if (version < Newest()) {
        left = std::min(left,
                        mScenario.mNamedAt[version - 1] + kVersionBound - mNow);
      }
    }
    const std::map<ModelId, std::uint64_t> newest{ { kModel, Newest() } };
    for (const auto& it : mRollout.Next(records, newest, left, Clock())) {
      Order(it);
    }
    for (const auto& it : mRollout.Checks(Clock())) {
      auto outcome = ReadState(ServerOf(it), it);
      mReplies.push_back(
        { mNow + (outcome == OrderOutcome::NotReached ? kCallTimeout : kTick),
          it,
          outcome.value_or(OrderOutcome::NotBegun) });
    }
  }

  SimServer& ServerOf(const WeightOrder& aOrder)
  {
    return *std::ranges::find_if(mServers, [&](const SimServer& aServer) {
      return aServer.mRecord.mId == aOrder.mServer;
    });
  }

  [[nodiscard]] std::optional<OrderOutcome> ReadState(
    const SimServer& aServer,
    const WeightOrder& aOrder) const
  {
    const auto number = static_cast<std::size_t>(&aServer - mServers.data());
    if (mScenario.mHang.Contains(mNow) && number % 2 == 1) {
      return OrderOutcome::NotReached;
    }
    if (aServer.mLoadLeft) {
      return OrderOutcome::Busy;
    }
    return aServer.mVersion >= aOrder.mVersion
             ? std::optional(OrderOutcome::AlreadyDone)
             : std::nullopt;
  }

  void Order(const WeightOrder& aOrder)
  {
    auto& server = ServerOf(aOrder);
    if (const auto outcome = ReadState(server, aOrder)) {
      const auto delay =
        *outcome == OrderOutcome::NotReached ? kCallTimeout : kTick;
      mReplies.push_back({ mNow + delay, aOrder, *outcome });
      return;
    }
    ++mOrders;
    if (!mScenario.mNoReply.Contains(mNow)) {
      CHECK(Accept(server, server.mSequence, aOrder.mVersion));
      mReplies.push_back({ mNow + kTick, aOrder, OrderOutcome::Accepted });
      return;
    }
    server.mLate.push_back(
      { mNow + Between(mScenario.mLeastLate, mScenario.mMostLate),
        server.mSequence,
        aOrder.mVersion });
    mReplies.push_back({ mNow + kCallTimeout, aOrder, OrderOutcome::Unknown });
  }

  const Scenario& mScenario;
  std::mt19937 mRandom;
  std::vector<SimServer> mServers;
  WeightRollout mRollout{ WeightRolloutSettings() };
  std::vector<PendingReply> mReplies;
  Duration mNow{};
  std::size_t mOrders = 0;
  std::size_t mMaxLoading = 0;
};

// Plays a scenario with many seeds: no more than one server may keep old
// weights in any of them.
void
CheckRuns(const Scenario& aScenario)
{
  CAPTURE(aScenario.mName);
  std::size_t runsWithOld = 0;
  std::size_t loading = 0;
  std::size_t orders = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    Simulation simulation(aScenario, seed);
    simulation.RunUntil(aScenario.mNamedAt.back() + kAllWithin);
    runsWithOld += simulation.Old() > 1 ? 1 : 0;
    loading = std::max(loading, simulation.MaxLoading());
    orders = std::max(orders, simulation.Orders());
  }
  CHECK(runsWithOld == 0);
  CHECK(loading <= aScenario.mMaxLoading);
  CHECK(orders <= aScenario.mMaxOrders);
}

} // namespace

// Guards against a rollout that waits for orders without a reply, and orders
// the last servers when their time has run out.
TEST_CASE("a rollout ends in time while orders are executed late")
{
  const Duration longest = 12s;
  for (const Scenario& it :
       { Scenario{ "all is well", { 1s }, {}, {}, {}, {}, {}, {}, 3, 12 },
         Scenario{ "replies are lost",
                   { 1s },
                   { 0s, 60s },
                   0s,
                   100ms,
                   {},
                   {},
                   {},
                   4,
                   12 },
         Scenario{
           "all late", { 1s }, { 0s, 60s }, 2s, longest, {}, {}, {}, 12, 48 },
         Scenario{ "late, half hang",
                   { 1s },
                   { 0s, 17s },
                   2s,
                   longest,
                   { 11s, 17s },
                   {},
                   {},
                   12,
                   48 },
         Scenario{ "two versions 13 s apart",
                   { 1s, 14s },
                   { 0s, 17s },
                   2s,
                   longest,
                   { 12s, 18s },
                   {},
                   {},
                   12,
                   96 },
         Scenario{ "the holder changes",
                   { 1s },
                   { 0s, 20s },
                   2s,
                   longest,
                   {},
                   5s,
                   {},
                   12,
                   60 },
         Scenario{ "a server restarts",
                   { 1s },
                   { 0s, 20s },
                   2s,
                   longest,
                   {},
                   {},
                   6s,
                   12,
                   48 } }) {
    CheckRuns(it);
  }
}

// Guards against servers that load a version which another one replaces soon,
// and are ordered the newer one too late.
TEST_CASE("two versions close together are rolled out while orders are late")
{
  for (const Duration gap : { 4s, 9s, 11s }) {
    CAPTURE(gap.count());
    CheckRuns(
      { "", { 1s, 1s + gap }, { 0s, 17s }, 2s, 12s, {}, {}, {}, 12, 96 });
  }
}
