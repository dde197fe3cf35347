#pragma once

#include <bilberrytrail/base/error.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// Returns the bytes in Base64 with padding, for texts that must be UTF-8.
[[nodiscard]] std::string
ToBase64(std::string_view aBytes);

// Decodes Base64 with padding. Fails with Corrupt when the text is not valid
// Base64.
[[nodiscard]] Result<std::string>
FromBase64(std::string_view aText);

} // namespace bilberrytrail
