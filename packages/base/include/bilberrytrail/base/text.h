#pragma once

#include <string_view>

namespace bilberrytrail {

// Returns a text without the characters of aBlanks at its ends.
//
//   const auto name = Trim(" wick ", " \t");
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
