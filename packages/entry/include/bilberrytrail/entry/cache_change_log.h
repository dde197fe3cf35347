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

// Kind of a cache change.
enum class CacheChangeKind : unsigned char
{
  // The store holds a complete part.
  Added,
  // The store no longer holds the part.
  Removed,
  // All earlier changes of the store are void.
  Cleared
};

template<>
struct EnumNames<CacheChangeKind>
{
  static constexpr std::array<std::string_view, 3> kNames{ "added",
                                                           "removed",
                                                           "cleared" };
};

// A change of a store's content, as daemons pass it on.
struct CacheChange
{
  StoreId mStore;
  CacheChangeKind mKind = CacheChangeKind::Added;
  std::string mSalt;
  std::string mPart;
};

// A position in the cache change log of one daemon.
struct CacheCursor
{
  // Identifies the daemon's process; 0 for none.
  std::uint64_t mLog = 0;
  // Number of the next change to read.
  std::uint64_t mNext = 0;
};

// Time since a store last answered.
struct StoreAge
{
  StoreId mStore;
  Duration mAge{};
};

// The cache changes from a cursor on.
struct CachePage
{
  // The log was read from its beginning: all earlier changes are void.
  bool mIsReset = false;
  // Cursor of the next page.
  CacheCursor mCursor;
  // There are more changes than fit into a page.
  bool mHasMore = false;
  std::vector<CacheChange> mChanges;
  // The stores that answer, with the time since their last answer.
  std::vector<StoreAge> mStoreAges;
  // The servers' clock in milliseconds, when a store has reported it.
  std::optional<std::uint64_t> mServersClockMs;
};

// The numbered cache changes of all stores that this daemon follows, for itself
// and for the daemons that use it as their relay. Only the newest are kept: a
// reader that starts later misses parts, which costs a computation, but never
// sees a part that is not there.
//
//   log.OnEvents(store, port.ReadEvents(endpoint, log.Next(store)), now);
//   directory.Apply(log.PageAt(cursor, now), now);
class CacheChangeLog
{
public:
  // Changes kept, a few megabytes at most.
  static constexpr std::size_t kMaxChanges = 32'768;
  // Changes in a page, about a hundred kilobytes.
  static constexpr std::size_t kMaxPageChanges = 2048;

  // aId identifies this process among those of all daemons; not 0.
  explicit CacheChangeLog(std::uint64_t aId) noexcept
    : mId(aId)
  {
  }

  // Returns the sequence number to read the store's events from.
  [[nodiscard]] std::uint64_t Next(const StoreId& aStore) const noexcept;
  // Returns the page that begins at the cursor.
  [[nodiscard]] CachePage PageAt(const CacheCursor& aCursor,
                                 Instant aNow) const;

  // Sets the list of stores.
  void SetStores(std::span<const CacheStore> aStores);
  void OnEvents(const StoreId& aStore,
                const CacheEvents& aEvents,
                Instant aNow);
  // Records that a store did not answer or is no longer followed, so that its
  // content is unknown.
  void OnUnavailable(const StoreId& aStore);

private:
  struct Store
  {
    Endpoint mEndpoint;
    std::uint64_t mEpoch = 0;
    std::uint64_t mNext = 0;
    std::optional<Instant> mAnsweredAt;
    // Changes of the store were logged after its last Cleared.
    bool mHasLoggedParts = false;
  };

  void Add(CacheChange aChange);
  void Clear(const StoreId& aId, Store& aStore);

  const std::uint64_t mId;
  std::map<StoreId, Store> mStores;
  std::deque<CacheChange> mChanges;
  // Number of the first entry of mChanges.
  std::uint64_t mFirst = 1;
  // Servers' clock minus this process's monotonic clock.
  std::optional<std::int64_t> mClockOffsetMs;
};

} // namespace bilberrytrail
