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

// Kind of value of a setting, which decides how its text is read.
enum class SettingType : unsigned char
{
  // 1 to 63 letters, digits, '.', '_' and '-'.
  Name,
  // Any text, such as the path of a file.
  Text,
  // IPv4 number and port.
  Address,
  // Length of time with the unit us, ms, s, min or h.
  Time,
  // Size with the unit B, KiB, MiB or GiB.
  Size,
  // Whole number.
  Count,
  // Fraction of 1.
  Share,
  // Number, also with a fraction.
  Number,
  // SHA-256 as 64 hexadecimal digits in lower case.
  Hash,
  // Level of the log.
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

// One row of a table of settings. Bounds are in microseconds for times, bytes
// for sizes and plain numbers else, and hold for numeric types only.
struct SettingInfo
{
  std::string_view mSection;
  std::string_view mKey;
  SettingType mType;
  double mMin;
  double mMax;
  // Default in the form of the file; empty when there is none.
  std::string_view mDefault;
  bool mRequired;
  std::string_view mHelp;
};

// Value of a setting: Duration for Time, a whole number for Size and Count,
// double for Share and Number, Endpoint for Address, text else.
using SettingValue =
  std::variant<std::string, Endpoint, Duration, std::uint64_t, double>;

// Reads the text of one setting. Fails with InvalidInput and a message of the
// form "expected a time of 1ms to 10s with its unit".
[[nodiscard]] Result<SettingValue>
ParseSetting(const SettingInfo& aInfo, std::string_view aText);

// Says what ParseSetting accepts for a row: "a time of 1ms to 10s ...".
[[nodiscard]] std::string
DescribeExpected(const SettingInfo& aInfo);

// Returns all rows as an INI text with their defaults and comments; rows
// without a default stand as comments.
[[nodiscard]] std::string
RenderDefaults(std::span<const SettingInfo> aTable);

// Returns all rows as Markdown tables, one per section.
[[nodiscard]] std::string
RenderSettingTables(std::span<const SettingInfo> aTable);

} // namespace bilberrytrail
