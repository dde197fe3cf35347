#pragma once

#include "site_view_holder.h"

#include <bilberrytrail/entry/cache_change_log.h>
#include <bilberrytrail/entry/remote_clock.h>
#include <bilberrytrail/runtime/loop.h>

#include <functional>
#include <set>

namespace bilberrytrail {

// Passes the state of the stores to the thread that plans with it.
class CacheSink
{
public:
  virtual ~CacheSink() = default;

  virtual void OnStores(std::vector<CacheStore> aStores) = 0;
  virtual void OnPage(CachePage aPage) = 0;
};

// Follows the events of each configured store while this daemon follows them
// directly, and keeps the cache change log, which is also fed by the relay.
class StoreFollower
{
public:
  StoreFollower(Loop& aLoop,
                CacheEventPort& aPort,
                const SiteViewHolder& aViews,
                CacheSink& aSink,
                std::uint64_t aLogId);

  // Starts the fibers that follow the stores.
  void Start();
  // Sets whether this daemon follows the stores directly.
  void SetDirect(bool aIsDirect) noexcept;
  [[nodiscard]] bool IsDirect() const noexcept { return mIsDirect; }
  // Sets whether changes are kept for other daemons.
  void SetKept(bool aIsKept) noexcept { mLog.SetKept(aIsKept); }
  [[nodiscard]] bool IsKept() const noexcept { return mLog.IsKept(); }
  // Takes in the relay's answer to a query that was sent at aSentAt.
  void OnRelayReply(CachePage aPage,
                    const std::vector<CachePosition>& aResets,
                    Duration aSince,
                    Instant aSentAt);

  // These are those of the log.
  [[nodiscard]] CachePage PageAt(const CacheCursor& aCursor) const;
  [[nodiscard]] bool Knows(const CacheCursor& aCursor) const noexcept
  {
    return mLog.Knows(aCursor);
  }
  [[nodiscard]] CachePage ResumeAt(
    const std::vector<CachePosition>& aPositions) const
  {
    return mLog.ResumeAt(aPositions);
  }
  [[nodiscard]] std::vector<CachePosition> Positions() const
  {
    return mLog.Positions();
  }

private:
  using Followed = std::pair<StoreId, std::string>;

  void WatchStores();
  void UpdateStores();
  void Follow(const CacheStore& aStore);
  // Returns the latest time at which the answer to a call that was sent at
  // aSentAt was certainly true.
  [[nodiscard]] Instant ShownAt(const CacheEvents& aEvents, Instant aSentAt);
  [[nodiscard]] bool IsListed(const CacheStore& aStore) const;
  void Publish();

  Loop& mLoop;
  CacheEventPort& mPort;
  const SiteViewHolder& mViews;
  CacheSink& mSink;
  CacheChangeLog mLog;
  RemoteClock mServersClock;
  // Position in mLog up to which the sink has the changes.
  CacheCursor mPublished;
  std::shared_ptr<const SiteConfig> mConfig;
  // Stores with a fiber, by name and address.
  std::set<Followed> mFollowed;
  bool mIsDirect = true;
};

} // namespace bilberrytrail
