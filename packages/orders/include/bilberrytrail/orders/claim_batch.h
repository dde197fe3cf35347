#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/table_service.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberrytrail {

// Bounds of a batcher.
struct ClaimBatchLimits
{
  // Longest time that a write waits for others to come.
  Duration mInterval = 25ms;
  std::size_t mMaxWrites = 64;
  std::size_t mMaxBytes = 524288;
  // Batches that may be under way at a time.
  std::size_t mMaxInFlight = 4;
  // Writes that may wait; further ones are refused before running.
  std::size_t mMaxWaiting = 4096;
};

// Time over which arriving writes are counted to tell how many are to be
// expected.
inline constexpr Duration kClaimRateWindow = 200ms;

// Returns the time that a write waits for others when aRecent writes came
// within kClaimRateWindow, itself included: none while no second write is to
// be expected within the longest interval, then longer with the number of
// writes, up to the longest interval.
[[nodiscard]] Duration
BatchInterval(std::size_t aRecent, Duration aLongest) noexcept;

// One transaction to commit.
struct ClaimBatch
{
  std::uint64_t mNumber = 0;
  std::vector<TableWrite> mWrites;
};

// What one write came to. An Unknown fate means that the reply of its batch
// was lost: its owner reads the row back.
struct CompletedWrite
{
  std::uint64_t mTicket = 0;
  CallResult<CommitOutcome> mOutcome;
};

// Joins the writes of many requests into transactions. A batch that conflicts
// on some rows settles these and sends the others again at once; a row has at
// most one write under way.
//
//   batcher.Add(ticket, write, now);
//   while (auto batch = batcher.Poll(now)) {
//     auto outcome = table.Commit(batch->mWrites, timeout);
//     for (auto& settled : batcher.OnCommitted(batch->mNumber, outcome)) {...}
//   }
class ClaimBatcher
{
public:
  explicit ClaimBatcher(const ClaimBatchLimits& aLimits);

  [[nodiscard]] std::size_t Waiting() const noexcept { return mWaiting.size(); }
  // Returns the time at which Poll has to be called next; nothing when no
  // write waits or all transactions are under way.
  [[nodiscard]] std::optional<Instant> NextPoll() const;

  // Changes the longest time that later writes wait for others.
  void SetInterval(Duration aLongest) { mLimits.mInterval = aLongest; }
  // Adds a write. Fails with Exhausted when too many wait; it did not run.
  [[nodiscard]] CallResult<void> Add(std::uint64_t aTicket,
                                     TableWrite aWrite,
                                     Instant aNow);
  // Returns the next transaction when one is due.
  [[nodiscard]] std::optional<ClaimBatch> Poll(Instant aNow);
  // Takes what a transaction came to; returns the writes that it settles.
  [[nodiscard]] std::vector<CompletedWrite> OnCommitted(
    std::uint64_t aNumber,
    const CallResult<CommitOutcome>& aOutcome);

private:
  struct Entry
  {
    std::uint64_t mTicket = 0;
    TableWrite mWrite;
    Instant mDue;
  };

  // Counts a write that came now and returns the time that it waits.
  [[nodiscard]] Duration CountArrival(Instant aNow);
  [[nodiscard]] bool IsDue(Instant aNow) const;
  [[nodiscard]] std::vector<Entry> TakeEntries();
  [[nodiscard]] std::vector<CompletedWrite> SplitConflict(
    std::vector<Entry> aEntries,
    const CommitOutcome& aOutcome);

  ClaimBatchLimits mLimits;
  std::deque<Entry> mWaiting;
  // When the last writes came, within kClaimRateWindow.
  std::deque<Instant> mArrivals;
  std::map<std::uint64_t, std::vector<Entry>> mInFlight;
  // Rows that have a write under way.
  std::set<std::string> mBusyRows;
  std::uint64_t mLastNumber = 0;
};

} // namespace bilberrytrail
