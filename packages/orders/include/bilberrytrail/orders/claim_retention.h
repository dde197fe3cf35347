#pragma once

#include <bilberrytrail/orders/claim_row.h>
#include <bilberrytrail/platform/table_service.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Returns at most aLimit writes that erase rows last written aRetention ago or
// longer. A resend after that counts as a new call, so aRetention has to exceed
// the time over which callers resend and the duration of any call. Rows that
// changed since they were read are not erased, as the writes expect the version
// read. Corrupt rows are kept for inspection by an operator. Ages are measured
// by wall clocks, whose error shifts the end of the retention.
[[nodiscard]] std::vector<TableWrite>
EraseExpiredClaims(const std::vector<TableRow>& aRows,
                   std::int64_t aWallClockMs,
                   std::chrono::milliseconds aRetention,
                   std::size_t aLimit);

// Visits all rows whose keys begin with a prefix by scans that return a limited
// number of rows. A scan that reaches the limit is split into one scan for each
// possible next byte of the key.
//
//   ClaimSweep sweep("claim/", 256);
//   while (const auto prefix = sweep.Next()) {
//     sweep.OnScanned(table.Scan(*prefix, 256, timeout).value().size());
//   }
class ClaimSweep
{
public:
  ClaimSweep(std::string aPrefix, std::size_t aLimit);

  // Returns the prefix to scan next, or nothing at the end.
  [[nodiscard]] std::optional<std::string> Next();
  // Handles the number of rows that the last scan returned.
  void OnScanned(std::size_t aRows);

private:
  std::size_t mLimit;
  std::string mLastPrefix;
  std::vector<std::string> mPrefixes;
};

} // namespace bilberrytrail
