#pragma once

#include "control_state.h"
#include "shard_runner.h"
#include "thread_context.h"

namespace bilberrytrail {

// Erases the outcomes of non-idempotent calls whose retention time has passed.
// Works on the daemon that holds control shard 0; two holders at the same time
// do no harm, since each row is erased by compare-and-set.
class ClaimSweeper
{
public:
  // aKept is counted from the last write of a row.
  ClaimSweeper(ThreadContext& aThread,
               const ShardRunner& aShards,
               Duration aKept);

  void Start();

private:
  void Run();
  // Reads all rows once and erases those that have expired.
  void Sweep();
  // Erases the expired ones of the rows; returns false when the table fails.
  [[nodiscard]] bool Erase(const std::vector<TableRow>& aRows);

  ThreadContext& mThread;
  const ShardRunner& mShards;
  std::chrono::milliseconds mKept;
};

} // namespace bilberrytrail
