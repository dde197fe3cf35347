#pragma once

#include "cache_server.h"
#include "evidence_gate.h"
#include "function_handler.h"
#include "loop_watch.h"
#include "peer_directory.h"
#include "placement_service.h"
#include "relay_follower.h"
#include "rollout_runner.h"

#include <bilberrytrail/entry/entry_daemon.h>

#include <atomic>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace bilberrytrail {

// The parts of an entry daemon, and their threads.
class EntryDaemon::Impl : private CacheSink
{
public:
  Impl(EntrySettings aSettings, EntryPlatform& aPlatform);

  Result<void> Start();
  void Drain();
  void Join();

private:
  [[nodiscard]] FlowContext MakeFlowContext();
  [[nodiscard]] bool IsReady() const;
  // Returns whether evidence about a table is overdue although no call for it
  // has failed: this daemon can't keep up, or was suspended.
  [[nodiscard]] bool IsLate() const;
  std::shared_ptr<const SiteView> UpdateView();
  void ForwardLoading(const std::set<ServerId>& aServers);
  void OnStores(std::vector<CacheStore> aStores) override;
  void OnPage(CachePage aPage) override;
  void DrainOnControl();
  void AwaitEnd(Instant aUntil);
  void ForwardSettings();
  void ForwardPlacement();
  void ForwardMap();
  HttpResponse ServeReadiness(const HttpRequest& aRequest) const;
  HttpResponse ServeMetrics(const HttpRequest& aRequest) const;
  HttpResponse ServePeer(const HttpRequest& aRequest);
  HttpResponse ServeBulk(const HttpRequest& aRequest);

  const EntrySettings mSettings;
  EntryPlatform& mPlatform;
  // Used on the control thread.
  Loop mControl;
  std::unique_ptr<SiteFeed> mFeed;
  std::unique_ptr<TableService> mTable;
  std::unique_ptr<SiteReader> mReader;
  std::unique_ptr<OrderPort> mOrders;
  HistogramRegistry mHistograms;
  CounterRegistry mCounters;
  SiteMetrics mMetrics;
  SiteViewHolder mViews;
  const PeerAddress mSelf;
  SiteState mState;
  HttpPeerTransport mTransport;
  PeerDirectory mPeers;
  LoadingNotifier mNotifier;
  PeerSiteReader mPeerReader;
  TableFollower mTableFollower;
  SiteServer mSiteServer;
  // Used on the bulk thread, on which nothing depends that must be in time.
  Loop mBulk;
  HttpPeerTransport mBulkTransport;
  std::unique_ptr<CacheEventPort> mCacheEvents;
  StoreFollower mStoreFollower;
  CacheFollower mCacheFollower;
  CacheServer mCacheServer;
  HttpServer mBulkServer;
  FunctionHandler mBulkHandler;
  // Used on the control thread.
  LoopWatch mControlWatch;
  RelayFollower mRelayFollower;
  RolloutRunner mRolloutRunner;
  RpcMethods mMethods;
  HttpServer mReadinessServer;
  HttpServer mPeerServer;
  HttpServer mMetricsServer;
  FunctionHandler mReadinessHandler;
  FunctionHandler mPeerHandler;
  FunctionHandler mMetricsHandler;
  std::atomic<bool> mIsDraining = false;
  // Input of the current placement map.
  std::size_t mGroupedPeers = 0;
  std::vector<ServerRecord> mGroupedServers;
  // When the list of daemons that the traffic thread knows was read.
  std::optional<Instant> mListReadAt;
  // Used on the traffic thread.
  Loop mTraffic;
  EvidenceGate mEvidence;
  std::unique_ptr<BackendPort> mBackend;
  ServerLimits mLimits;
  ColdServers mColds;
  // Paces requests that this daemon places itself.
  RateGate mGate;
  const double mGatePhase;
  PartQuarantine mParts;
  PartQuarantine mRequests{ { .mKind = QuarantinedKind::Request } };
  CrashWatch mCrashes;
  AvoidedServers mAvoided;
  ServerPool mPool;
  RetryMeter mRetries;
  CacheDirectory mCache;
  PlacementService mPlacement;
  std::shared_ptr<const SiteView> mCurrentView;
  // Number of daemons by which limits and allowances are divided; 0 while
  // unknown.
  std::size_t mSharingDaemons = 0;
  LoopWatch mTrafficWatch;
  RequestFlow mFlow;
  std::unique_ptr<HttpHandler> mCallerHandler;
  HttpServer mCallerServer;
  // Number of daemons; 0 while unknown.
  std::atomic<std::size_t> mDaemons = 0;
  std::vector<std::thread> mThreads;
};

} // namespace bilberrytrail
