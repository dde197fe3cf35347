#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/log_event.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/settings/setting_table.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Settings of a daemon that serves on a table platform (bilberryd --entry).
struct EntrySettings
{
  DaemonId mName;
  ZoneId mZone;
  LogLevel mLogLevel = LogLevel::Info;
  // Link speed of this VM in megabits per second; 0 if unknown.
  double mLinkMbps = 0;
  // Memory that this process may use, in megabytes; 0 if unknown.
  double mMemoryMb = 0;
  Endpoint mCallers;
  Endpoint mReadiness;
  Endpoint mPeers;
  // Port at mPeers for what other daemons may be given late.
  std::uint16_t mBulkPort = 0;
  Endpoint mMetrics;
  // Address of the table service.
  Endpoint mStore;
  // Time from the acknowledgement of a configuration until each daemon must
  // have it in force.
  Duration mConfigWithin = 2s;
  // Longest time between SIGTERM and the end of the process.
  Duration mStopTime = 8s;
  // Retry budget of all daemons together.
  double mRetryRatio = 0.2;
  double mRetrySlack = 50;
  Duration mRetryWindow = 10s;
  // Minimum time between orders of two lease holders to one server.
  Duration mOrderGap = 3s;
  // Time from the announcement of new weights to the last request that may
  // begin on older ones.
  Duration mWeightsWithin = 15s;
  // Bound on the requests that all daemons together send to a cold server: in
  // any second at most the rate that it takes times mColdOver, plus mColdSlack.
  double mColdOver = 1;
  double mColdSlack = 0;
  // Optional settings that have their defaults because their value is invalid:
  // name and reason of each.
  std::vector<std::string> mDefaulted;
};

// How an optional setting with an invalid value is handled.
enum class InvalidOptional : unsigned char
{
  // It is a fault, as when an operator checks a file.
  Reject,
  // It gets its default: an absent or unexpected value that the platform filled
  // in must not keep a daemon from serving.
  UseDefault
};

// Returns the descriptions of these settings.
[[nodiscard]] std::span<const SettingInfo>
EntrySettingTable() noexcept;

// Returns the text of docs/SETTINGS-ENTRY.md.
[[nodiscard]] std::string
RenderEntrySettingsPage();

// Parses INI text. Fails with InvalidInput and all faults, one a line.
[[nodiscard]] Result<EntrySettings>
ParseEntrySettings(std::string_view aText,
                   std::string_view aName,
                   InvalidOptional aInvalidOptional = InvalidOptional::Reject);

// Reads a settings file. Fails with NotFound, or as ParseEntrySettings does.
[[nodiscard]] Result<EntrySettings>
LoadEntrySettings(const std::string& aPath, InvalidOptional aInvalidOptional);

} // namespace bilberrytrail
