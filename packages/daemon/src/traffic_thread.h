#pragma once

#include "caller_service.h"
#include "daemon_parts.h"
#include "peer_service.h"

#include <bilberrytrail/runtime/http_server.h>

namespace bilberrytrail {

// One traffic thread: serves callers and other daemons on its own loop.
class TrafficThread
{
public:
  TrafficThread(const DaemonSettings& aSettings,
                PeerSeal& aSeal,
                ControlViewHolder& aViews,
                HomeService& aHomes,
                DaemonParts& aParts,
                const RpcMethods& aMethods,
                DaemonMetrics& aMetrics,
                std::uint64_t aSeed);

  [[nodiscard]] Loop& GetLoop() noexcept { return mLoop; }
  // Returns the number of requests that are being served.
  [[nodiscard]] std::size_t ActiveRequests() const noexcept;

  [[nodiscard]] Result<void> Start();
  void Run();
  // Starts what one thread of the daemon does for all of them: commits claims,
  // repeats the quarantine's records and renews the accounts' leases.
  void StartBackground();
  // Accepts no further connections. Call on the loop's thread.
  void StopAccepting();

private:
  void WatchPeers();

  const DaemonSettings& mSettings;
  ControlViewHolder& mViews;
  HomeService& mHomes;
  DaemonParts& mParts;
  const std::uint64_t mSeed;
  Loop mLoop;
  ThreadContext mThread;
  // The daemon's methods and those that wait on this thread's loop.
  RpcMethods mMethods;
  CallerService mCallers;
  PeerService mPeers;
  HttpServer mCallerServer;
  HttpServer mPeerServer;
};

} // namespace bilberrytrail
