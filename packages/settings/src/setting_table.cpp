#include <bilberrytrail/settings/setting_table.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>

#include <arpa/inet.h>

namespace bilberrytrail {

namespace {

struct Unit
{
  std::string_view mName;
  double mFactor;
};

// Largest unit first, as RenderBound needs it.
constexpr std::array kTimeUnits{ Unit{ "h", 3600e6 },
                                 Unit{ "min", 60e6 },
                                 Unit{ "s", 1e6 },
                                 Unit{ "ms", 1e3 },
                                 Unit{ "us", 1 } };
constexpr std::array kSizeUnits{ Unit{ "GiB", 0x1p30 },
                                 Unit{ "MiB", 0x1p20 },
                                 Unit{ "KiB", 0x1p10 },
                                 Unit{ "B", 1 } };
constexpr std::array kNoUnits{ Unit{ "", 1 } };

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kHashDigits = 64;

std::span<const Unit>
UnitsOf(SettingType aType)
{
  switch (aType) {
    case SettingType::Time:
      return kTimeUnits;
    case SettingType::Size:
      return kSizeUnits;
    default:
      return kNoUnits;
  }
}

bool
IsDigit(char aChar)
{
  return aChar >= '0' && aChar <= '9';
}

bool
IsNameChar(char aChar)
{
  return IsDigit(aChar) || (aChar >= 'a' && aChar <= 'z') ||
         (aChar >= 'A' && aChar <= 'Z') || aChar == '.' || aChar == '_' ||
         aChar == '-';
}

bool
IsHashChar(char aChar)
{
  return IsDigit(aChar) || (aChar >= 'a' && aChar <= 'f');
}

bool
IsReal(SettingType aType)
{
  return aType == SettingType::Share || aType == SettingType::Number;
}

// Times may have a fraction because platforms write values such as "0.5s".
bool
MayHaveFraction(SettingType aType)
{
  return IsReal(aType) || aType == SettingType::Time;
}

// Parses the number at the start of the text and removes it from the text.
std::optional<double>
TakeNumber(SettingType aType, std::string_view& aText)
{
  if (aText.empty() || !IsDigit(aText.front())) {
    return std::nullopt;
  }
  const char* begin = aText.data();
  const char* end = begin + aText.size();
  double value = 0;
  std::from_chars_result got{};
  if (MayHaveFraction(aType)) {
    got = std::from_chars(begin, end, value, std::chars_format::fixed);
  } else {
    std::uint64_t whole = 0;
    got = std::from_chars(begin, end, whole);
    value = static_cast<double>(whole);
  }
  if (got.ec != std::errc()) {
    return std::nullopt;
  }
  aText.remove_prefix(static_cast<std::size_t>(got.ptr - begin));
  return value;
}

// Parses a number with its unit. Returns nullopt for an unknown unit or a value
// out of range.
std::optional<double>
ParseNumber(const SettingInfo& aInfo, std::string_view aText)
{
  const auto number = TakeNumber(aInfo.mType, aText);
  if (!number) {
    return std::nullopt;
  }
  const auto units = UnitsOf(aInfo.mType);
  const auto unit = std::ranges::find(units, aText, &Unit::mName);
  if (unit == units.end()) {
    return std::nullopt;
  }
  const double value = *number * unit->mFactor;
  if (!(value >= aInfo.mMin && value <= aInfo.mMax)) {
    return std::nullopt;
  }
  return value;
}

std::optional<SettingValue>
ParseAddress(std::string_view aText)
{
  auto endpoint = ParseEndpoint(aText);
  in_addr number{};
  if (!endpoint || aText.starts_with("http") ||
      inet_pton(AF_INET, endpoint.value().mHost.c_str(), &number) != 1) {
    return std::nullopt;
  }
  return std::move(endpoint).value();
}

std::optional<SettingValue>
ParseText(SettingType aType, std::string_view aText)
{
  bool valid = !aText.empty();
  switch (aType) {
    case SettingType::Name:
      valid = valid && aText.size() <= kMaxNameBytes &&
              std::ranges::all_of(aText, IsNameChar);
      break;
    case SettingType::Hash:
      valid =
        aText.size() == kHashDigits && std::ranges::all_of(aText, IsHashChar);
      break;
    default:
      break;
  }
  return valid ? std::optional<SettingValue>(std::string(aText)) : std::nullopt;
}

std::optional<SettingValue>
ParseNumeric(const SettingInfo& aInfo, std::string_view aText)
{
  const auto number = ParseNumber(aInfo, aText);
  if (!number) {
    return std::nullopt;
  }
  switch (aInfo.mType) {
    case SettingType::Time:
      return Duration(static_cast<std::int64_t>(*number));
    case SettingType::Share:
    case SettingType::Number:
      return *number;
    default:
      return static_cast<std::uint64_t>(*number);
  }
}

std::optional<SettingValue>
ParseValue(const SettingInfo& aInfo, std::string_view aText)
{
  switch (aInfo.mType) {
    case SettingType::Name:
    case SettingType::Text:
    case SettingType::Hash:
    case SettingType::Level:
      return ParseText(aInfo.mType, aText);
    case SettingType::Address:
      return ParseAddress(aText);
    default:
      return ParseNumeric(aInfo, aText);
  }
}

// Formats a bound with the largest unit that divides it evenly.
std::string
RenderBound(SettingType aType, double aValue)
{
  if (IsReal(aType)) {
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), aValue);
    return { buf.data(), end.ptr };
  }
  const auto units = UnitsOf(aType);
  const auto unit = std::ranges::find_if(units, [&](const Unit& aUnit) {
    return aValue > 0 && std::fmod(aValue, aUnit.mFactor) == 0;
  });
  const auto& chosen = unit == units.end() ? units.back() : *unit;
  return std::to_string(static_cast<std::uint64_t>(aValue / chosen.mFactor)) +
         std::string(chosen.mName);
}

std::string
RenderRange(const SettingInfo& aInfo)
{
  return RenderBound(aInfo.mType, aInfo.mMin) + " to " +
         RenderBound(aInfo.mType, aInfo.mMax);
}

bool
IsNumeric(SettingType aType)
{
  return aType == SettingType::Time || aType == SettingType::Size ||
         aType == SettingType::Count || IsReal(aType);
}

std::string
RenderDefaultText(const SettingInfo& aInfo)
{
  if (!aInfo.mDefault.empty()) {
    return "`" + std::string(aInfo.mDefault) + "`";
  }
  return aInfo.mRequired ? "required" : "none";
}

} // namespace

Result<SettingValue>
ParseSetting(const SettingInfo& aInfo, std::string_view aText)
{
  auto value = ParseValue(aInfo, aText);
  if (!value) {
    return Fail(ErrorCode::InvalidInput, "expected " + DescribeExpected(aInfo));
  }
  return std::move(*value);
}

std::string
DescribeExpected(const SettingInfo& aInfo)
{
  switch (aInfo.mType) {
    case SettingType::Name:
      return "1 to 63 letters, digits, '.', '_' and '-'";
    case SettingType::Text:
      return "a non-empty text";
    case SettingType::Address:
      return "an IPv4 address and port like 10.0.0.1:8080";
    case SettingType::Hash:
      return "a SHA-256 as 64 hexadecimal digits in lower case";
    case SettingType::Level:
      return "debug, info, warning or error";
    case SettingType::Time:
      return "a time of " + RenderRange(aInfo) +
             " with its unit us, ms, s, min or h";
    case SettingType::Size:
      return "a size of " + RenderRange(aInfo) +
             " with its unit B, KiB, MiB or GiB";
    case SettingType::Count:
      return "a whole number of " + RenderRange(aInfo);
    case SettingType::Share:
      return "a share of " + RenderRange(aInfo);
    case SettingType::Number:
      return "a number of " + RenderRange(aInfo);
  }
  return "a value";
}

std::string
RenderDefaults(std::span<const SettingInfo> aTable)
{
  std::string text;
  std::string_view section;
  for (const auto& info : aTable) {
    if (info.mSection != section) {
      section = info.mSection;
      text += (text.empty() ? "[" : "\n[") + std::string(section) + "]\n";
    }
    text += "; " + std::string(info.mHelp) + "\n";
    text += "; " + DescribeExpected(info);
    text += info.mRequired ? "; required\n" : "\n";
    text += info.mDefault.empty() ? "; " : "";
    text += std::string(info.mKey) + " = " + std::string(info.mDefault) + "\n";
  }
  return text;
}

std::string
RenderSettingTables(std::span<const SettingInfo> aTable)
{
  std::string text;
  std::string_view section;
  for (const auto& info : aTable) {
    if (info.mSection != section) {
      section = info.mSection;
      text += "\n## [" + std::string(section) +
              "]\n\n"
              "| Key | Type | Range | Default | Meaning |\n"
              "|---|---|---|---|---|\n";
    }
    text += "| `" + std::string(info.mKey) + "` | ";
    text += ToName(info.mType);
    text += " | " + (IsNumeric(info.mType) ? RenderRange(info) : "") + " | ";
    text += RenderDefaultText(info) + " | " + std::string(info.mHelp) + " |\n";
  }
  return text;
}

} // namespace bilberrytrail
