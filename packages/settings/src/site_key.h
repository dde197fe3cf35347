#pragma once

#include <cstddef>

namespace bilberrytrail {

// Shortest site key that is accepted.
inline constexpr std::size_t kMinSiteKeyBytes = 32;

} // namespace bilberrytrail
