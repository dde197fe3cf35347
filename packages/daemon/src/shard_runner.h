#pragma once

#include "control_state.h"
#include "home_service.h"
#include "thread_context.h"

#include <bilberrytrail/release/lease.h>
#include <bilberrytrail/release/reconcile.h>

#include <map>
#include <memory>
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
  // the holder of the product's shard.
  [[nodiscard]] Result<Json> StatesForPeer(const Json& aParams);

  void Start();
  // Gives all leases back.
  void Release();

private:
  struct Shard
  {
    std::uint32_t mNumber = 0;
    std::unique_ptr<Lease> mLease;
    std::map<ProductId, Reconciler> mReconcilers;
  };

  [[nodiscard]] std::uint32_t ShardOf(const ProductId& aProduct) const;
  void RunLease(Shard& aShard);
  void ReconcileAll();
  void Reconcile(Shard& aShard, const ProductState& aProduct);
  [[nodiscard]] std::vector<ServerView> CollectStates(
    const ProductId& aProduct);
  void Send(Shard& aShard, const ServerOrder& aOrder);

  ThreadContext& mThread;
  ControlState& mState;
  HomeService& mHomes;
  std::vector<Shard> mShards;
  bool mIsReleased = false;
};

} // namespace bilberrytrail
