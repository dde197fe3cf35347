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
  double mRetrySlack = 50;
  Duration mRetryWindow = 10s;
  // Least time between orders of two holders to one server.
  Duration mOrderGap = 3s;
  // Time from the naming of new weights to the last request that begins on
  // older ones.
  Duration mWeightsWithin = 15s;
  // Optional settings whose value could not be read and that have their
  // defaults instead, a line each.
  std::vector<std::string> mDefaulted;
};

// What becomes of an optional setting whose value cannot be read.
enum class InvalidOptional : unsigned char
{
  // It is a fault, as where an operator tries a file.
  Reject,
  // It gets its default: a file that the platform filled in with an absent or
  // unexpected value must not keep a daemon from serving.
  UseDefault
};

// Returns the table of these settings.
[[nodiscard]] std::span<const SettingInfo>
EntrySettingTable() noexcept;

// Returns the text of docs/SETTINGS-ENTRY.md.
[[nodiscard]] std::string
RenderEntrySettingsPage();

// Reads INI text. Fails with InvalidInput and all faults, a line each.
[[nodiscard]] Result<EntrySettings>
ParseEntrySettings(std::string_view aText,
                   std::string_view aName,
                   InvalidOptional aBadOptional = InvalidOptional::Reject);

// Reads a file; fails with NotFound too.
[[nodiscard]] Result<EntrySettings>
LoadEntrySettings(const std::string& aPath, InvalidOptional aBadOptional);

} // namespace bilberrytrail
