#include "store_follower.h"

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Longest wait for events in one call, and the timeout of the call. With the
// pause and the delay between daemons a store's next answer arrives within
// CacheDirectory::kFreshTime.
constexpr Duration kEventWait = 400ms;
constexpr Duration kEventTimeout = 1000ms;
// Pause between two calls for events, which limits the calls to a busy store.
constexpr Duration kEventPause = 150ms;
constexpr Duration kEventRetryPause = 300ms;
// Time between two checks for a new configuration.
constexpr Duration kConfigPeriod = 200ms;

} // namespace

StoreFollower::StoreFollower(Loop& aLoop,
                             CacheEventPort& aPort,
                             const SiteViewHolder& aViews,
                             CacheSink& aSink,
                             std::uint64_t aLogId)
  : mLoop(aLoop)
  , mPort(aPort)
  , mViews(aViews)
  , mSink(aSink)
  , mLog(aLogId)
{
}

void
StoreFollower::Start()
{
  mLoop.Spawn([this] { WatchStores(); });
}

void
StoreFollower::SetDirect(bool aIsDirect) noexcept
{
  mIsDirect = aIsDirect;
}

void
StoreFollower::OnRelayReply(CachePage aPage,
                            const std::vector<CachePosition>& aResets,
                            Duration aSince,
                            Instant aSentAt)
{
  aPage.mResets.insert(aPage.mResets.end(), aResets.begin(), aResets.end());
  mLog.OnPage(aPage, aSentAt - aSince, BootNow() - aSince);
  Publish();
}

CachePage
StoreFollower::PageAt(const CacheCursor& aCursor) const
{
  return mLog.PageAt(aCursor, BootNow());
}

void
StoreFollower::WatchStores()
{
  while (mLoop.Sleep(kConfigPeriod)) {
    UpdateStores();
    if (!mIsDirect || mConfig == nullptr) {
      continue;
    }
    for (const auto& it : mConfig->mStores) {
      if (mFollowed.emplace(it.mName, ToText(it.mEndpoint)).second) {
        mLoop.Spawn([this, it] { Follow(it); });
      }
    }
  }
}

void
StoreFollower::UpdateStores()
{
  const auto view = mViews.Load();
  if (view == nullptr || view->mConfig == nullptr || view->mConfig == mConfig) {
    return;
  }
  mConfig = view->mConfig;
  mLog.SetStores(mConfig->mStores);
  mSink.OnStores(mConfig->mStores);
}

bool
StoreFollower::IsListed(const CacheStore& aStore) const
{
  return std::ranges::any_of(mConfig->mStores, [&](const CacheStore& aOther) {
    return aOther.mName == aStore.mName && aOther.mEndpoint == aStore.mEndpoint;
  });
}

Instant
StoreFollower::ShownAt(const CacheEvents& aEvents, Instant aSentAt)
{
  const auto readAt = BootNow();
  // An answer without events comes at the end of the wait.
  const bool hasWaited =
    aEvents.mEvents.empty() && readAt >= aSentAt + kEventWait;
  auto shownAt = hasWaited ? aSentAt + kEventWait : aSentAt;
  if (const auto clockMs = aEvents.mClockMs) {
    mServersClock.Observe(*clockMs, aSentAt, readAt);
    shownAt =
      std::max(shownAt, mServersClock.EarliestAt(*clockMs).value_or(shownAt));
  }
  return shownAt;
}

// Ends when the store is no longer listed or this daemon no longer follows
// directly.
void
StoreFollower::Follow(const CacheStore& aStore)
{
  bool isReachable = true;
  while (!mLoop.IsStopping() && mIsDirect && IsListed(aStore)) {
    const auto sentAt = BootNow();
    const auto events = mPort.ReadEvents(
      aStore.mEndpoint, mLog.Next(aStore.mName), kEventWait, kEventTimeout);
    if (events) {
      isReachable = true;
      mLog.OnEvents(
        aStore.mName, events.value(), ShownAt(events.value(), sentAt));
      Publish();
      (void)mLoop.Sleep(kEventPause);
      continue;
    }
    if (isReachable) {
      isReachable = false;
      LogLine(LogEvent::StoreLost,
              { { "store", aStore.mName },
                { "reason", events.error().mError.mMessage } });
    }
    mLog.OnUnavailable(aStore.mName);
    Publish();
    (void)mLoop.Sleep(kEventRetryPause);
  }
  if (mIsDirect) {
    mLog.OnUnavailable(aStore.mName);
  }
  mFollowed.erase({ aStore.mName, ToText(aStore.mEndpoint) });
}

void
StoreFollower::Publish()
{
  while (true) {
    auto page = PageAt(mPublished);
    mPublished = page.mCursor;
    const bool hasMore = page.mHasMore;
    mSink.OnPage(std::move(page));
    if (!hasMore) {
      mLog.Trim(mPublished);
      return;
    }
  }
}

} // namespace bilberrytrail
