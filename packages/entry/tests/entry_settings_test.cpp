#include <bilberrytrail/entry/entry_settings.h>

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

using namespace bilberrytrail;

namespace {

constexpr const char* kText = R"([daemon]
name = edge-1
zone = naas
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
peers = 10.0.0.1:82
metrics = 10.0.0.1:83
[store]
address = 10.0.0.9:90
)";

} // namespace

TEST_CASE("settings of an entry daemon are read, with defaults")
{
  const auto settings = ParseEntrySettings(
    std::string(kText) + "[stop]\ntime = 5s\n[retries]\nratio = 0.1\n"
                         "slack = 7\nwindow = 20s\n[weights]\n"
                         "order_gap = 2500ms\nwithin = 12s\n[cold]\n"
                         "over = 1.5\nslack = 5\n",
    "a.ini");
  REQUIRE(settings.has_value());
  const auto& value = settings.value();
  CHECK(value.mName == DaemonId("edge-1"));
  CHECK(value.mZone == ZoneId("naas"));
  CHECK(value.mStore == Endpoint{ "10.0.0.9", 90 });
  CHECK(value.mStopTime == 5s);
  CHECK(value.mLinkMbps == 0);
  CHECK(value.mRetryRatio == doctest::Approx(0.1));
  CHECK(value.mRetrySlack == 7);
  CHECK(value.mRetryWindow == 20s);
  CHECK(value.mOrderGap == 2500ms);
  CHECK(value.mColdOver == doctest::Approx(1.5));
  CHECK(value.mColdSlack == 5);
  CHECK(value.mWeightsWithin == 12s);
  CHECK(ParseEntrySettings(kText, "a.ini").value().mStopTime == 8s);
  const auto wide = ParseEntrySettings(
    std::string(kText) + "[daemon]\nlink_mbps = 1000.0\n", "a.ini");
  REQUIRE(wide.has_value());
  CHECK(wide.value().mLinkMbps == 1000);
}

// Guards against a daemon that does not start, since a port that its settings
// do not name is one that they name for something else.
TEST_CASE("the port for cache changes is any free one unless it is named")
{
  CHECK(ParseEntrySettings(kText, "a.ini").value().mBulkPort == 0);
  const auto named = ParseEntrySettings(
    std::string(kText) + "[listen]\nbulk_port = 84\n", "a.ini");
  REQUIRE(named.has_value());
  CHECK(named.value().mBulkPort == 84);
}

TEST_CASE("every fault in the settings is reported")
{
  struct Row
  {
    std::string mText;
    const char* mFault;
  };
  for (const Row& row :
       { Row{ std::string(kText) + "[x]\ny = 1\n", "unknown setting x.y" },
         Row{ std::string(kText) + "[stop]\ntime = fast\n", "stop.time" },
         Row{ std::string(kText) + "[daemon]\nname = b\n", "set twice" },
         Row{ "[daemon]\nname = a\n", "missing setting daemon.zone" },
         Row{ "", "missing setting store.address" } }) {
    CAPTURE(row.mText);
    const auto settings = ParseEntrySettings(row.mText, "a.ini");
    REQUIRE_FALSE(settings.has_value());
    CHECK(settings.error().mMessage.find(row.mFault) != std::string::npos);
  }
  CHECK(LoadEntrySettings("/no/such/file", InvalidOptional::UseDefault)
          .error()
          .mCode == ErrorCode::NotFound);
}

// The platform fills in limits as integers, fractions or booleans, and may omit
// some. None of these may keep a daemon from serving.
TEST_CASE("optional settings with invalid values get defaults with UseDefault")
{
  struct Value
  {
    const char* mText;
    // Whether the settings accept the value.
    bool mIsValid;
  };
  struct Setting
  {
    const char* mSection;
    const char* mKey;
    const char* mUnit;
  };
  for (const auto& setting : { Setting{ "daemon", "link_mbps", "" },
                               Setting{ "stop", "time", "s" },
                               Setting{ "retries", "ratio", "" },
                               Setting{ "retries", "slack", "" },
                               Setting{ "retries", "window", "s" },
                               Setting{ "weights", "order_gap", "ms" },
                               Setting{ "weights", "within", "ms" } }) {
    const std::string name = std::string(setting.mSection) + "." + setting.mKey;
    const bool isMillis = std::string_view(setting.mUnit) == "ms";
    const bool isRatio = name == "retries.ratio";
    const char* whole = isMillis ? "3000" : isRatio ? "1" : "6";
    const char* fraction = isMillis ? "3000.5" : isRatio ? "0.25" : "6.5";
    for (const auto& value : { Value{ whole, true },
                               Value{ fraction, true },
                               Value{ "", false },
                               Value{ "null", false },
                               Value{ "true", false },
                               Value{ "-1", false },
                               Value{ "[3]", false } }) {
      CAPTURE(name);
      CAPTURE(value.mText);
      const std::string text = std::string(kText) + "[" + setting.mSection +
                               "]\n" + setting.mKey + " = " + value.mText +
                               setting.mUnit + "\n";
      const auto settings =
        ParseEntrySettings(text, "a.ini", InvalidOptional::UseDefault);
      REQUIRE(settings.has_value());
      CHECK(settings.value().mDefaulted.empty() == value.mIsValid);
      CHECK(ParseEntrySettings(text, "a.ini").has_value() == value.mIsValid);
      if (!value.mIsValid) {
        CHECK(settings.value().mDefaulted.at(0).starts_with(name));
        CHECK(settings.value().mRetrySlack == EntrySettings().mRetrySlack);
        CHECK(settings.value().mStopTime == EntrySettings().mStopTime);
      }
    }
  }
}

TEST_CASE("docs/SETTINGS-ENTRY.md is made from the table")
{
  std::ifstream in(BILBERRYTRAIL_SOURCE_DIR "/docs/SETTINGS-ENTRY.md");
  const std::string text{ std::istreambuf_iterator<char>(in), {} };
  const bool isEqual = text == RenderEntrySettingsPage();
  CHECK_MESSAGE(isEqual,
                "regenerate it with: bilberryd --entry --print-defaults");
}
