#include <bilberrytrail/settings/daemon_settings.h>

#include "site_key.h"

#include <fstream>
#include <iterator>
#include <optional>

namespace bilberrytrail {

namespace {

std::optional<std::string>
ReadFile(const std::filesystem::path& aPath)
{
  std::ifstream in(aPath, std::ios::binary);
  if (!in.is_open()) {
    return std::nullopt;
  }
  std::string text{ std::istreambuf_iterator<char>(in), {} };
  return in.bad() ? std::nullopt : std::optional(std::move(text));
}

// Reads the site key from mSiteKeyFile and removes line feeds at its end. Fails
// with InvalidInput when the file cannot be read or the key is too short.
Result<void>
LoadSiteKey(DaemonSettings& aSettings, const std::string& aName)
{
  auto key = ReadFile(aSettings.mSiteKeyFile);
  while (key && key->ends_with('\n')) {
    key->pop_back();
  }
  if (!key || key->size() < kMinSiteKeyBytes) {
    return Fail(ErrorCode::InvalidInput,
                aName +
                  ": [daemon] site_key_file: expected a readable file "
                  "with a key of at least 32 bytes: " +
                  aSettings.mSiteKeyFile +
                  (key ? " has " + std::to_string(key->size()) + " bytes"
                       : " cannot be read"));
  }
  aSettings.mSiteKey = std::move(*key);
  return Ok();
}

} // namespace

Result<DaemonSettings>
LoadDaemonSettings(const std::filesystem::path& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    return Fail(ErrorCode::NotFound,
                "cannot read settings file " + aPath.string());
  }
  auto settings = ParseDaemonSettings(*text, aPath.string());
  if (settings && !settings.value().mSiteKeyFile.empty()) {
    if (const auto done = LoadSiteKey(settings.value(), aPath.string());
        !done) {
      return done.error();
    }
  }
  return settings;
}

std::string
RenderSettingsPage()
{
  return "# Settings of bilberryd\n"
         "\n"
         "bilberryd reads one INI file. Comments begin with `;` or `#` at the "
         "start of a line.\n"
         "Times need a unit (`us`, `ms`, `s`, `min`, `h`), and so do sizes "
         "(`B`, `KiB`, `MiB`, `GiB`).\n"
         "Faults stop the start with file, line and what was expected: an "
         "unknown or repeated\n"
         "key, a missing required key, a bad value, or keys that contradict "
         "each other.\n"
         "\n"
         "`bilberryd --print-defaults` prints this table as an INI file; "
         "`bilberryctl settings check`\n"
         "tries one. Made by `bilberryctl catalogue settings`; a test "
         "compares both.\n" +
         RenderSettingTables(DaemonSettingTable());
}

} // namespace bilberrytrail
