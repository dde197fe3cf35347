#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace bilberrytrail {

// Type of a setting, which determines how its text is parsed.
enum class SettingType : unsigned char
{
  // 1 to 63 letters, digits, '.', '_' and '-'.
  Name,
  // Any non-empty text, such as a file path.
  Text,
  // IPv4 address and port.
  Address,
  // Duration with the unit us, ms, s, min or h.
  Time,
  // Size with the unit B, KiB, MiB or GiB.
  Size,
  // Whole number.
  Count,
  // Fraction of 1, such as 0.25.
  Share,
  // Decimal number.
  Number,
  // SHA-256 as 64 hexadecimal digits in lower case.
  Hash,
  // Log level.
  Level
};

template<>
struct EnumNames<SettingType>
{
  static constexpr std::array<std::string_view, 10> kNames{
    "name",  "text",  "address", "time", "size",
    "count", "share", "number",  "hash", "level"
  };
};

// One row of a settings table. The bounds apply to numeric types only: in
// microseconds for times, in bytes for sizes, otherwise without a unit.
struct SettingInfo
{
  std::string_view mSection;
  std::string_view mKey;
  SettingType mType;
  double mMin;
  double mMax;
  // Default as written in a settings file; empty when there is none.
  std::string_view mDefault;
  bool mRequired;
  std::string_view mHelp;
};

// Value of a setting: Duration for Time, a whole number for Size and Count,
// double for Share and Number, Endpoint for Address, otherwise text.
using SettingValue =
  std::variant<std::string, Endpoint, Duration, std::uint64_t, double>;

// Parses the text of one setting. Fails with InvalidInput and a message of the
// form "expected a time of 1ms to 10s with its unit".
[[nodiscard]] Result<SettingValue>
ParseSetting(const SettingInfo& aInfo, std::string_view aText);

// Describes what ParseSetting accepts for a row: "a time of 1ms to 10s ...".
[[nodiscard]] std::string
DescribeExpected(const SettingInfo& aInfo);

// Returns all rows as an INI text with their help texts and defaults; rows
// without a default are commented out.
[[nodiscard]] std::string
RenderDefaults(std::span<const SettingInfo> aTable);

// Returns all rows as Markdown tables, one per section.
[[nodiscard]] std::string
RenderSettingTables(std::span<const SettingInfo> aTable);

} // namespace bilberrytrail
