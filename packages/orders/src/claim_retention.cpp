#include <bilberrytrail/orders/claim_retention.h>

#include <string_view>
#include <utility>

namespace bilberrytrail {

namespace {

// All bytes that a percent-encoded row key may contain.
constexpr std::string_view kRowKeyBytes =
  "%-./0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";

} // namespace

std::vector<TableWrite>
EraseExpiredClaims(const std::vector<TableRow>& aRows,
                   std::int64_t aWallClockMs,
                   std::chrono::milliseconds aRetention,
                   std::size_t aLimit)
{
  std::vector<TableWrite> writes;
  for (const auto& row : aRows) {
    const auto claim = DecodeClaimRow(row.mValue);
    if (writes.size() >= aLimit) {
      break;
    }
    if (claim &&
        claim.value().mWrittenAtMs + aRetention.count() <= aWallClockMs) {
      writes.push_back({ row.mKey, {}, row.mVersion, true });
    }
  }
  return writes;
}

ClaimSweep::ClaimSweep(std::string aPrefix, std::size_t aLimit)
  : mLimit(aLimit)
  , mPrefixes{ std::move(aPrefix) }
{
}

std::optional<std::string>
ClaimSweep::Next()
{
  if (mPrefixes.empty()) {
    return std::nullopt;
  }
  mLastPrefix = std::move(mPrefixes.back());
  mPrefixes.pop_back();
  return mLastPrefix;
}

void
ClaimSweep::OnScanned(std::size_t aRows)
{
  if (aRows < mLimit) {
    return;
  }
  for (const char c : kRowKeyBytes) {
    mPrefixes.push_back(mLastPrefix + c);
  }
}

} // namespace bilberrytrail
