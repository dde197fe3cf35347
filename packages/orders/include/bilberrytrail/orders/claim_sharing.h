#pragma once

#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <cstdint>

namespace bilberrytrail {

// Returns how many daemons of a site with aDaemons daemons batch its claims:
// one for each hundred, at least one and at most aMaxHomes. Fewer homes put
// more writes into each transaction; more homes reduce the load of each.
[[nodiscard]] std::uint32_t
ClaimHomeCount(std::size_t aDaemons, std::uint32_t aMaxHomes) noexcept;

// Returns the maximum time that each home may hold writes for a batch, such
// that all homes together commit about aTransactionsPerSecond. Never more than
// aLongest.
[[nodiscard]] Duration
MaxBatchInterval(std::uint32_t aHomes,
                 std::uint64_t aTransactionsPerSecond,
                 Duration aLongest) noexcept;

} // namespace bilberrytrail
