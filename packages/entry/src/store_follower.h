#pragma once

#include "site_follower.h"

#include <bilberrytrail/entry/cache_change_log.h>
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

// Follows the events of each configured store while this daemon follows
// directly, and keeps the cache change log for the daemons that query it.
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
  // Returns the cache changes from a requester's cursor on.
  [[nodiscard]] CachePage PageAt(const CacheCursor& aCursor) const;

private:
  using Followed = std::pair<StoreId, std::string>;

  void WatchStores();
  void UpdateStores();
  void Follow(const CacheStore& aStore);
  [[nodiscard]] bool IsListed(const CacheStore& aStore) const;
  void Publish();

  Loop& mLoop;
  CacheEventPort& mPort;
  const SiteViewHolder& mViews;
  CacheSink& mSink;
  CacheChangeLog mLog;
  // Position in mLog up to which the sink has the changes.
  CacheCursor mPublished;
  std::shared_ptr<const SiteConfig> mConfig;
  // Stores with a fiber, by name and address.
  std::set<Followed> mFollowed;
  bool mIsDirect = true;
};

} // namespace bilberrytrail
