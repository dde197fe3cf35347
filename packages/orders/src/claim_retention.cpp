#include <bilberrytrail/orders/claim_retention.h>

namespace bilberrytrail {

std::vector<TableWrite>
EraseExpiredClaims(const std::vector<TableRow>& aRows,
                   std::int64_t aWallClockMs,
                   std::size_t aLimit)
{
  const auto kept = std::chrono::milliseconds(kClaimRetention).count();
  std::vector<TableWrite> writes;
  for (const auto& row : aRows) {
    const auto claim = DecodeClaimRow(row.mValue);
    if (writes.size() >= aLimit) {
      break;
    }
    if (claim && claim.value().mWrittenAtMs + kept <= aWallClockMs) {
      writes.push_back({ row.mKey, {}, row.mVersion, true });
    }
  }
  return writes;
}

} // namespace bilberrytrail
