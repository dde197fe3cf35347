#include <bilberrytrail/orders/claim_sharing.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr std::size_t kDaemonsPerClaimHome = 100;

} // namespace

std::uint32_t
ClaimHomeCount(std::size_t aDaemons, std::uint32_t aMaxHomes) noexcept
{
  const auto needed = aDaemons / kDaemonsPerClaimHome;
  const std::size_t maxHomes = std::max<std::uint32_t>(aMaxHomes, 1);
  return static_cast<std::uint32_t>(
    std::clamp<std::size_t>(needed, 1, maxHomes));
}

Duration
MaxBatchInterval(std::uint32_t aHomes,
                 std::uint64_t aTransactionsPerSecond,
                 Duration aLongest) noexcept
{
  const auto rate = std::max<std::uint64_t>(aTransactionsPerSecond, 1);
  const Duration share =
    Duration(1s) * aHomes / static_cast<std::int64_t>(rate);
  return std::min(share, aLongest);
}

} // namespace bilberrytrail
