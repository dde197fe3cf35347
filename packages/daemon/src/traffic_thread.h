#pragma once

#include "caller_service.h"
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
                const RpcMethods& aMethods,
                DaemonMetrics& aMetrics,
                std::uint64_t aSeed);

  [[nodiscard]] Loop& GetLoop() noexcept { return mLoop; }
  // Returns the number of requests that are being served.
  [[nodiscard]] std::size_t ActiveRequests() const noexcept;

  [[nodiscard]] Result<void> Start();
  void Run();
  // Accepts no further connections. Call on the loop's thread.
  void StopAccepting();

private:
  void WatchPeers();

  const DaemonSettings& mSettings;
  ControlViewHolder& mViews;
  HomeService& mHomes;
  Loop mLoop;
  ThreadContext mThread;
  CallerService mCallers;
  PeerService mPeers;
  HttpServer mCallerServer;
  HttpServer mPeerServer;
};

} // namespace bilberrytrail
