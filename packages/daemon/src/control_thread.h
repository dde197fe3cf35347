#pragma once

#include "claim_sweeper.h"
#include "control_state.h"
#include "home_service.h"
#include "list_runner.h"
#include "membership_runner.h"
#include "operator_service.h"
#include "release_runner.h"
#include "server_monitor.h"
#include "shard_runner.h"
#include "store_runner.h"
#include "thread_context.h"

#include <functional>
#include <memory>

namespace bilberrytrail {

// Everything that runs on the control thread: membership, the list of VMs,
// releases, leases, the engines' event streams and the operator endpoint.
class ControlThread
{
public:
  ControlThread(const DaemonSettings& aSettings,
                const MemberRecord& aSelf,
                PeerSeal& aSeal,
                ControlViewHolder& aViews,
                HomeService& aHomes,
                const DaemonMetrics& aMetrics,
                std::function<void()> aDrain);

  [[nodiscard]] Loop& GetLoop() noexcept { return mLoop; }
  // Returns whether a lease is not given back yet after Leave().
  [[nodiscard]] bool IsReleasing() const { return mShards.IsReleasing(); }

  // Adds the calls that other daemons make to the control thread. They run on
  // traffic threads and wait for the control thread.
  void AddMethods(RpcMethods& aMethods);
  // Binds the sockets and starts the fibers; Run then serves them.
  [[nodiscard]] Result<void> Start();
  void Run();
  // Leaves the membership and gives the leases back. Call on the control
  // thread.
  void Leave();
  // Refuses new work of callers, once the others know of the stop. Call on
  // the control thread.
  void Close();

private:
  const DaemonSettings& mSettings;
  HomeService& mHomes;
  std::function<void()> mDrain;
  Loop mLoop;
  ThreadContext mThread;
  ControlState mState;
  MembershipRunner mMembers;
  ReleaseRunner mReleases;
  ListRunner mList;
  ServerMonitor mMonitor;
  StoreRunner mStores;
  ShardRunner mShards;
  ClaimSweeper mSweeper;
  OperatorService mOperators;
  HttpServer mOperatorServer;
};

} // namespace bilberrytrail
