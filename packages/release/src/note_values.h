#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Returns the items of a comma-separated list without surrounding blanks;
// nothing when one is empty.
[[nodiscard]] std::optional<std::vector<std::string>>
ReadList(std::string_view aText);

// Returns an unsigned 32-bit decimal number; nothing when the text is not one.
[[nodiscard]] std::optional<std::uint32_t>
ReadUnsigned(std::string_view aText);

// Returns a positive finite number; nothing when the text is not one.
[[nodiscard]] std::optional<double>
ReadPositive(std::string_view aText);

// Returns true for 1 to 64 letters, digits, '.', '_' and '-'.
[[nodiscard]] bool
IsName(std::string_view aText);

// Returns true for 64 lower-case hexadecimal digits.
[[nodiscard]] bool
IsSha256(std::string_view aText);

} // namespace bilberrytrail
