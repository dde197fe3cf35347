#pragma once

#include <bilberrytrail/base/error.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Compresses bytes, fast rather than small: their number in four bytes, most
// significant first, and DEFLATE blocks (RFC 1951) that end with an empty one.
[[nodiscard]] std::string
Deflate(std::string_view aBytes);

// Restores what Deflate returned. Fails with Corrupt, and with TooLarge when
// the result has more than aMaxBytes.
[[nodiscard]] Result<std::string>
Inflate(std::string_view aBytes, std::size_t aMaxBytes);

} // namespace bilberrytrail
