#pragma once

#include "cache_server.h"
#include "relay_follower.h"
#include "simulated_network.h"
#include "simulated_site.h"

#include <bilberrytrail/base/counter_registry.h>
#include <bilberrytrail/base/histogram_registry.h>

namespace bilberrytrail::relays {

// The parts of a daemon that follow the state of the site, on a simulated VM.
class SimulatedNode : private CacheSink
{
public:
  SimulatedNode(Loop& aLoop,
                SimulatedSite& aSite,
                SimulatedNetwork& aNetwork,
                PeerAddress aSelf,
                double aProcessorShare);

  void Start();

  [[nodiscard]] const PeerAddress& Self() const noexcept { return mSelf; }
  // Returns the version of the configuration in force; 0 before the first one.
  [[nodiscard]] std::uint64_t Config() const;
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] bool FollowsStores() const;

  SimulatedVm mVm;
  SimulatedFeed mFeed;

private:
  void OnStores(std::vector<CacheStore> /*aStores*/) override {}
  void OnPage(CachePage /*aPage*/) override {}
  Result<std::string> Serve(const std::string& aPath, const std::string& aBody);
  // Returns the bytes of replies that were built so far, except RPC replies.
  [[nodiscard]] std::size_t BuiltBytes() const;

  Loop& mLoop;
  const PeerAddress mSelf;
  SimulatedEvents mEvents;
  SimulatedTable mTable;
  SimulatedReader mReader;
  SimulatedTransport mTransport;
  HistogramRegistry mTimes;
  CounterRegistry mCounts;
  SiteMetrics mMetrics;
  SiteViewHolder mViews;
  SiteState mState;
  PeerDirectory mPeers;
  LoadingNotifier mNotifier;
  PeerSiteReader mPeerReader;
  TableFollower mTableFollower;
  SiteServer mSiteServer;
  StoreFollower mStoreFollower;
  CacheFollower mCacheFollower;
  CacheServer mCacheServer;
  LoopWatch mWatch;
  RelayFollower mRelayFollower;
  RpcMethods mMethods;
};

} // namespace bilberrytrail::relays
