#include "note_values.h"

#include <bilberrytrail/base/text.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace bilberrytrail {

namespace {

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kSha256Digits = 64;

template<class T>
std::optional<T>
ReadWhole(std::string_view aText)
{
  T value{};
  const char* end = aText.data() + aText.size();
  const auto [rest, ec] = std::from_chars(aText.data(), end, value);
  if (ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return value;
}

bool
IsNameChar(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '.' || aChar == '_' ||
         aChar == '-';
}

bool
IsHexDigit(char aChar)
{
  return (aChar >= '0' && aChar <= '9') || (aChar >= 'a' && aChar <= 'f');
}

} // namespace

std::optional<std::vector<std::string>>
ReadList(std::string_view aText)
{
  std::vector<std::string> items;
  while (true) {
    const auto comma = aText.find(',');
    const std::string_view item = Trim(aText.substr(0, comma), " \t");
    if (item.empty()) {
      return std::nullopt;
    }
    items.emplace_back(item);
    if (comma == std::string_view::npos) {
      return items;
    }
    aText.remove_prefix(comma + 1);
  }
}

std::optional<std::uint32_t>
ReadUnsigned(std::string_view aText)
{
  return ReadWhole<std::uint32_t>(aText);
}

std::optional<double>
ReadPositive(std::string_view aText)
{
  const auto value = ReadWhole<double>(aText);
  return value && std::isfinite(*value) && *value > 0 ? value : std::nullopt;
}

bool
IsName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         std::all_of(aText.begin(), aText.end(), IsNameChar);
}

bool
IsSha256(std::string_view aText)
{
  return aText.size() == kSha256Digits &&
         std::all_of(aText.begin(), aText.end(), IsHexDigit);
}

} // namespace bilberrytrail
