#pragma once

#include "control_state.h"
#include "home_service.h"
#include "thread_context.h"

#include <bilberrytrail/release/lease.h>
#include <bilberrytrail/release/reconcile.h>
#include <bilberrytrail/release/state_push.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

namespace bilberrytrail {

// Holds the leases of control shards that this daemon is home to, and brings
// the engines of these shards' products in line with the release in force.
class ShardRunner
{
public:
  // The daemon's id names it as holder in the table.
  ShardRunner(const DaemonId& aSelf,
              ThreadContext& aThread,
              ControlState& aState,
              HomeService& aHomes,
              std::uint32_t aShards,
              const LeaseSettings& aSettings);

  // Returns whether this daemon holds the lease of the shard now.
  [[nodiscard]] bool Holds(std::uint32_t aShard) const;
  // Returns the states of the engines of a product that are homed here, for
  // a new holder of the product's shard. Thread-safe.
  [[nodiscard]] Result<Json> StatesForPeer(const Json& aParams);
  // Takes states that a home pushes to the holder of a shard. Thread-safe.
  [[nodiscard]] Result<Json> TakeStates(const Json& aParams);

  void Start();
  // Gives all leases back.
  void Release();
  // Returns whether a lease is not given back yet.
  [[nodiscard]] bool IsReleasing() const;

private:
  struct Shard
  {
    std::uint32_t mNumber = 0;
    std::unique_ptr<Lease> mLease;
    std::map<ProductId, Reconciler> mReconcilers;
    // Products whose homes were asked for all states since the lease was taken.
    std::set<ProductId> mAsked;
  };

  [[nodiscard]] std::uint32_t ShardOf(const ProductId& aProduct) const;
  void RunLease(Shard& aShard);
  void ReconcileAll();
  void Reconcile(Shard& aShard, const ProductState& aProduct);
  [[nodiscard]] std::vector<ServerView> CollectStates(
    const ProductId& aProduct);
  // Asks all homes of the product's servers for their states.
  void AskHomes(const ProductId& aProduct);
  // Reads the states of a message of a home. Thread-safe.
  [[nodiscard]] Result<void> TakeMessage(const Json& aMessage);
  // Returns a message with the states to a holder. Thread-safe.
  [[nodiscard]] Json MakeMessage(std::uint64_t aNumber,
                                 const std::vector<HomedState>& aStates);
  // Returns the states of the engines that this daemon is home to.
  [[nodiscard]] std::vector<HomedState> HomedStates() const;
  // Sends states to the holders of their shards, until the loop stops.
  void PushAll();
  void Push(std::uint64_t aNumber, const StateBatch& aBatch);
  void Send(Shard& aShard, const ServerOrder& aOrder, bool aWasIdle);
  // Returns whether nothing runs on the server now.
  [[nodiscard]] bool IsIdle(const Endpoint& aEngine);

  ThreadContext& mThread;
  ControlState& mState;
  HomeService& mHomes;
  std::vector<Shard> mShards;
  StatePublisher mPushes;
  std::atomic<std::uint64_t> mLastMessage = 0;
  std::mutex mMutex;
  ReceivedStates mHeld;
  bool mIsReleased = false;
};

} // namespace bilberrytrail
