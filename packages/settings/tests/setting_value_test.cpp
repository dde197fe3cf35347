#include <bilberrytrail/settings/setting_table.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

SettingInfo
Info(SettingType aType, double aMin = 0, double aMax = 0)
{
  return { "s", "k", aType, aMin, aMax, "", false, "" };
}

} // namespace

TEST_CASE("a number without its unit or out of range is refused")
{
  const auto time = Info(SettingType::Time, 1000, 60e6);
  const auto size = Info(SettingType::Size, 1024, 0x1p30);
  const auto count = Info(SettingType::Count, 1, 100);
  const auto share = Info(SettingType::Share, 0, 1);
  const auto number = Info(SettingType::Number, 0, 2000);
  const std::string timeText =
    "expected a time of 1ms to 1min with its unit us, ms, s, min or h";
  const std::string sizeText =
    "expected a size of 1KiB to 1GiB with its unit B, KiB, MiB or GiB";
  const std::string countText = "expected a whole number of 1 to 100";
  struct Row
  {
    SettingInfo mInfo;
    const char* mText;
    SettingValue mValue;
    std::string mMessage;
  };
  const Row rows[] = {
    { time, "250ms", Duration(250ms), "" },
    { time, "2s", Duration(2s), "" },
    { time, "1500us", Duration(1500us), "" },
    { time, "1min", Duration(60s), "" },
    { time, "2", {}, timeText },
    { time, "", {}, timeText },
    { time, "2 s", {}, timeText },
    { time, "2S", {}, timeText },
    { time, "1.5s", Duration(1500ms), "" },
    { time, "0.5min", Duration(30s), "" },
    { time, "1.5", {}, timeText },
    { time, ".5s", {}, timeText },
    { time, "1.5.1s", {}, timeText },
    { time, "1e1s", {}, timeText },
    { time, "0.0005ms", {}, timeText },
    { time, "-2s", {}, timeText },
    { time, "61s", {}, timeText },
    { time, "999us", {}, timeText },
    { time, "99999999999999999999s", {}, timeText },
    { size, "8MiB", std::uint64_t{ 8U << 20U }, "" },
    { size, "1GiB", std::uint64_t{ 1U << 30U }, "" },
    { size, "1023B", {}, sizeText },
    { size, "8MB", {}, sizeText },
    { size, "8", {}, sizeText },
    { count, "100", std::uint64_t{ 100 }, "" },
    { count, "0", {}, countText },
    { count, "1e1", {}, countText },
    { count, "5x", {}, countText },
    { number, "1000.0", 1000.0, "" },
    { number, "12", 12.0, "" },
    { number, "2001", {}, "expected a number of 0 to 2000" },
    { number, "-1", {}, "expected a number of 0 to 2000" },
    { share, "0.25", 0.25, "" },
    { share, "1", 1.0, "" },
    { share, "1.01", {}, "expected a share of 0 to 1" },
    { share, "nan", {}, "expected a share of 0 to 1" },
    { share, "10%", {}, "expected a share of 0 to 1" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mText);
    const auto value = ParseSetting(row.mInfo, row.mText);
    REQUIRE(value.has_value() == row.mMessage.empty());
    if (value) {
      const bool isEqual = value.value() == row.mValue;
      CHECK(isEqual);
    } else {
      CHECK(value.error().mMessage == row.mMessage);
    }
  }
}

TEST_CASE("malformed names, texts, addresses and hashes are refused")
{
  struct Row
  {
    SettingType mType;
    std::string mText;
    bool mValid;
  };
  const Row rows[] = {
    { SettingType::Name, "entry-1.a_B", true },
    { SettingType::Name, "", false },
    { SettingType::Name, "a b", false },
    { SettingType::Name, "\xC3\xA9", false },
    { SettingType::Name, std::string(63, 'a'), true },
    { SettingType::Name, std::string(64, 'a'), false },
    { SettingType::Text, "/etc/a b", true },
    { SettingType::Text, "", false },
    { SettingType::Address, "10.0.0.1:80", true },
    { SettingType::Address, "0.0.0.0:0", true },
    { SettingType::Address, "host:80", false },
    { SettingType::Address, "http://10.0.0.1:80", false },
    { SettingType::Address, "10.0.0.256:80", false },
    { SettingType::Address, "10.0.0.1", false },
    { SettingType::Address, "10.0.0.1:65536", false },
    { SettingType::Hash, std::string(64, 'a'), true },
    { SettingType::Hash, std::string(64, 'A'), false },
    { SettingType::Hash, std::string(63, 'a'), false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mText);
    CHECK(ParseSetting(Info(row.mType), row.mText).has_value() == row.mValid);
  }
}
