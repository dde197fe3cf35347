#include "claim_sweeper.h"

#include <bilberrytrail/orders/claim_retention.h>

#include <algorithm>
#include <chrono>

namespace bilberrytrail {

namespace {

constexpr Duration kTableTimeout = 1s;
// Shortest and longest pause between two sweeps.
constexpr Duration kShortestPeriod = 1s;
constexpr Duration kLongestPeriod = 60s;
// Sweeps in one retention time, by which rows are kept a little longer.
constexpr int kSweepsPerRetention = 20;
// Keeps the sweep from taking the table from other work.
constexpr Duration kScanPause = 10ms;
constexpr std::size_t kScanRows = 256;

std::int64_t
WallClockMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

ClaimSweeper::ClaimSweeper(ThreadContext& aThread,
                           const ShardRunner& aShards,
                           Duration aKept)
  : mThread(aThread)
  , mShards(aShards)
  , mKept(std::chrono::duration_cast<std::chrono::milliseconds>(aKept))
{
}

void
ClaimSweeper::Start()
{
  mThread.GetLoop().Spawn([this] { Run(); });
}

void
ClaimSweeper::Run()
{
  const auto period = std::clamp<Duration>(
    mKept / kSweepsPerRetention, kShortestPeriod, kLongestPeriod);
  while (mThread.GetLoop().Sleep(period)) {
    if (mShards.Holds(0)) {
      Sweep();
    }
  }
}

void
ClaimSweeper::Sweep()
{
  ClaimSweep sweep("claim/", kScanRows);
  while (const auto prefix = sweep.Next()) {
    const auto rows = mThread.Table().Scan(*prefix, kScanRows, kTableTimeout);
    if (!rows || !mShards.Holds(0) || !Erase(rows.value())) {
      return;
    }
    sweep.OnScanned(rows.value().size());
    if (!mThread.GetLoop().Sleep(kScanPause)) {
      return;
    }
  }
}

bool
ClaimSweeper::Erase(const std::vector<TableRow>& aRows)
{
  auto writes = EraseExpiredClaims(aRows, WallClockMs(), mKept, kScanRows);
  while (!writes.empty()) {
    const auto outcome = mThread.Table().Commit(writes, kTableTimeout);
    if (!outcome) {
      return false;
    }
    if (outcome.value().mCommitted) {
      return true;
    }
    // Rows that were written meanwhile are left for the next sweep.
    const auto& changed = outcome.value().mCurrent;
    const auto left = std::erase_if(writes, [&](const TableWrite& aWrite) {
      return std::any_of(
        changed.begin(), changed.end(), [&](const TableRow& aRow) {
          return aRow.mKey == aWrite.mKey;
        });
    });
    if (left == 0) {
      return false;
    }
  }
  return true;
}

} // namespace bilberrytrail
