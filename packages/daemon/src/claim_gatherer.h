#pragma once

#include <bilberrytrail/orders/claim_batch.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/runtime/loop.h>

#include <map>
#include <memory>
#include <mutex>

namespace bilberrytrail {

// Gathers table writes from all threads into transactions and commits them on
// one thread. Thread-safe.
//
//   loop.Spawn([&] { gatherer.Run(loop, table); });
//   auto outcome = gatherer.Write(otherLoop, write, 1s);
class ClaimGatherer
{
public:
  // Takes the longest time that a write waits for others.
  explicit ClaimGatherer(Duration aInterval);
  ~ClaimGatherer();

  // Changes that time for later writes.
  void SetInterval(Duration aInterval);

  // Writes one row and waits on a fiber of the given loop. Unknown after the
  // time: the write may still be committed.
  [[nodiscard]] CallResult<CommitOutcome> Write(Loop& aLoop,
                                                TableWrite aWrite,
                                                Duration aTimeout);
  // Commits what is gathered, on the calling fiber of the loop, until the loop
  // stops. Writes that wait before are committed once it runs.
  void Run(Loop& aLoop, TableService& aTable);

private:
  struct Waiter;

  [[nodiscard]] CallResult<std::uint64_t> Add(std::shared_ptr<Waiter> aWaiter,
                                              TableWrite aWrite);
  // Starts each transaction that is due.
  void CommitDue(Loop& aLoop, TableService& aTable);
  void Commit(const ClaimBatch& aBatch, TableService& aTable);
  [[nodiscard]] Duration TimeToNextPoll() const;
  void Wake();

  mutable std::mutex mMutex;
  ClaimBatcher mBatcher;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> mWaiters;
  std::uint64_t mLastTicket = 0;
  std::shared_ptr<Event> mWake;
};

} // namespace bilberrytrail
