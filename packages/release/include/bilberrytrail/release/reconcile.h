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

// One backend server of a product as the shard holder knows it.
struct ServerView
{
  ServerId mId;
  // Dead or leaving servers get no orders and serve nothing.
  bool mUsable = true;
  // Its last report; nothing before the first.
  std::optional<EngineState> mState;
};

// How many servers a model's callers could use now.
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

// Bounds of a Reconciler.
struct ReconcileSettings
{
  // Loads at once per weight store.
  std::uint32_t mMaxLoads = 2;
  // An order whose effect is not reported within this time is repeated.
  Duration mOrderTimeout = 5s;
  // A model gives up a server after demand has been lower for this long.
  Duration mShrinkAfter = 30s;
  // An old version that may still run drafts is kept for at most this long.
  Duration mOldVersionRetention = 60s;
};

// Brings the servers of one product, which share one weight store, in line
// with the release in force. Level-triggered: each call compares what servers
// report with what they should have, so that lost, stale and ignored orders
// are corrected by later ones.
//
//   Reconciler reconciler(settings);
//   for (auto& it : reconciler.Decide(state, servers, demand, epoch, now)) {
//     engine.SendOrder(it.mOrder, timeout);
//   }
class Reconciler
{
public:
  explicit Reconciler(ReconcileSettings aSettings);

  // The model that each server is placed on, as last decided.
  [[nodiscard]] const std::map<ServerId, ModelId>& Placement() const noexcept;

  // Returns the orders to send now under the given fencing number.
  [[nodiscard]] std::vector<ServerOrder> Decide(
    const ProductState& aState,
    const std::vector<ServerView>& aServers,
    const std::vector<ModelDemand>& aDemand,
    FencingNumber aFencing,
    Instant aNow);

private:
  // A load that was ordered and is not reported as ready yet.
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
  void Place(const ProductState& aState,
             const std::map<ServerId, const ServerView*>& aUsable,
             const std::vector<ModelDemand>& aDemand,
             Instant aNow);
  void AdoptServing(const ProductState& aState,
                    const std::map<ServerId, const ServerView*>& aUsable);
  void GiveUpServers(const ModelId& aModel,
                     std::uint32_t aCount,
                     const std::map<ServerId, const ServerView*>& aUsable);
  void TakeServers(const ModelId& aModel,
                   std::uint32_t aCount,
                   const std::map<ServerId, const ServerView*>& aUsable);
  void SettleLoads(const std::map<ServerId, const ServerView*>& aUsable,
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

  // An order that was sent, to be repeated when it shows no effect.
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
  // Since when a version that is not wanted has been waited out on a server.
  std::map<std::pair<ServerId, LoadedVersion>, Instant> mOldSince;
  std::vector<Sent> mSent;
  FencingNumber mFencing;
  std::vector<ServerOrder> mOrders;
};

} // namespace bilberrytrail
