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

// Reads a whole number of at most 32 bits.
[[nodiscard]] std::optional<std::uint32_t>
ReadUnsigned(std::string_view aText);

// Reads a positive finite number.
[[nodiscard]] std::optional<double>
ReadPositive(std::string_view aText);

// Returns true for 1 to 64 letters, digits, '.', '_' and '-'.
[[nodiscard]] bool
IsName(std::string_view aText);

// Returns true for 64 lower-case hexadecimal digits.
[[nodiscard]] bool
IsSha256(std::string_view aText);

} // namespace bilberrytrail
