#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/release/product_state.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bilberrytrail {

// One backend server of a product as known to the holder of its control shard.
struct ServerView
{
  ServerId mId;
  // False for dead and leaving servers: they get no orders and are not counted
  // as serving.
  bool mUsable = true;
  // Last report of the server; nothing before the first.
  std::optional<EngineState> mState;
};

// Number of servers that the current load of a model needs.
struct ModelDemand
{
  ModelId mModel;
  double mServers = 0;
};

// An order to one server.
struct ServerOrder
{
  ServerId mServer;
  EngineOrder mOrder;
};

// Limits of a Reconciler.
struct ReconcileSettings
{
  // Maximum number of concurrent loads per weight store.
  std::uint32_t mMaxLoads = 2;
  // An order without a reported effect is repeated after this time.
  Duration mOrderTimeout = 5s;
  // A model loses servers once its demand has been lower for this long.
  Duration mShrinkAfter = 30s;
  // An old version is kept for at most this long while the server still runs
  // requests, which may use it.
  Duration mOldVersionRetention = 60s;
};

// Brings the servers of one product, which share one weight store, to the
// state that the release in force asks for. Level-triggered: each call compares
// the reported state with the wanted one, so that later orders correct the
// effects of lost, stale and ignored ones.
//
//   Reconciler reconciler(settings);
//   for (auto& it : reconciler.Decide(state, servers, demand, epoch, now)) {
//     engine.SendOrder(it.mOrder, timeout);
//   }
class Reconciler
{
public:
  explicit Reconciler(ReconcileSettings aSettings);

  // Returns the model placed on each server by the last call of Decide.
  [[nodiscard]] const std::map<ServerId, ModelId>& Placement() const noexcept;

  // Returns the orders to send now under the given fencing number.
  [[nodiscard]] std::vector<ServerOrder> Decide(
    const ProductState& aState,
    const std::vector<ServerView>& aServers,
    const std::vector<ModelDemand>& aDemand,
    FencingNumber aFencing,
    Instant aNow);

private:
  // A load that was ordered and is not yet reported as ready.
  struct Load
  {
    LoadedVersion mWhat;
    Instant mOrderedAt;
  };

  [[nodiscard]] std::uint32_t WantedServers(const ModelId& aModel,
                                            const ModelSpec& aSpec,
                                            double aDemand,
                                            std::uint32_t aCurrent,
                                            Instant aNow);
  void UpdatePlacement(const ProductState& aState,
                       const std::map<ServerId, const ServerView*>& aUsable,
                       const std::vector<ModelDemand>& aDemand,
                       Instant aNow);
  void AdoptServing(const ProductState& aState,
                    const std::map<ServerId, const ServerView*>& aUsable);
  void UnassignServers(const ModelId& aModel,
                       std::uint32_t aCount,
                       const std::map<ServerId, const ServerView*>& aUsable);
  void AssignServers(const ModelId& aModel,
                     std::uint32_t aCount,
                     const std::map<ServerId, const ServerView*>& aUsable);
  void RemoveFinishedLoads(const std::map<ServerId, const ServerView*>& aUsable,
                           Instant aNow);
  [[nodiscard]] std::uint32_t CountLoads(
    const std::vector<ServerView>& aServers) const;
  [[nodiscard]] bool HasOtherServing(
    const std::map<ServerId, const ServerView*>& aUsable,
    const ServerId& aServer,
    const ModelId& aModel) const;
  [[nodiscard]] bool MayInterrupt(
    const ProductState& aState,
    const std::map<ServerId, const ServerView*>& aUsable,
    const ServerView& aServer) const;
  [[nodiscard]] std::vector<ServerId> ServersToLoad(
    const ProductState& aState,
    const std::map<ServerId, const ServerView*>& aUsable) const;
  void OrderLoads(const ProductState& aState,
                  const std::vector<ServerView>& aServers,
                  const std::map<ServerId, const ServerView*>& aUsable,
                  Instant aNow);
  void OrderUnloads(const ProductState& aState,
                    const std::map<ServerId, const ServerView*>& aUsable,
                    Instant aNow);
  void OrderSettings(const ProductState& aState,
                     const ServerView& aServer,
                     const ModelId& aModel,
                     Instant aNow);
  void Order(const ServerId& aServer, EngineOrder aOrder, Instant aNow);

  // An order that was sent; the same one is not sent again until mOrderTimeout
  // has passed.
  struct Sent
  {
    ServerId mServer;
    EngineOrder mOrder;
    Instant mAt;
  };

  ReconcileSettings mSettings;
  bool mHasAdopted = false;
  std::map<ServerId, ModelId> mPlacement;
  std::map<ServerId, Load> mLoads;
  std::map<ModelId, Instant> mLowSince;
  // Since when a version that is no longer wanted has been due for unloading.
  std::map<std::pair<ServerId, LoadedVersion>, Instant> mOldSince;
  std::vector<Sent> mSent;
  FencingNumber mFencing;
  std::vector<ServerOrder> mOrders;
};

} // namespace bilberrytrail
