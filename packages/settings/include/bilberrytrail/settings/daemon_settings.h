#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/log_event.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/settings/setting_table.h>

#include <cstdint>
#include <filesystem>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Validated settings of bilberryd. DaemonSettingTable() gives the section, key,
// range and meaning of each member. Sizes are in bytes.
//
//   auto settings = LoadDaemonSettings("bilberryd.ini");
//   if (!settings) {
//     return Report(settings.error().mMessage);
//   }
struct DaemonSettings
{
  // [daemon]
  DaemonId mName;
  ZoneId mZone;
  std::string mRegion;
  std::string mSiteKeyFile;
  // Site key, read from mSiteKeyFile or set by [daemon] site_key.
  std::string mSiteKey;
  std::uint64_t mTrafficThreads = 0;

  // [listen]
  Endpoint mCallers;
  Endpoint mOperators;
  Endpoint mPeers;
  // UDP port; parsing replaces 0 by the port of mPeers.
  std::uint64_t mGossipPort = 0;

  // [platform]
  Endpoint mTable;
  Endpoint mObjects;
  Endpoint mList;
  Duration mPlatformTimeout{};

  // [limits]
  std::uint64_t mBodyBytes = 0;
  std::uint64_t mHeaderBytes = 0;
  Duration mReadTime{};
  Duration mIdleTime{};
  std::uint64_t mMaxRequests = 0;
  std::uint64_t mQueueEntries = 0;
  std::uint64_t mDirectoryEntries = 0;
  std::uint64_t mMemoryBytes = 0;
  std::uint64_t mHistogramSeries = 0;

  // [membership]
  Duration mGossipPeriod{};
  Duration mSuspicionTime{};
  Duration mMessageWindow{};
  std::string mSeedText;
  // Addresses parsed from mSeedText.
  std::vector<Endpoint> mSeeds;

  // [control]
  Duration mHeadPoll{};
  Duration mReleaseBound{};
  Duration mListPoll{};
  Duration mListHeartbeat{};
  Duration mListSilence{};
  Duration mListCheck{};
  Duration mLeavingHold{};
  std::uint64_t mControlShards = 0;
  Duration mLeaseLength{};
  Duration mLeaseRenewal{};
  Duration mOrderTimeout{};

  // [requests]
  std::uint64_t mBlockBytes = 0;
  Duration mDefaultDeadline{};
  Duration mMaxDeadline{};
  double mRetryBudget = 0;
  double mHedgeBudget = 0;
  // 1 when slow backend servers get less work, else 0.
  std::uint64_t mFindSlowServers = 0;
  Duration mQuarantineTime{};
  Duration mClaimBatchTime{};
  std::uint64_t mClaimHomes = 0;
  std::uint64_t mClaimTransactions = 0;
  Duration mKeepOutcomeTime{};
  Duration mDrainTime{};

  // [cache]
  // 1 when evicted prompts are imported from store VMs, else 0.
  std::uint64_t mCacheEnabled = 0;
  std::uint64_t mKvBytesPerToken = 0;
  std::uint64_t mLinkBytesPerSecond = 0;

  // [operators]
  std::string mOperatorTokenHash;

  // [log]
  LogLevel mLogLevel = LogLevel::Info;
  // Empty for standard output.
  std::string mLogFile;

  // [trace]
  // Empty when requests are not recorded.
  std::string mTraceFile;
};

// Returns the rows of all settings of bilberryd.
[[nodiscard]] std::span<const SettingInfo>
DaemonSettingTable();

// Returns the default settings; members without a default stay as initialized.
[[nodiscard]] DaemonSettings
DefaultDaemonSettings();

// Reads settings from an INI text. Fails with InvalidInput and one line
// "name:line: what was expected" for each fault: unknown, repeated or missing
// keys, invalid values, and values that conflict. Does not read the key file.
[[nodiscard]] Result<DaemonSettings>
ParseDaemonSettings(std::string_view aText, std::string_view aName);

// Reads settings from a file, and the site key from the file that they name.
// Fails like ParseDaemonSettings, with NotFound when the settings file cannot
// be read, and with InvalidInput when the site key file cannot be read or its
// key is shorter than 32 bytes.
[[nodiscard]] Result<DaemonSettings>
LoadDaemonSettings(const std::filesystem::path& aPath);

// Returns the content of docs/SETTINGS.md.
[[nodiscard]] std::string
RenderSettingsPage();

} // namespace bilberrytrail
