#include "await_address.h"
#include "entry_daemon_impl.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/runtime/memory_budget.h>

#include <algorithm>
#include <thread>

namespace bilberrytrail {

namespace {

// Limit on label sets, per registry, of client accounts, routes and services.
constexpr std::size_t kMaxSeries = 256;
// The balancer removes a daemon after two failed readiness checks, one a
// second; its last connections arrive shortly after.
constexpr Duration kBalancerLeaveTime = 2600ms;
// Time after that in which requests on connections that were accepted before
// still arrive; later ones are refused.
constexpr Duration kLastRequestTime = 500ms;
// Reserve of the stop time, to exit before the process is killed.
constexpr Duration kStopReserve = 400ms;
// Time of the reserve in which callers are told that their requests have ended.
constexpr Duration kLastAnswerTime = 200ms;
constexpr Duration kDrainCheckPeriod = 20ms;
constexpr Duration kForwardPeriod = 500ms;
// Share of a server's rate limit that all daemons together use for requests
// that they place without a home.
constexpr double kDirectLimitShare = 0.125;
// Shares of the memory that messages in progress may take: a quarter for those
// of callers, an eighth for those of the table service and peers, which must be
// readable whatever callers and servers send, and an eighth for those of the
// stores and about them.
constexpr double kTrafficBytesPerMb = 0.25 * 1e6;
constexpr double kControlBytesPerMb = 0.125 * 1e6;
constexpr double kBulkBytesPerMb = 0.125 * 1e6;
// Share of the time within which a configuration must be in force that a row
// which other daemons have may take to come.
constexpr double kRowPatienceShare = 0.25;
// Time to wait for addresses that are still taken: the process before may end
// only when its stop time is over.
constexpr Duration kAddressWait = 12s;

// Limits of requests between daemons; a replica of the tables is the largest
// body.
HttpLimits
PeerLimits()
{
  HttpLimits limits;
  limits.mBodyBytes = 4 * 1024 * 1024;
  return limits;
}

// Returns an identifier that differs from those of all other daemons and of
// earlier processes of this one.
std::uint64_t
MakeLogId(const PeerAddress& aSelf)
{
  const auto start = MonotonicNow().time_since_epoch().count();
  const auto wall = std::chrono::system_clock::now().time_since_epoch().count();
  return StableHash64(ToText(aSelf.mEndpoint) + "/" + std::to_string(start) +
                      "/" + std::to_string(wall)) |
         1U;
}

} // namespace

EntryDaemon::Impl::Impl(EntrySettings aSettings, EntryPlatform& aPlatform)
  : mSettings(std::move(aSettings))
  , mPlatform(aPlatform)
  , mFeed(aPlatform.MakeFeed(mControl, mSettings.mStore))
  , mTable(aPlatform.MakeTable(mControl, mSettings.mStore))
  , mReader(aPlatform.MakeReader())
  , mOrders(aPlatform.MakeOrders(mControl))
  , mHistograms(kMaxSeries)
  , mCounters(kMaxSeries)
  , mMetrics(mHistograms, mCounters)
  , mSelf{ mSettings.mName,
           mSettings.mPeers,
           mSettings.mZone,
           mSettings.mLinkMbps,
           std::nullopt }
  , mState(mControl, *mReader, mViews, mMetrics)
  , mTransport(mControl)
  , mPeers(mControl, *mTable, mSelf, StableHash64(mSettings.mName.Text()))
  , mNotifier(mControl,
              mPeers,
              mTransport,
              mSelf.mName,
              [this](const auto& aServers) { ForwardLoading(aServers); })
  , mPeerReader(mControl, mTransport, mState, mNotifier)
  , mTableFollower(mControl, *mFeed, mPeers, mPeerReader, mState)
  , mSiteServer(mControl, mState, mNotifier, mMetrics)
  , mBulkTransport(mBulk)
  , mCacheEvents(aPlatform.MakeCacheEvents(mBulk))
  , mStoreFollower(mBulk, *mCacheEvents, mViews, *this, MakeLogId(mSelf))
  , mCacheFollower(mBulk, mBulkTransport, mStoreFollower)
  , mCacheServer(mStoreFollower, mMetrics, mSettings.mLinkMbps)
  , mBulkServer(mBulk, PeerLimits())
  , mBulkHandler(
      [this](const HttpRequest& aRequest) { return ServeBulk(aRequest); })
  , mControlWatch(mControl, mMetrics, "control")
  , mRelayFollower(mControl,
                   mPeers,
                   mTableFollower,
                   mPeerReader,
                   mSiteServer,
                   mCacheFollower,
                   mControlWatch,
                   RelayChoice(mSelf))
  , mRolloutRunner(mControl,
                   mSettings,
                   *mTable,
                   *mOrders,
                   mPeers,
                   mNotifier,
                   mViews)
  , mReadinessServer(mControl, HttpLimits())
  , mPeerServer(mControl, PeerLimits())
  , mMetricsServer(mControl, HttpLimits())
  , mReadinessHandler(
      [this](const HttpRequest& aRequest) { return ServeReadiness(aRequest); })
  , mPeerHandler(
      [this](const HttpRequest& aRequest) { return ServePeer(aRequest); })
  , mMetricsHandler(
      [this](const HttpRequest& aRequest) { return ServeMetrics(aRequest); })
  , mEvidence(mControl, mTraffic, mTableFollower, mViews)
  , mBackend(aPlatform.MakeBackend(mTraffic))
  , mColds(mSettings.mColdOver, mSettings.mColdSlack)
  , mGate(mLimits, &mColds)
  , mGatePhase(Random(MakeLogId(mSelf)).Unit())
  , mCrashes(mTraffic,
             *mBackend,
             mParts,
             mRequests,
             [this] {
               const auto listedAt = mViews.CompleteAt(SiteTable::Servers);
               (void)UpdateView();
               return listedAt;
             })
  , mPool(mSettings.mZone, ServerPoolSettings(), &mGate, &mAvoided)
  , mRetries(
      { mSettings.mRetryRatio, mSettings.mRetrySlack, mSettings.mRetryWindow },
      MonotonicNow())
  , mPlacement(mTraffic,
               mSettings.mZone,
               mSelf.mName,
               MakeLogId(mSelf),
               mLimits,
               mColds,
               mParts,
               mRequests)
  , mTrafficWatch(mTraffic, mMetrics, "traffic")
  , mFlow(MakeFlowContext())
  , mCallerHandler(aPlatform.MakeCallerHandler(mFlow))
  , mCallerServer(mTraffic, HttpLimits())
{
  if (mSettings.mMemoryMb > 0) {
    const auto makeBudget = [&](double aBytesPerMb) {
      return std::make_shared<MemoryBudget>(
        static_cast<std::size_t>(mSettings.mMemoryMb * aBytesPerMb));
    };
    mTraffic.SetMessageMemory(makeBudget(kTrafficBytesPerMb));
    mControl.SetMessageMemory(makeBudget(kControlBytesPerMb));
    mBulk.SetMessageMemory(makeBudget(kBulkBytesPerMb));
  }
  mPlacement.OnNewerRow([this](SiteTable aTable, TableVersion aRow) {
    const auto patience = std::chrono::duration_cast<Duration>(
      mSettings.mConfigWithin * kRowPatienceShare);
    mControl.Spawn([this, aTable, aRow, patience] {
      mTableFollower.OnNewerRow(aTable, aRow, patience);
    });
  });
  mGate.SetShare(0);
  mRelayFollower.AddMethods(mMethods);
  mNotifier.AddMethods(mMethods);
}

FlowContext
EntryDaemon::Impl::MakeFlowContext()
{
  return {
    mTraffic,
    *mBackend,
    mPool,
    mRetries,
    mCache,
    mHistograms,
    mCounters,
    mSettings.mWeightsWithin,
    [this] { return UpdateView(); },
    mSettings.mConfigWithin,
    [this](Instant aNeeded, Duration aWait) {
      return mEvidence.Await(aNeeded, aWait);
    },
    [this] { return mViews.Evidence(SiteTable::Operator); },
    mLimits,
    mGate,
    mParts,
    mRequests,
    mCrashes,
    mAvoided,
    &mPlacement,
  };
}

// Returns the view in force, after updating the state of the traffic thread
// from a new one, and from the number of daemons. Called on the traffic thread.
std::shared_ptr<const SiteView>
EntryDaemon::Impl::UpdateView()
{
  auto view = mViews.Load();
  if (view != mCurrentView) {
    mCurrentView = view;
    if (view->mConfig != nullptr) {
      mColds.SetServices(view->mConfig->mServices);
    }
    mColds.Update(view->mServers, MonotonicNow());
    for (const auto& it : mPool.Update(view->mServers, MonotonicNow())) {
      mBackend->Forget(it);
    }
    mPlacement.SetNewestRows(view->mNewestRows);
    mPlacement.Ledger().SetServers(view->mServers, MonotonicNow());
    mLimits.Retain(view->mServers, MonotonicNow());
    mAvoided.Retain(view->mServers, MonotonicNow());
    mCrashes.OnServers(view->mServers);
  }
  const std::size_t daemons = mDaemons;
  if (daemons > 0 && daemons != mSharingDaemons) {
    mSharingDaemons = daemons;
    mGate.SetSplitShare(kDirectLimitShare, daemons, mGatePhase);
    mRetries.SetDaemons(daemons, MonotonicNow());
    mCache.SetDaemons(daemons);
  }
  return view;
}

Result<void>
EntryDaemon::Impl::Start()
{
  const auto end = MonotonicNow() + kAddressWait;
  for (const auto& [server, endpoint] :
       { std::pair{ &mReadinessServer, mSettings.mReadiness },
         std::pair{ &mPeerServer, mSettings.mPeers },
         std::pair{ &mMetricsServer, mSettings.mMetrics },
         std::pair{ &mCallerServer, mSettings.mCallers } }) {
    const auto listen = [it = server, &to = endpoint]() -> Result<void> {
      if (auto port = it->Listen(to); !port) {
        return std::move(port).error();
      }
      return Ok();
    };
    if (auto ok = AwaitAddress(listen, end); !ok) {
      return ok;
    }
  }
  // The last one, so that a port that the system picks is none of the others.
  const auto listenBulk = [this]() -> Result<void> {
    const auto& host = mSettings.mPeers.mHost;
    const auto port = mBulkServer.Listen({ host, mSettings.mBulkPort });
    if (!port) {
      return port.error();
    }
    mPeers.SetBulk({ host, port.value() });
    return Ok();
  };
  if (auto ok = AwaitAddress(listenBulk, end); !ok) {
    return ok;
  }
  const auto bind = [this] { return mPlacement.Start(mSettings.mPeers); };
  if (auto ok = AwaitAddress(bind, end); !ok) {
    return ok;
  }
  mReadinessServer.Serve(mReadinessHandler);
  mPeerServer.Serve(mPeerHandler);
  mBulkServer.Serve(mBulkHandler);
  mMetricsServer.Serve(mMetricsHandler);
  mCallerServer.Serve(*mCallerHandler);
  mState.Start();
  mTableFollower.Start();
  mCacheFollower.Start();
  mControl.Spawn([this] { mRelayFollower.Run(); });
  mControl.Spawn([this] { mPeers.Run(); });
  mControl.Spawn([this] { mRolloutRunner.Run(); });
  mControl.Spawn([this] { ForwardSettings(); });
  mControl.Spawn([this] { mControlWatch.Run(); });
  mTraffic.Spawn([this] { mTrafficWatch.Run(); });
  mThreads.emplace_back([this] { mControl.Run(); });
  mThreads.emplace_back([this] { mTraffic.Run(); });
  mThreads.emplace_back([this] { mBulk.Run(); });
  LogLine(LogEvent::DaemonStarted,
          { { "daemon", mSettings.mName },
            { "zone", mSettings.mZone },
            { "callers", ToText(mSettings.mCallers) },
            { "store", ToText(mSettings.mStore) } });
  return Ok();
}

// Forwards the view, the number of daemons, the placement map and the limits to
// the traffic thread, and logs changes of readiness.
void
EntryDaemon::Impl::ForwardSettings()
{
  bool wasReady = false;
  std::shared_ptr<const SiteView> forwarded;
  std::shared_ptr<const SiteConfig> config;
  while (mControl.Sleep(kForwardPeriod)) {
    if (auto newest = mViews.Load(); newest != forwarded) {
      forwarded = std::move(newest);
      // Without requests the traffic thread doesn't look for a new one.
      mTraffic.Post([this] { (void)UpdateView(); });
    }
    mDaemons = mPeers.IsComplete() ? mPeers.All().size() : 0;
    if (const auto view = mViews.Load()) {
      mPeers.SetEra(view->mTableEra);
    }
    ForwardPlacement();
    if (IsReady() != wasReady) {
      wasReady = !wasReady;
      LogLine(wasReady ? LogEvent::DaemonReady : LogEvent::DaemonNotReady,
              { { "draining", mIsDraining.load() }, { "late", IsLate() } });
    }
    const auto view = mViews.Load();
    if (view == nullptr || view->mConfig == nullptr ||
        view->mConfig == config) {
      continue;
    }
    config = view->mConfig;
    HttpLimits limits;
    limits.mHeaderBytes = config->mLimits.mHeaderBytes;
    limits.mBodyBytes = config->mLimits.mBodyBytes;
    limits.mReadTime = config->mLimits.mReadTime;
    limits.mIdleTime = config->mLimits.mIdleTime;
    mTraffic.Post([this, limits] { mCallerServer.SetLimits(limits); });
  }
}

// Builds and forwards a new placement map when the set of servers or daemons
// has changed, and then when the list of daemons was read.
void
EntryDaemon::Impl::ForwardPlacement()
{
  const auto view = mViews.Load();
  if (view == nullptr || !mPeers.IsComplete()) {
    return;
  }
  const bool isSame = mGroupedPeers == mPeers.All().size() &&
                      std::ranges::equal(mGroupedServers,
                                         view->mServers,
                                         {},
                                         &ServerRecord::mId,
                                         &ServerRecord::mId);
  if (!isSame) {
    mGroupedPeers = mPeers.All().size();
    mGroupedServers = view->mServers;
    ForwardMap();
  }
  if (mListReadAt != mPeers.ReadAt()) {
    mListReadAt = mPeers.ReadAt();
    mTraffic.Post(
      [this, readAt = *mListReadAt] { mPlacement.SetListReadAt(readAt); });
  }
}

void
EntryDaemon::Impl::ForwardMap()
{
  std::vector<PlacementCandidate> daemons;
  for (const auto& it : mPeers.All()) {
    daemons.push_back({ it.mName, it.mEndpoint, it.mLinkMbps });
  }
  auto map = std::make_shared<const PlacementMap>(mGroupedServers, daemons);
  mTraffic.Post([this, map = std::move(map)] { mPlacement.SetMap(map); });
}

void
EntryDaemon::Impl::ForwardLoading(const std::set<ServerId>& aServers)
{
  mTraffic.Post([this, aServers] {
    mPool.SetLoading(aServers, MonotonicNow());
    mPlacement.Ledger().SetLoading(aServers, MonotonicNow());
  });
}

void
EntryDaemon::Impl::OnStores(std::vector<CacheStore> aStores)
{
  mTraffic.Post(
    [this, stores = std::move(aStores)] { mCache.SetStores(stores); });
}

void
EntryDaemon::Impl::OnPage(CachePage aPage)
{
  const auto now = BootNow();
  mTraffic.Post(
    [this, page = std::move(aPage), now] { mCache.Apply(page, now); });
}

void
EntryDaemon::Impl::Drain()
{
  mControl.Spawn([this] { DrainOnControl(); });
}

// Waits until nothing is left to do before the exit, or until a time.
void
EntryDaemon::Impl::AwaitEnd(Instant aUntil)
{
  while (
    MonotonicNow() < aUntil &&
    (mCallerServer.ActiveRequests() > 0 || mRolloutRunner.IsRelinquishing()) &&
    mControl.Sleep(kDrainCheckPeriod)) {
  }
}

void
EntryDaemon::Impl::DrainOnControl()
{
  if (mIsDraining.exchange(true)) {
    return;
  }
  const auto end = MonotonicNow() + mSettings.mStopTime - kStopReserve;
  LogLine(LogEvent::DrainBegun,
          { { "running", mCallerServer.ActiveRequests() } });
  mRolloutRunner.Leave();
  mRelayFollower.Leave();
  mTraffic.Post([this] { mCallerServer.CloseAfterAnswers(); });
  (void)mControl.Sleep(kBalancerLeaveTime);
  mTraffic.Post([this] { mCallerServer.StopAccepting(); });
  const auto lastRequest = MonotonicNow() + kLastRequestTime;
  AwaitEnd(std::min(lastRequest, end));
  mTraffic.Post([this] { mFlow.RefuseNew(); });
  AwaitEnd(end);
  mTraffic.Post([this] { mFlow.EndAll(); });
  AwaitEnd(end + kLastAnswerTime);
  LogLine(LogEvent::DrainDone,
          { { "running", mCallerServer.ActiveRequests() } });
  mTraffic.Stop();
  mBulk.Stop();
  mControl.Stop();
}

void
EntryDaemon::Impl::Join()
{
  for (auto& it : mThreads) {
    it.join();
  }
  mThreads.clear();
}

EntryDaemon::EntryDaemon(EntrySettings aSettings, EntryPlatform& aPlatform)
  : mImpl(std::make_unique<Impl>(std::move(aSettings), aPlatform))
{
}

EntryDaemon::~EntryDaemon() = default;

Result<void>
EntryDaemon::Start()
{
  return mImpl->Start();
}

void
EntryDaemon::Drain()
{
  mImpl->Drain();
}

void
EntryDaemon::Join()
{
  mImpl->Join();
}

} // namespace bilberrytrail
