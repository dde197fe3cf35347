#pragma once

#include <cstddef>
#include <string_view>

namespace bilberrytrail {

// Most values of a JSON text from outside. A parsed value takes many times the
// memory of its text, so that a bound on the text alone bounds little.
inline constexpr std::size_t kMaxJsonValues = 250'000;
// Deepest nesting of such a text. Some writers and readers recurse, and fibers
// have small stacks.
inline constexpr std::size_t kMaxJsonDepth = 64;

// Returns whether a JSON text keeps both bounds. The text need not be
// well-formed.
[[nodiscard]] bool
FitsJsonBounds(std::string_view aText) noexcept;

} // namespace bilberrytrail
