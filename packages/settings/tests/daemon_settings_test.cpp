#include <bilberrytrail/settings/daemon_settings.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "settings_sample.h"

using namespace bilberrytrail;

TEST_CASE("a file with only the required keys gets defaults for the others")
{
  const auto parsed = ParseDaemonSettings(kSampleSettings, "d.ini");
  REQUIRE(parsed.has_value());
  const auto& settings = parsed.value();
  CHECK(settings.mName == DaemonId("entry-1"));
  CHECK(settings.mZone == ZoneId("north-a"));
  CHECK(settings.mPeers == Endpoint{ "10.0.0.1", 7002 });
  CHECK(settings.mGossipPort == 7002);
  CHECK(settings.mTrafficThreads == 2);
  CHECK(settings.mBodyBytes == 8U * 1024U * 1024U);
  CHECK(settings.mLeaseLength == Duration(10s));
  CHECK(settings.mRetryBudget == doctest::Approx(0.1));
  CHECK(settings.mLogLevel == LogLevel::Info);
}

TEST_CASE("an invalid line is reported with its number and what was expected")
{
  struct Row
  {
    const char* mText;
    const char* mMessage;
  };
  // Each text is appended to the sample, whose last line is kSampleLines.
  const Row rows[] = {
    { "[log]\nlevle = info\n",
      "+2: [log] levle is unknown: expected a key of docs/SETTINGS.md" },
    { "[logs]\nlevel = info\n",
      "+2: [logs] level is unknown: expected a key of docs/SETTINGS.md" },
    { "[log]\nlevel = info\nlevel = info\n",
      "+3: [log] level is already set on line +2: expected it only once" },
    { "[log]\nlevel = loud\n",
      "+2: [log] level: expected debug, info, warning or error" },
    { "[limits]\nidle_time = 60\n",
      "+2: [limits] idle_time: expected a time of 1s to 1h with its unit us, "
      "ms, s, min or h" },
    { "[control]\nlease_renewal = 6s\n",
      "+2: expected [control] lease_renewal of at most half of lease_length" },
    { "[control]\nlease_length = 5s\n",
      "+2: expected [control] lease_renewal of at most half of lease_length" },
    { "[control]\nhead_poll = 6s\n",
      "+2: expected [control] head_poll of at most half of release_bound" },
    { "[control]\nlist_heartbeat = 11s\n",
      "+2: expected [control] list_heartbeat of at most half of "
      "list_silence" },
    { "[requests]\nkeep_outcome_time = 30min\n",
      "+2: expected [requests] keep_outcome_time of at least twice "
      "max_deadline" },
    { "[membership]\ngossip_period = 3s\n",
      "+2: expected [membership] gossip_period of at most half of "
      "suspicion_time" },
    { "[membership]\nseeds = 10.0.0.2:7002 10.0.0.3\n",
      "+2: expected [membership] seeds of the form IP:PORT, separated by "
      "spaces" },
    { "[requests]\nmax_deadline = 59s\n",
      "+2: expected [requests] default_deadline of at most max_deadline" },
    { "[limits]\nbody_bytes = 129MiB\n",
      "+2: expected [limits] body_bytes of at most a quarter of "
      "memory_bytes" },
    { "[daemon]\nsite_key_file = x\n",
      "2: expected one of [daemon] site_key_file and site_key" },
    { "[log]\nfile\n", "+2: expected [section], key = value or a comment" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mText);
    const auto parsed =
      ParseDaemonSettings(std::string(kSampleSettings) + row.mText, "d.ini");
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().mMessage == "d.ini:" + WithLines(row.mMessage));
  }
}

TEST_CASE(
  "a missing key, a short site key and conflicting addresses are refused")
{
  struct Row
  {
    const char* mFrom;
    const char* mTo;
    const char* mMessage;
  };
  const Row rows[] = {
    { "name = entry-1\n",
      "\n",
      "d.ini:1: [daemon] name is missing: expected 1 to 63 letters, digits, "
      "'.', '_' and '-'" },
    { "site_key = 0123456789abcdef0123456789abcdef\n",
      "\n",
      "d.ini:1: expected one of [daemon] site_key_file and site_key" },
    { "site_key = 0",
      "site_key = ",
      "d.ini:2: expected [daemon] site_key of at least 32 bytes" },
    { "10.0.0.1:7002",
      "0.0.0.0:7002",
      "d.ini:9: expected [listen] peers to be an address that other daemons "
      "reach" },
    { "10.0.0.1:7001",
      "10.0.0.1:7000",
      "d.ini:8: expected [listen] operators to differ from callers" },
    { "10.0.0.1:7002",
      "10.0.0.1:7000",
      "d.ini:9: expected [listen] peers to differ from callers" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mTo);
    std::string text(kSampleSettings);
    text.replace(text.find(row.mFrom), std::string(row.mFrom).size(), row.mTo);
    const auto parsed = ParseDaemonSettings(text, "d.ini");
    REQUIRE_FALSE(parsed.has_value());
    CHECK(parsed.error().mMessage == row.mMessage);
  }
}

TEST_CASE("every fault of a file is reported")
{
  const auto parsed = ParseDaemonSettings("[log]\nlevel = x\nfoo = 1\n", "d");
  REQUIRE_FALSE(parsed.has_value());
  const auto& text = parsed.error().mMessage;
  CHECK(text.starts_with("d:2: [log] level: expected"));
  CHECK(text.find("\nd:3: [log] foo is unknown") != std::string::npos);
  CHECK(text.find("\nd:1: [platform] table is missing") != std::string::npos);
  CHECK(text.find("\nd:1: [operators] token_hash is missing") !=
        std::string::npos);
}

TEST_CASE(
  "the site key is read from its file, which must hold at least 32 bytes")
{
  struct Row
  {
    std::string mKey;
    bool mValid;
  };
  const std::string key(32, 'k');
  const Row rows[] = { { key + "\n", true },
                       { key.substr(1) + "\n", false },
                       { "", false } };
  const auto folder = std::filesystem::temp_directory_path() /
                      ("bilberrytrail_settings_" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  std::string text(kSampleSettings);
  const std::string line = "site_key = 0123456789abcdef0123456789abcdef";
  text.replace(text.find(line),
               line.size(),
               "site_key_file = " + (folder / "key").string());
  std::ofstream(folder / "d.ini") << text;
  for (const auto& row : rows) {
    CAPTURE(row.mKey);
    std::ofstream(folder / "key") << row.mKey;
    const auto loaded = LoadDaemonSettings(folder / "d.ini");
    REQUIRE(loaded.has_value() == row.mValid);
    if (loaded) {
      CHECK(loaded.value().mSiteKey == key);
    }
  }
  std::filesystem::remove(folder / "key");
  CHECK_FALSE(LoadDaemonSettings(folder / "d.ini").has_value());
  CHECK_FALSE(LoadDaemonSettings(folder / "none.ini").has_value());
  std::filesystem::remove_all(folder);
}
