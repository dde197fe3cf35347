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

namespace bilberrytrail {

// Settings of a daemon that serves on a table platform (bilberryd --entry).
struct EntrySettings
{
  DaemonId mName;
  ZoneId mZone;
  LogLevel mLogLevel = LogLevel::Info;
  // Megabits per second of this VM's link; 0 when it is not known.
  double mLinkMbps = 0;
  Endpoint mCallers;
  Endpoint mReadiness;
  Endpoint mPeers;
  Endpoint mMetrics;
  // The table service.
  Endpoint mStore;
  // Longest time between SIGTERM and the end of the process.
  Duration mStopTime = 8s;
  // Repeated sends allowed to all daemons together.
  double mRetryRatio = 0.2;
  std::uint64_t mRetrySlack = 50;
  Duration mRetryWindow = 10s;
  // Least time between orders of two holders to one server.
  Duration mOrderGap = 3s;
  // Time from the naming of new weights to the last request that begins on
  // older ones.
  Duration mWeightsWithin = 15s;
};

// Returns the table of these settings.
[[nodiscard]] std::span<const SettingInfo>
EntrySettingTable() noexcept;

// Returns the text of docs/SETTINGS-ENTRY.md.
[[nodiscard]] std::string
RenderEntrySettingsPage();

// Reads INI text. Fails with InvalidInput and all faults, a line each.
[[nodiscard]] Result<EntrySettings>
ParseEntrySettings(std::string_view aText, std::string_view aName);

// Reads a file; fails with NotFound too.
[[nodiscard]] Result<EntrySettings>
LoadEntrySettings(const std::string& aPath);

} // namespace bilberrytrail
