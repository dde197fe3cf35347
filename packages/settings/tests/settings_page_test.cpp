#include <bilberrytrail/settings/daemon_settings.h>

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>

#include "settings_sample.h"

using namespace bilberrytrail;

TEST_CASE("docs/SETTINGS.md matches the settings table")
{
  std::ifstream in(BILBERRYTRAIL_SOURCE_DIR "/docs/SETTINGS.md");
  const std::string text{ std::istreambuf_iterator<char>(in), {} };
  const bool isEqual = text == RenderSettingsPage();
  CHECK_MESSAGE(isEqual,
                "docs/SETTINGS.md is out of date; regenerate it with: "
                "bilberryctl catalogue settings");
}

TEST_CASE("every default is a valid value of its row")
{
  for (const auto& info : DaemonSettingTable()) {
    CAPTURE(info.mKey);
    CHECK(
      (info.mDefault.empty() || ParseSetting(info, info.mDefault).has_value()));
    CHECK_FALSE((info.mRequired && !info.mDefault.empty()));
    CHECK(info.mHelp.ends_with('.'));
  }
}

TEST_CASE("printed defaults plus the required keys are a valid file")
{
  const auto text = RenderDefaults(DaemonSettingTable());
  const auto printed =
    ParseDaemonSettings(text + std::string(kSampleSettings), "d.ini");
  REQUIRE(printed.has_value());
  const auto missing = ParseDaemonSettings(text, "d.ini");
  REQUIRE_FALSE(missing.has_value());
  CHECK(missing.error().mMessage.find("is unknown") == std::string::npos);
}
