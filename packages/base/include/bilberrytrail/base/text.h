#pragma once

#include <string_view>

namespace bilberrytrail {

// Returns the text without leading and trailing characters of aBlanks.
//
//   const auto name = Trim(" draft ", " \t");
[[nodiscard]] constexpr std::string_view
Trim(std::string_view aText, std::string_view aBlanks) noexcept
{
  const auto first = aText.find_first_not_of(aBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(aBlanks) - first + 1);
}

} // namespace bilberrytrail
