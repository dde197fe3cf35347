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
  // Life of the store, and number of its event; for Cleared, that of the first
  // event that may follow. These are the same whichever daemon passes the
  // change on.
  std::uint64_t mEpoch = 0;
  std::uint64_t mNumber = 0;
};

// What a daemon has of a store: all events with numbers below mNext of its life
// mEpoch.
struct CachePosition
{
  StoreId mStore;
  std::uint64_t mEpoch = 0;
  std::uint64_t mNext = 0;
};

// A position in the cache change log of one daemon.
struct CacheCursor
{
  // Identifies the daemon's process; 0 for none.
  std::uint64_t mLog = 0;
  // Number of the next change to read.
  std::uint64_t mNext = 0;

  bool operator==(const CacheCursor&) const = default;
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
  // Cursor of the next page.
  CacheCursor mCursor;
  // There are more changes than fit into a page.
  bool mHasMore = false;
  // Stores of which all earlier changes are void; mNext is the number of the
  // first event that may follow.
  std::vector<CachePosition> mResets;
  std::vector<CacheChange> mChanges;
  // The stores that answer, with the time since their last answer.
  std::vector<StoreAge> mStoreAges;
  // The servers' clock in milliseconds, when a store has reported it.
  std::optional<std::uint64_t> mServersClockMs;
};

// The cache changes of all stores, as this daemon learns them from the stores
// or from another daemon, for itself and for the daemons that follow it.
//
// The numbers of the stores' own events say what a daemon has. A daemon that
// changes its relay, or begins to follow the stores itself, therefore continues
// where it was and reads only what it lacks. Only the newest changes are kept:
// a reader that is further behind begins anew with some stores, which costs
// computations, but never sees a part that is not there.
//
//   log.OnEvents(store, port.ReadEvents(endpoint, log.Next(store)), sentAt);
//   directory.Apply(log.PageAt(cursor, now), now);
//
// All times are on the boot clock: after a suspension it is not known what the
// stores hold.
class CacheChangeLog
{
public:
  // Changes kept, a few megabytes at most.
  static constexpr std::size_t kMaxChanges = 32'768;
  // Changes in a page, about sixty kilobytes.
  static constexpr std::size_t kMaxPageChanges = 2048;

  // aId identifies this process among those of all daemons; not 0.
  explicit CacheChangeLog(std::uint64_t aId) noexcept
    : mId(aId)
  {
  }

  // Returns from where to read the store's events, as the store counts. After
  // changes that another daemon passed on, the store may tell the last of them
  // again.
  [[nodiscard]] std::uint64_t Next(const StoreId& aStore) const noexcept;
  // Returns what this daemon has of each store.
  [[nodiscard]] std::vector<CachePosition> Positions() const;
  // Returns the page that begins at the cursor. When the log does not know the
  // cursor, it begins with the first change, and all stores are reset.
  [[nodiscard]] CachePage PageAt(const CacheCursor& aCursor,
                                 Instant aNow) const;
  // Returns whether the changes from a cursor on are known.
  [[nodiscard]] bool Knows(const CacheCursor& aCursor) const noexcept;
  // Returns an empty page with the cursor of the first change that a reader
  // with these positions lacks, and the stores with which it must begin anew.
  [[nodiscard]] CachePage ResumeAt(
    std::span<const CachePosition> aPositions) const;
  // Returns whether changes are kept for other daemons.
  [[nodiscard]] bool IsKept() const noexcept { return mIsKept; }

  // Sets whether changes are kept for other daemons.
  void SetKept(bool aIsKept) noexcept { mIsKept = aIsKept; }
  // Drops the changes before the cursor, unless they are kept.
  void Trim(const CacheCursor& aCursor);
  // Sets the list of stores.
  void SetStores(std::span<const CacheStore> aStores);
  // Takes in what a store answered. aShownAt is the latest time at which the
  // answer was certainly true, which may be long before it is read.
  void OnEvents(const StoreId& aStore,
                const CacheEvents& aEvents,
                Instant aShownAt);
  // Takes in a page of another daemon's log, written at aEarliest or later and
  // at aLatest or earlier. Changes that this daemon has are skipped.
  void OnPage(const CachePage& aPage, Instant aEarliest, Instant aLatest);
  // Records that a store did not answer, so that what it holds is not known
  // until it answers again.
  void OnUnavailable(const StoreId& aStore);

private:
  struct Store
  {
    // Nothing until the store is listed.
    std::optional<Endpoint> mEndpoint;
    std::uint64_t mEpoch = 0;
    // Events with lower numbers are known, or were lost.
    std::uint64_t mNext = 0;
    // Where the store continues: its own word, which need not be mNext.
    std::uint64_t mReadFrom = 0;
    // All events from this number on are in the log, or were lost.
    std::uint64_t mFrom = 0;
    std::optional<Instant> mAnsweredAt;
  };

  void Add(CacheChange aChange);
  void DropFirst();
  void Clear(const StoreId& aId,
             Store& aStore,
             std::uint64_t aEpoch,
             std::uint64_t aNext);
  void OnChange(const CacheChange& aChange);
  // Returns whether a change belongs to the present life of its store.
  [[nodiscard]] bool IsCurrent(const CacheChange& aChange) const;
  [[nodiscard]] std::uint64_t End() const noexcept
  {
    return mFirst + mChanges.size();
  }

  const std::uint64_t mId;
  bool mIsKept = true;
  std::map<StoreId, Store> mStores;
  std::deque<CacheChange> mChanges;
  // Number of the first entry of mChanges.
  std::uint64_t mFirst = 1;
  // Servers' clock minus this process's boot clock.
  std::optional<std::int64_t> mClockOffsetMs;
};

} // namespace bilberrytrail
