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

// Returns writes that erase the rows that were last written aKept ago or
// longer, at most aLimit of them. A resend that comes later is a new call, so
// aKept has to be longer than any caller resends and any call runs. Rows that
// changed since they were read stay. Damaged rows stay too, for a person to
// look at. Ages are judged by wall clocks, so the clocks' error shifts the end
// of the retention by as much.
[[nodiscard]] std::vector<TableWrite>
EraseExpiredClaims(const std::vector<TableRow>& aRows,
                   std::int64_t aWallClockMs,
                   std::chrono::milliseconds aKept,
                   std::size_t aLimit);

// Walks through all rows whose keys begin with a prefix, by scans that return
// at most a number of rows: a scan that is full is split by the next byte of
// the key.
//
//   ClaimSweep sweep("claim/", 256);
//   while (const auto prefix = sweep.Next()) {
//     sweep.OnScanned(table.Scan(*prefix, 256, timeout).value().size());
//   }
class ClaimSweep
{
public:
  ClaimSweep(std::string aPrefix, std::size_t aLimit);

  // Returns the prefix to scan next; nothing at the end.
  [[nodiscard]] std::optional<std::string> Next();
  // Takes the number of rows that the last scan returned.
  void OnScanned(std::size_t aRows);

private:
  std::size_t mLimit;
  std::string mLast;
  std::vector<std::string> mPrefixes;
};

} // namespace bilberrytrail
