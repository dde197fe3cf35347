#include <bilberrytrail/release/reconcile.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

constexpr ReconcileSettings kSettings;
constexpr Duration kStep = 100ms;
constexpr Duration kLoadTime = 2s;
constexpr Duration kReportLag = 500ms;
const ModelId kGuide("guide");
const ModelId kTags("tags");

// Simulated backend servers that load a version in kLoadTime and whose reports
// arrive after kReportLag.
class Fleet
{
public:
  struct Server
  {
    EngineState mState;
    std::vector<std::pair<Instant, EngineState>> mReports;
    std::map<LoadedVersion, Instant> mReadyAt;
    bool mUsable = true;
    bool mChecksFencing = true;
  };

  explicit Fleet(std::size_t aCount)
  {
    for (std::size_t n = 0; n < aCount; ++n) {
      mServers[ServerId("s" + std::to_string(n))];
    }
  }

  void Put(const char* aServer, const ModelId& aModel, const char* aVersion)
  {
    mServers.at(ServerId(aServer))
      .mState.mVersions.push_back({ aModel, VersionId(aVersion), true });
  }

  void Execute(const ServerOrder& aOrder)
  {
    Server& server = mServers.at(aOrder.mServer);
    const EngineOrder& order = aOrder.mOrder;
    if (server.mChecksFencing &&
        order.mFencing < server.mState.mHighestFencing) {
      return;
    }
    server.mState.mHighestFencing =
      std::max(server.mState.mHighestFencing, order.mFencing);
    auto& versions = server.mState.mVersions;
    auto& adapters = server.mState.mAdapters;
    switch (order.mKind) {
      case OrderKind::LoadVersion:
        versions.push_back({ order.mModel, order.mVersion, false });
        server.mReadyAt[versions.back()] = mNow + kLoadTime;
        break;
      case OrderKind::UnloadVersion:
        std::erase_if(versions, [&](const LoadedVersion& aHas) {
          return aHas.mModel == order.mModel && aHas.mVersion == order.mVersion;
        });
        break;
      case OrderKind::LoadAdapter:
        adapters.push_back(order.mArgument);
        break;
      case OrderKind::UnloadAdapter:
        std::erase(adapters, order.mArgument);
        break;
      case OrderKind::SetRole:
        server.mState.mRole = order.mArgument;
        break;
    }
  }

  // Advances the time by kStep and executes the reconciler's orders unless
  // mLosesOrders is set. Returns the orders.
  std::vector<ServerOrder> Step(Reconciler& aReconciler,
                                const ProductState& aState,
                                const std::vector<ModelDemand>& aDemand)
  {
    mNow += kStep;
    std::vector<ServerView> views;
    for (auto& [id, server] : mServers) {
      for (auto& it : server.mState.mVersions) {
        const auto ready = server.mReadyAt.find(it);
        if (ready != server.mReadyAt.end() && ready->second <= mNow) {
          server.mReadyAt.erase(ready);
          it.mReady = true;
        }
      }
      server.mReports.emplace_back(mNow + kReportLag, server.mState);
      ServerView view{ id, server.mUsable, std::nullopt };
      for (const auto& [at, state] : server.mReports) {
        if (at <= mNow) {
          view.mState = state;
        }
      }
      views.push_back(view);
    }
    auto orders = aReconciler.Decide(aState, views, aDemand, mFencing, mNow);
    if (!mLosesOrders) {
      for (const auto& it : orders) {
        Execute(it);
      }
    }
    return orders;
  }

  void Run(Reconciler& aReconciler,
           const ProductState& aState,
           const std::vector<ModelDemand>& aDemand,
           Duration aLength)
  {
    for (const Instant end = mNow + aLength; mNow < end;) {
      (void)Step(aReconciler, aState, aDemand);
      REQUIRE(Loading() <= kSettings.mMaxLoads);
    }
  }

  [[nodiscard]] std::size_t Loading() const
  {
    std::size_t count = 0;
    for (const auto& [id, server] : mServers) {
      for (const auto& it : server.mState.mVersions) {
        count += it.mReady ? 0U : 1U;
      }
    }
    return count;
  }

  // Returns the number of usable servers with a ready version of the model, or
  // with the given version; with aIdle only those that load nothing.
  [[nodiscard]] std::size_t Serving(const ModelId& aModel,
                                    const char* aVersion = nullptr,
                                    bool aIdle = false) const
  {
    std::size_t count = 0;
    for (const auto& [id, server] : mServers) {
      bool serves = false;
      bool loads = false;
      for (const auto& it : server.mState.mVersions) {
        serves = serves ||
                 (it.mReady && it.mModel == aModel &&
                  (aVersion == nullptr || it.mVersion == VersionId(aVersion)));
        loads = loads || !it.mReady;
      }
      count += serves && server.mUsable && !(aIdle && loads) ? 1U : 0U;
    }
    return count;
  }

  Instant mNow = Instant() + 1000s;
  FencingNumber mFencing{ 1 };
  bool mLosesOrders = false;
  std::map<ServerId, Server> mServers;
};

ProductState
MakeState(const char* aVersion, std::uint32_t aMin, std::uint32_t aMax)
{
  ProductState state;
  state.mModels[kGuide] = { VersionId(aVersion), aMin, aMax, "draft" };
  return state;
}

} // namespace

TEST_CASE("empty servers get version, role and adapters, two loads at a time")
{
  Fleet fleet(6);
  Reconciler reconciler(kSettings);
  ProductState state = MakeState("v1", 4, 6);
  state.mAdapters["fold"] = { kGuide };
  fleet.Run(reconciler, state, {}, 12s);
  CHECK(fleet.Serving(kGuide, "v1") == 4);
  std::size_t ready = 0;
  for (const auto& [id, server] : fleet.mServers) {
    ready += server.mState.mRole == "draft" &&
                 server.mState.mAdapters == std::vector<std::string>{ "fold" }
               ? 1U
               : 0U;
  }
  CHECK(ready == 4);
  state.mAdapters.clear();
  fleet.Run(reconciler, state, {}, 2s);
  for (const auto& [id, server] : fleet.mServers) {
    CHECK(server.mState.mAdapters.empty());
  }
}

TEST_CASE("a model keeps a serving server during a version change")
{
  for (const std::size_t count : { 1UL, 2UL, 3UL, 9UL }) {
    CAPTURE(count);
    Fleet fleet(count);
    for (std::size_t n = 0; n < count; ++n) {
      fleet.Put(("s" + std::to_string(n)).c_str(), kGuide, "v1");
    }
    Reconciler reconciler(kSettings);
    const auto servers = static_cast<std::uint32_t>(count);
    const ProductState state = MakeState("v2", servers, servers);
    for (int n = 0; n < 400; ++n) {
      fleet.Run(reconciler, state, {}, kStep);
      REQUIRE(fleet.Serving(kGuide) >= 1);
      REQUIRE((count == 1 || fleet.Serving(kGuide, nullptr, true) >= 1));
    }
    CHECK(fleet.Serving(kGuide, "v2") == count);
    CHECK(fleet.Serving(kGuide, "v1") == 0);
  }
}

TEST_CASE("an old version is kept for mOldVersionRetention while requests run")
{
  Fleet fleet(2);
  for (const char* it : { "s0", "s1" }) {
    fleet.Put(it, kGuide, "v1");
    fleet.mServers.at(ServerId(it)).mState.mRunning = 1;
  }
  Reconciler reconciler(kSettings);
  const ProductState state = MakeState("v2", 2, 2);
  fleet.Run(reconciler, state, {}, 30s);
  CHECK(fleet.Serving(kGuide, "v2") == 2);
  CHECK(fleet.Serving(kGuide, "v1") == 2);
  fleet.mServers.at(ServerId("s0")).mState.mRunning = 0;
  fleet.Run(reconciler, state, {}, 2s);
  CHECK(fleet.Serving(kGuide, "v1") == 1);
  fleet.Run(reconciler, state, {}, kSettings.mOldVersionRetention);
  CHECK(fleet.Serving(kGuide, "v1") == 0);
}

TEST_CASE("a model grows with demand at once and shrinks after mShrinkAfter")
{
  Fleet fleet(6);
  Reconciler reconciler(kSettings);
  const ProductState state = MakeState("v1", 1, 5);
  fleet.Run(reconciler, state, { { kGuide, 1 } }, 5s);
  CHECK(fleet.Serving(kGuide) == 1);
  fleet.Run(reconciler, state, { { kGuide, 9 } }, 15s);
  CHECK(fleet.Serving(kGuide) == 5);
  fleet.Run(reconciler, state, { { kGuide, 2 } }, kSettings.mShrinkAfter - 5s);
  fleet.Run(reconciler, state, { { kGuide, 5 } }, 1s);
  fleet.Run(reconciler, state, { { kGuide, 2 } }, kSettings.mShrinkAfter - 5s);
  CHECK(fleet.Serving(kGuide) == 5);
  fleet.Run(reconciler, state, { { kGuide, 2 } }, 10s);
  CHECK(fleet.Serving(kGuide) == 2);
}

TEST_CASE("every model gets its minimum of servers before another gets more")
{
  Fleet fleet(4);
  Reconciler reconciler(kSettings);
  ProductState state = MakeState("v1", 1, 4);
  state.mModels[kTags] = { VersionId("t1"), 2, 2, "" };
  fleet.Run(reconciler, state, { { kGuide, 4 } }, 15s);
  CHECK(fleet.Serving(kTags) == 2);
  CHECK(fleet.Serving(kGuide) == 2);
}

TEST_CASE("a dead server is replaced and a new holder keeps the placement")
{
  Fleet fleet(4);
  Reconciler reconciler(kSettings);
  const ProductState state = MakeState("v1", 2, 3);
  fleet.Run(reconciler, state, { { kGuide, 3 } }, 10s);
  REQUIRE(fleet.Serving(kGuide) == 3);
  Reconciler successor(kSettings);
  fleet.mFencing = FencingNumber(2);
  fleet.Run(successor, state, { { kGuide, 2 } }, 10s);
  CHECK(fleet.Serving(kGuide) == 3);
  const ServerId dead = successor.Placement().begin()->first;
  fleet.mServers.at(dead).mUsable = false;
  fleet.Run(successor, state, { { kGuide, 3 } }, 10s);
  CHECK(fleet.Serving(kGuide) == 3);
  CHECK_FALSE(successor.Placement().contains(dead));
}

TEST_CASE("a lost order is repeated only after mOrderTimeout")
{
  Fleet fleet(1);
  Reconciler reconciler(kSettings);
  const ProductState state = MakeState("v1", 1, 1);
  fleet.mLosesOrders = true;
  std::size_t loads = 0;
  for (int n = 0; n < 110; ++n) {
    for (const auto& it : fleet.Step(reconciler, state, {})) {
      loads += it.mOrder.mKind == OrderKind::LoadVersion ? 1U : 0U;
    }
  }
  CHECK(loads >= 2);
  CHECK(loads <= 3);
  fleet.mLosesOrders = false;
  fleet.Run(reconciler, state, {}, 10s);
  CHECK(fleet.Serving(kGuide, "v1") == 1);
}

TEST_CASE("the effects of a stale order are undone")
{
  Fleet fleet(3);
  Reconciler reconciler(kSettings);
  const ProductState state = MakeState("v2", 3, 3);
  fleet.mFencing = FencingNumber(2);
  fleet.Run(reconciler, state, {}, 12s);
  REQUIRE(fleet.Serving(kGuide, "v2") == 3);
  const ServerId victim("s1");
  const EngineOrder stale{
    OrderKind::LoadVersion, FencingNumber(1), kGuide, VersionId("v1"), {}
  };
  const EngineOrder staleUnload{
    OrderKind::UnloadVersion, FencingNumber(1), kGuide, VersionId("v2"), {}
  };
  SUBCASE("a server that checks fencing ignores the order")
  {
    fleet.Execute({ victim, stale });
    fleet.Execute({ victim, staleUnload });
    CHECK(fleet.Serving(kGuide, "v2") == 3);
  }
  SUBCASE("a server that does not check fencing is corrected")
  {
    fleet.mServers.at(victim).mChecksFencing = false;
    fleet.Execute({ victim, stale });
    fleet.Execute({ victim, staleUnload });
    CHECK(fleet.Serving(kGuide, "v2") == 2);
    fleet.Run(reconciler, state, {}, 15s);
    CHECK(fleet.Serving(kGuide, "v2") == 3);
    CHECK(fleet.Serving(kGuide, "v1") == 0);
  }
}

TEST_CASE("a withdrawn model is unloaded")
{
  Fleet fleet(2);
  fleet.Put("s0", kTags, "t1");
  fleet.Put("s1", kGuide, "v1");
  Reconciler reconciler(kSettings);
  fleet.Run(reconciler, MakeState("v1", 1, 1), {}, 5s);
  CHECK(fleet.Serving(kTags) == 0);
  CHECK(fleet.Serving(kGuide) == 1);
}
