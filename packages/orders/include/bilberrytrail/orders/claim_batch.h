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

// Limits of a batcher.
struct ClaimBatchLimits
{
  // Maximum time that a write waits for others to share its batch.
  Duration mInterval = 25ms;
  std::size_t mMaxWrites = 64;
  std::size_t mMaxBytes = 524288;
  // Maximum number of batches in flight.
  std::size_t mMaxInFlight = 4;
  // Maximum number of waiting writes; further ones are refused as not run.
  std::size_t mMaxWaiting = 4096;
};

// Window over which arriving writes are counted to estimate their rate.
inline constexpr Duration kClaimRateWindow = 200ms;

// Returns the time that a write waits for others when aRecent writes, itself
// included, arrived within kClaimRateWindow: zero while no second write is
// expected within aLongest, then growing with the number of writes up to
// aLongest.
[[nodiscard]] Duration
BatchInterval(std::size_t aRecent, Duration aLongest) noexcept;

// One transaction to commit.
struct ClaimBatch
{
  std::uint64_t mNumber = 0;
  std::vector<TableWrite> mWrites;
};

// Result of one write. An Unknown disposition means that the reply to its batch
// was lost; the owner of the write has to read the row back.
struct CompletedWrite
{
  std::uint64_t mTicket = 0;
  CallResult<CommitOutcome> mOutcome;
};

// Combines the writes of many requests into transactions. When a batch
// conflicts on some rows, the writes of these rows complete with the conflict
// and the others are queued again at once. Each row has at most one write in
// flight.
//
//   batcher.Add(ticket, write, now);
//   while (auto batch = batcher.Poll(now)) {
//     auto outcome = table.Commit(batch->mWrites, timeout);
//     for (auto& it : batcher.OnCommitted(batch->mNumber, outcome)) {...}
//   }
class ClaimBatcher
{
public:
  explicit ClaimBatcher(const ClaimBatchLimits& aLimits);

  [[nodiscard]] std::size_t Waiting() const noexcept { return mWaiting.size(); }
  // Returns when Poll has to be called next; nothing when no write can be sent
  // before another batch has completed.
  [[nodiscard]] std::optional<Instant> NextPoll() const;

  // Changes the maximum time that later writes wait for others.
  void SetInterval(Duration aLongest) { mLimits.mInterval = aLongest; }
  // Adds a write. Fails with NotRun and Exhausted when mMaxWaiting writes wait.
  [[nodiscard]] CallResult<void> Add(std::uint64_t aTicket,
                                     TableWrite aWrite,
                                     Instant aNow);
  // Returns the next transaction if one is due.
  [[nodiscard]] std::optional<ClaimBatch> Poll(Instant aNow);
  // Handles the result of a transaction; returns the writes that it completes.
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

  // Counts a write that arrives now and returns the time that it waits.
  [[nodiscard]] Duration CountArrival(Instant aNow);
  [[nodiscard]] bool IsDue(Instant aNow) const;
  [[nodiscard]] std::vector<Entry> TakeEntries();
  [[nodiscard]] std::vector<CompletedWrite> SplitConflict(
    std::vector<Entry> aEntries,
    const CommitOutcome& aOutcome);

  ClaimBatchLimits mLimits;
  std::deque<Entry> mWaiting;
  // Arrival times of the writes within kClaimRateWindow.
  std::deque<Instant> mArrivals;
  std::map<std::uint64_t, std::vector<Entry>> mInFlight;
  // Rows that have a write in flight.
  std::set<std::string> mBusyRows;
  std::uint64_t mLastNumber = 0;
};

} // namespace bilberrytrail
