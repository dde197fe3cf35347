#include "news_follower.h"
#include "peer_directory.h"
#include "placement_service.h"
#include "roll_runner.h"
#include "site_follower.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/base/metrics_text.h>
#include <bilberrytrail/entry/entry_daemon.h>

#include <algorithm>
#include <thread>

namespace bilberrytrail {

namespace {

// Client accounts, routes and services with series of their own.
constexpr std::size_t kMaxSeries = 256;
// The balancer has taken a daemon out after two questions, one a second; then
// its last connections have come.
constexpr Duration kLeaveTime = 2600ms;
// Kept back from the stop time, to end before the process is killed.
constexpr Duration kStopReserve = 400ms;
constexpr Duration kDrainCheck = 20ms;
constexpr Duration kSpreadPeriod = 500ms;
// Kept back from the time in which new weights must be in use: a request may
// wait at a server before it begins.
constexpr Duration kWeightsReserve = 1500ms;
constexpr const char* kMetricsPath = "/metrics";

// Sizes of what daemons send each other; a copy of the tables is the largest.
HttpLimits
PeerLimits()
{
  HttpLimits limits;
  limits.mBodyBytes = 4 * 1024 * 1024;
  return limits;
}

// Answers every path by one function.
class FunctionHandler final : public HttpHandler
{
public:
  using Function = std::function<HttpResponse(const HttpRequest&)>;

  explicit FunctionHandler(Function aFunction)
    : mFunction(std::move(aFunction))
  {
  }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override
  {
    (void)aResponder.Send(mFunction(aRequest));
  }

private:
  Function mFunction;
};

// Returns a number that no other daemon, and no earlier process of this one,
// has.
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

class EntryDaemon::Impl : private CacheSink
{
public:
  Impl(EntrySettings aSettings, EntryPlatform& aPlatform);

  Result<void> Start();
  void Drain();
  void Join();

private:
  [[nodiscard]] FlowParts MakeFlowParts();
  [[nodiscard]] bool IsReady() const;
  std::shared_ptr<const SiteView> TakeView();
  void TakeLoading(const std::set<ServerId>& aServers);
  void OnStores(std::vector<CacheStore> aStores) override;
  void OnPage(CachePage aPage) override;
  void DrainOnControl();
  void SpreadSettings();
  void SpreadPlacement();
  HttpResponse ServeReadiness(const HttpRequest& aRequest) const;
  HttpResponse ServeMetrics(const HttpRequest& aRequest) const;
  HttpResponse ServePeer(const HttpRequest& aRequest);

  const EntrySettings mSettings;
  EntryPlatform& mPlatform;
  // Control.
  Loop mControl;
  std::unique_ptr<SiteFeed> mFeed;
  std::unique_ptr<TableService> mTable;
  std::unique_ptr<SiteReader> mReader;
  std::unique_ptr<OrderPort> mOrders;
  std::unique_ptr<CacheEventPort> mCacheEvents;
  SiteViewHolder mViews;
  const PeerAddress mSelf;
  PeerDirectory mPeers;
  SiteFollower mFollower;
  StoreFollower mStores;
  RollNotice mNotice;
  NewsFollower mNews;
  RollRunner mRoll;
  RpcMethods mMethods;
  HttpServer mReadinessServer;
  HttpServer mPeerServer;
  HttpServer mMetricsServer;
  FunctionHandler mReadinessHandler;
  FunctionHandler mPeerHandler;
  FunctionHandler mMetricsHandler;
  std::atomic<bool> mIsDraining = false;
  // What the groups of servers were made from.
  std::size_t mGroupedPeers = 0;
  std::vector<ServerRecord> mGroupedServers;
  // Traffic.
  Loop mTraffic;
  std::unique_ptr<BackendPort> mBackend;
  ServerPool mPool;
  RetryMeter mRetries;
  CacheDirectory mCache;
  PlacementService mPlacement;
  HistogramRegistry mTimes;
  CounterRegistry mCounts;
  std::shared_ptr<const SiteView> mSeenView;
  RequestFlow mFlow;
  std::unique_ptr<HttpHandler> mFront;
  HttpServer mCallerServer;
  // 0 until it is known.
  std::atomic<std::size_t> mDaemons = 0;
  std::vector<std::thread> mThreads;
};

EntryDaemon::Impl::Impl(EntrySettings aSettings, EntryPlatform& aPlatform)
  : mSettings(std::move(aSettings))
  , mPlatform(aPlatform)
  , mFeed(aPlatform.MakeFeed(mControl, mSettings.mStore))
  , mTable(aPlatform.MakeTable(mControl, mSettings.mStore))
  , mReader(aPlatform.MakeReader())
  , mOrders(aPlatform.MakeOrders(mControl))
  , mCacheEvents(aPlatform.MakeCacheEvents(mControl))
  , mSelf{ mSettings.mName,
           mSettings.mPeers,
           mSettings.mZone,
           mSettings.mLinkMbps }
  , mPeers(mControl, *mTable, mSelf, StableHash64(mSettings.mName.Text()))
  , mFollower(mControl, *mFeed, *mReader, mPeers, mViews)
  , mStores(mControl, *mCacheEvents, mViews, *this, MakeLogId(mSelf))
  , mNotice(mControl,
            mPeers,
            mSelf.mName,
            [this](const auto& aServers) { TakeLoading(aServers); })
  , mNews(mControl,
          mPeers,
          mFollower,
          mStores,
          mNotice,
          *this,
          RelayChoice(mSelf))
  , mRoll(mControl, mSettings, *mTable, *mOrders, mPeers, mNotice, mViews)
  , mReadinessServer(mControl, HttpLimits())
  , mPeerServer(mControl, PeerLimits())
  , mMetricsServer(mControl, HttpLimits())
  , mReadinessHandler(
      [this](const HttpRequest& aRequest) { return ServeReadiness(aRequest); })
  , mPeerHandler(
      [this](const HttpRequest& aRequest) { return ServePeer(aRequest); })
  , mMetricsHandler(
      [this](const HttpRequest& aRequest) { return ServeMetrics(aRequest); })
  , mBackend(aPlatform.MakeBackend(mTraffic))
  , mPool(mSettings.mZone, ServerPoolSettings())
  , mRetries(
      { mSettings.mRetryRatio, mSettings.mRetrySlack, mSettings.mRetryWindow },
      MonotonicNow())
  , mPlacement(mTraffic, mSettings.mZone, mSelf.mName, MakeLogId(mSelf))
  , mTimes(kMaxSeries)
  , mCounts(kMaxSeries)
  , mFlow(MakeFlowParts())
  , mFront(aPlatform.MakeCallerFront(mFlow))
  , mCallerServer(mTraffic, HttpLimits())
{
  mFollower.AddMethods(mMethods);
  mNews.AddMethods(mMethods);
  mNotice.AddMethods(mMethods);
}

FlowParts
EntryDaemon::Impl::MakeFlowParts()
{
  return {
    mTraffic,
    *mBackend,
    mPool,
    mRetries,
    mCache,
    mTimes,
    mCounts,
    mSettings.mWeightsWithin - kWeightsReserve,
    [this] { return TakeView(); },
    [this] { return mViews.IsFresh(MonotonicNow()); },
    &mPlacement,
  };
}

// Takes a new view over on the traffic thread.
std::shared_ptr<const SiteView>
EntryDaemon::Impl::TakeView()
{
  auto view = mViews.Load();
  if (view != mSeenView) {
    mSeenView = view;
    for (const auto& it : mPool.Update(view->mServers, MonotonicNow())) {
      mBackend->Forget(it);
    }
    mPlacement.Book().SetServers(view->mServers, MonotonicNow());
    if (mDaemons > 0) {
      mRetries.SetDaemons(mDaemons);
      mCache.SetDaemons(mDaemons);
    }
  }
  return view;
}

Result<void>
EntryDaemon::Impl::Start()
{
  for (const auto& [server, endpoint] :
       { std::pair{ &mReadinessServer, mSettings.mReadiness },
         std::pair{ &mPeerServer, mSettings.mPeers },
         std::pair{ &mMetricsServer, mSettings.mMetrics },
         std::pair{ &mCallerServer, mSettings.mCallers } }) {
    if (auto port = server->Listen(endpoint); !port) {
      return std::move(port).error();
    }
  }
  if (auto ok = mPlacement.Start(mSettings.mPeers); !ok) {
    return ok;
  }
  mReadinessServer.Serve(mReadinessHandler);
  mPeerServer.Serve(mPeerHandler);
  mMetricsServer.Serve(mMetricsHandler);
  mCallerServer.Serve(*mFront);
  mFollower.Start();
  mStores.Start();
  mControl.Spawn([this] { mNews.Run(); });
  mControl.Spawn([this] { mPeers.Run(); });
  mControl.Spawn([this] { mRoll.Run(); });
  mControl.Spawn([this] { SpreadSettings(); });
  mThreads.emplace_back([this] { mControl.Run(); });
  mThreads.emplace_back([this] { mTraffic.Run(); });
  LogLine(LogEvent::DaemonStarted,
          { { "daemon", mSettings.mName },
            { "zone", mSettings.mZone },
            { "callers", ToText(mSettings.mCallers) },
            { "store", ToText(mSettings.mStore) } });
  return Ok();
}

bool
EntryDaemon::Impl::IsReady() const
{
  const auto view = mViews.Load();
  return !mIsDraining && view != nullptr && view->mConfig != nullptr;
}

// Hands what the control thread learns beside the views to the traffic thread.
void
EntryDaemon::Impl::SpreadSettings()
{
  bool wasReady = false;
  std::shared_ptr<const SiteConfig> config;
  while (mControl.Sleep(kSpreadPeriod)) {
    mDaemons = mPeers.IsComplete() ? mPeers.All().size() : 0;
    SpreadPlacement();
    if (IsReady() != wasReady) {
      wasReady = !wasReady;
      LogLine(wasReady ? LogEvent::DaemonReady : LogEvent::DaemonNotReady,
              { { "draining", mIsDraining.load() } });
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

// Groups the servers anew when servers or daemons have come or gone.
void
EntryDaemon::Impl::SpreadPlacement()
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
  if (isSame) {
    return;
  }
  mGroupedPeers = mPeers.All().size();
  mGroupedServers = view->mServers;
  std::vector<PlacementCandidate> daemons;
  for (const auto& it : mPeers.All()) {
    daemons.push_back({ it.mName, it.mEndpoint, it.mLinkMbps });
  }
  auto map = std::make_shared<const PlacementMap>(mGroupedServers, daemons);
  mTraffic.Post([this, map = std::move(map)] { mPlacement.SetMap(map); });
}

void
EntryDaemon::Impl::TakeLoading(const std::set<ServerId>& aServers)
{
  mTraffic.Post([this, aServers] {
    mPool.SetLoading(aServers, MonotonicNow());
    mPlacement.Book().SetLoading(aServers, MonotonicNow());
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
  const auto now = MonotonicNow();
  mTraffic.Post(
    [this, page = std::move(aPage), now] { mCache.Apply(page, now); });
}

HttpResponse
EntryDaemon::Impl::ServeReadiness(const HttpRequest& aRequest) const
{
  if (aRequest.mTarget != mPlatform.ReadinessPath()) {
    return { 404, {}, "no such path" };
  }
  return IsReady() ? HttpResponse{ 200, {}, "ready" }
                   : HttpResponse{ 503, {}, "not ready" };
}

HttpResponse
EntryDaemon::Impl::ServeMetrics(const HttpRequest& aRequest) const
{
  if (aRequest.mTarget != kMetricsPath) {
    return { 404, {}, "no such path" };
  }
  const auto times = mTimes.Snapshot();
  const auto counts = mCounts.Snapshot();
  return { 200, {}, RenderMetricsText(times, counts) };
}

HttpResponse
EntryDaemon::Impl::ServePeer(const HttpRequest& aRequest)
{
  return { 200, {}, mMethods.Serve(aRequest.mBody) };
}

void
EntryDaemon::Impl::Drain()
{
  mControl.Spawn([this] { DrainOnControl(); });
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
  mRoll.Leave();
  mTraffic.Post([this] { mCallerServer.CloseAfterAnswers(); });
  (void)mControl.Sleep(kLeaveTime);
  mTraffic.Post([this] { mCallerServer.StopAccepting(); });
  while (MonotonicNow() < end &&
         (mCallerServer.ActiveRequests() > 0 || mRoll.IsRelinquishing()) &&
         mControl.Sleep(kDrainCheck)) {
  }
  LogLine(LogEvent::DrainDone,
          { { "running", mCallerServer.ActiveRequests() } });
  mTraffic.Stop();
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
