#pragma once

#include <bilberrytrail/entry/cache_events.h>
#include <bilberrytrail/entry/site_config.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bilberrytrail {

// What one piece of news says of a store.
enum class CacheChangeKind : unsigned char
{
  // The store keeps a complete part.
  Added,
  // The store keeps the part no more.
  Removed,
  // Nothing that was told of the store before holds.
  Cleared
};

template<>
struct EnumNames<CacheChangeKind>
{
  static constexpr std::array<std::string_view, 3> kNames{ "added",
                                                           "removed",
                                                           "cleared" };
};

// A change of what a store keeps, as it is handed from daemon to daemon.
struct CacheChange
{
  StoreId mStore;
  CacheChangeKind mKind = CacheChangeKind::Added;
  std::string mSalt;
  std::string mPart;
};

// A place in the news of one daemon.
struct CacheCursor
{
  // Identifies the daemon's process; 0 for none.
  std::uint64_t mLog = 0;
  // Number of the next piece of news.
  std::uint64_t mNext = 0;
};

// How long ago a store answered.
struct StoreAge
{
  StoreId mStore;
  Duration mAge{};
};

// The news behind a cursor.
struct CachePage
{
  // The news begin anew: nothing that was told before holds.
  bool mIsReset = false;
  // Where the next page begins.
  CacheCursor mCursor;
  // More news are there than fit into a page.
  bool mHasMore = false;
  std::vector<CacheChange> mChanges;
  // The stores that answered of late.
  std::vector<StoreAge> mStoreAges;
  // The servers' clock in milliseconds, when a store told it.
  std::optional<std::uint64_t> mServersClockMs;
};

// The news of all stores that this daemon follows, numbered, for itself and for
// the daemons that ask it instead of the stores. Only the newest are kept:
// whoever begins later misses parts, which costs a computation, but never
// learns of a part that is not there.
//
//   log.OnEvents(store, port.ReadEvents(endpoint, log.Next(store)), now);
//   directory.Apply(log.PageAt(cursor, now), now);
class CacheChangeLog
{
public:
  // News kept, some megabytes at most.
  static constexpr std::size_t kMaxChanges = 32'768;
  // News in a page, about a hundred kilobytes.
  static constexpr std::size_t kMaxPageChanges = 2048;

  // aId identifies this process among those of all daemons; not 0.
  explicit CacheChangeLog(std::uint64_t aId) noexcept
    : mId(aId)
  {
  }

  // Returns the number to ask the store's events from.
  [[nodiscard]] std::uint64_t Next(const StoreId& aStore) const noexcept;
  // Returns the news behind the cursor.
  [[nodiscard]] CachePage PageAt(const CacheCursor& aCursor,
                                 Instant aNow) const;

  // Takes in the list of stores.
  void SetStores(std::span<const CacheStore> aStores);
  void OnEvents(const StoreId& aStore,
                const CacheEvents& aEvents,
                Instant aNow);
  // Notes that a store did not answer, or is not followed any more: what it
  // keeps is not known.
  void OnUnavailable(const StoreId& aStore);

private:
  struct Store
  {
    Endpoint mEndpoint;
    std::uint64_t mEpoch = 0;
    std::uint64_t mNext = 0;
    std::optional<Instant> mAnsweredAt;
    // Something was told of the store behind the last Cleared.
    bool mHasLoggedParts = false;
  };

  void Add(CacheChange aChange);
  void Clear(const StoreId& aId, Store& aStore);

  const std::uint64_t mId;
  std::map<StoreId, Store> mStores;
  std::deque<CacheChange> mChanges;
  // Number of the first of mChanges.
  std::uint64_t mFirst = 1;
  // The servers' clock at the start of this process's monotonic clock.
  std::optional<std::int64_t> mClockOffsetMs;
};

} // namespace bilberrytrail
