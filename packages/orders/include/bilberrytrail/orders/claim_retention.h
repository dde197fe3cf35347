#pragma once

#include <bilberrytrail/orders/claim_row.h>
#include <bilberrytrail/platform/table_service.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace bilberrytrail {

// How long a claim row is kept after its last write. A resend that comes later
// is a new call, so it is far longer than any caller resends.
constexpr std::chrono::hours kClaimRetention{ 72 };

// Returns writes that erase the rows whose retention time has passed, at most
// aLimit of them. Rows that changed since they were read stay. Damaged rows
// stay too, for a person to look at. Ages are judged by wall clocks, so the
// clocks' error shifts the end of the retention by as much.
[[nodiscard]] std::vector<TableWrite>
EraseExpiredClaims(const std::vector<TableRow>& aRows,
                   std::int64_t aWallClockMs,
                   std::size_t aLimit);

} // namespace bilberrytrail
