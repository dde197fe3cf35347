#pragma once

#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <cstdint>

namespace bilberrytrail {

// Returns how many daemons gather the claims of a site with so many daemons:
// one for each hundred of them, at least one, at most aMost. With few homes a
// transaction carries many writes, with many of them no home has much to do.
[[nodiscard]] std::uint32_t
ClaimHomeCount(std::size_t aDaemons, std::uint32_t aMost) noexcept;

// Returns the longest time for which each of the homes may gather writes, so
// that all of them together commit about aTransactionsPerSecond, at most
// aLongest.
[[nodiscard]] Duration
MaxBatchInterval(std::uint32_t aHomes,
                 std::uint64_t aTransactionsPerSecond,
                 Duration aLongest) noexcept;

} // namespace bilberrytrail
