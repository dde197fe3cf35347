#include <bilberrytrail/entry/entry_settings.h>

#include <bilberrytrail/settings/ini_document.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <set>
#include <sstream>

namespace bilberrytrail {

namespace {

using enum SettingType;

constexpr double kMicrosInMilli = 1e3;
constexpr double kMicrosInSecond = 1e6;
constexpr double kMaxRepeats = 1e6;
constexpr double kMaxMbps = 1e7;
constexpr double kMaxMegabytes = 1e6;
constexpr double kMaxPort = 65'535;
constexpr double kMaxColdOver = 1000;

constexpr std::array kTable{
  SettingInfo{ "daemon",
               "name",
               Name,
               0,
               0,
               "",
               true,
               "Name of this daemon, unique within the site." },
  SettingInfo{ "daemon",
               "zone",
               Name,
               0,
               0,
               "",
               true,
               "Availability zone that this daemon runs in." },
  SettingInfo{ "daemon",
               "log_level",
               Level,
               0,
               0,
               "info",
               false,
               "Lowest level logged." },
  SettingInfo{
    "daemon",
    "link_mbps",
    Number,
    0,
    kMaxMbps,
    "0",
    false,
    "Link speed of this VM in megabits per second, 0 if unknown; "
    "daemons with fast links are preferred as relays of their zone." },
  SettingInfo{
    "daemon",
    "memory_mb",
    Number,
    0,
    kMaxMegabytes,
    "0",
    false,
    "Memory that the daemon may use in megabytes, 0 if unknown; callers' "
    "requests and answers in progress take up to a quarter of it, those of "
    "the table service, stores and peers up to an eighth." },
  SettingInfo{ "listen",
               "callers",
               Address,
               0,
               0,
               "",
               true,
               "Address for callers." },
  SettingInfo{ "listen",
               "readiness",
               Address,
               0,
               0,
               "",
               true,
               "Address for the balancer's readiness checks." },
  SettingInfo{ "listen",
               "peers",
               Address,
               0,
               0,
               "",
               true,
               "Address for other daemons." },
  SettingInfo{ "listen",
               "bulk_port",
               Number,
               0,
               kMaxPort,
               "0",
               false,
               "Port for what other daemons may be given late, at the address "
               "for other daemons; 0 for any free one." },
  SettingInfo{ "listen",
               "metrics",
               Address,
               0,
               0,
               "",
               true,
               "Address for metrics, as text." },
  SettingInfo{ "store",
               "address",
               Address,
               0,
               0,
               "",
               true,
               "Address of the platform's table service." },
  SettingInfo{ "config",
               "within",
               Time,
               500 * kMicrosInMilli,
               60 * kMicrosInSecond,
               "2s",
               false,
               "Time from the acknowledgement of a configuration until each "
               "daemon must have it in force." },
  SettingInfo{ "stop",
               "time",
               Time,
               kMicrosInSecond,
               600 * kMicrosInSecond,
               "8s",
               false,
               "Longest time between SIGTERM and the end of the process; "
               "derived from the platform's grace period." },
  SettingInfo{ "retries",
               "ratio",
               Share,
               0,
               1,
               "0.2",
               false,
               "Retries allowed per request, over all daemons." },
  SettingInfo{ "retries",
               "slack",
               Number,
               0,
               kMaxRepeats,
               "50",
               false,
               "Retries allowed in each window in addition to the ratio, over "
               "all daemons." },
  SettingInfo{ "retries",
               "window",
               Time,
               100 * kMicrosInMilli,
               600 * kMicrosInSecond,
               "10s",
               false,
               "Window in which retries are counted." },
  SettingInfo{ "weights",
               "order_gap",
               Time,
               100 * kMicrosInMilli,
               60 * kMicrosInSecond,
               "3s",
               false,
               "Minimum time between orders of two daemons to one server." },
  SettingInfo{ "weights",
               "within",
               Time,
               2 * kMicrosInSecond,
               3600 * kMicrosInSecond,
               "15s",
               false,
               "Time from the announcement of new weights to the last request "
               "that may begin on older ones." },
  SettingInfo{ "cold",
               "over",
               Number,
               1,
               kMaxColdOver,
               "1",
               false,
               "Multiple of the rate that a cold server takes which all "
               "daemons together may send it in a second." },
  SettingInfo{ "cold",
               "slack",
               Number,
               0,
               kMaxRepeats,
               "0",
               false,
               "Requests that all daemons together may send a cold server in a "
               "second in addition to that." },
};

// Stores the value of one row of the table.
using Setter = std::function<void(EntrySettings&, const SettingValue&)>;

const std::array<Setter, kTable.size()>&
Setters()
{
  static const std::array<Setter, kTable.size()> kSetters{
    [](auto& aTo, const auto& aValue) {
      aTo.mName = DaemonId(std::get<std::string>(aValue));
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mZone = ZoneId(std::get<std::string>(aValue));
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mLogLevel = FromName<LogLevel>(std::get<std::string>(aValue))
                        .value_or(LogLevel::Info);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mLinkMbps = std::get<double>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mMemoryMb = std::get<double>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mCallers = std::get<Endpoint>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mReadiness = std::get<Endpoint>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mPeers = std::get<Endpoint>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mBulkPort = static_cast<std::uint16_t>(std::get<double>(aValue));
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mMetrics = std::get<Endpoint>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mStore = std::get<Endpoint>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mConfigWithin = std::get<Duration>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mStopTime = std::get<Duration>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mRetryRatio = std::get<double>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mRetrySlack = std::get<double>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mRetryWindow = std::get<Duration>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mOrderGap = std::get<Duration>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mWeightsWithin = std::get<Duration>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mColdOver = std::get<double>(aValue);
    },
    [](auto& aTo, const auto& aValue) {
      aTo.mColdSlack = std::get<double>(aValue);
    },
  };
  return kSetters;
}

// Applies the entries and collects all faults.
class Reader
{
public:
  Reader(std::string_view aName, InvalidOptional aInvalidOptional)
    : mName(aName)
    , mInvalidOptional(aInvalidOptional)
  {
  }

  void Read(const IniEntry& aEntry);
  Result<EntrySettings> Finish();

private:
  void AddFault(std::string aText);

  std::string_view mName;
  InvalidOptional mInvalidOptional;
  EntrySettings mSettings;
  std::set<std::size_t> mSeen;
  std::string mFaults;
};

void
Reader::AddFault(std::string aText)
{
  mFaults += mFaults.empty() ? "" : "\n";
  mFaults += std::string(mName) + ": " + std::move(aText);
}

void
Reader::Read(const IniEntry& aEntry)
{
  const auto name = aEntry.mSection + "." + aEntry.mKey;
  const auto it = std::ranges::find_if(kTable, [&](const SettingInfo& aInfo) {
    return aInfo.mSection == aEntry.mSection && aInfo.mKey == aEntry.mKey;
  });
  if (it == kTable.end()) {
    AddFault("unknown setting " + name);
    return;
  }
  const auto n = static_cast<std::size_t>(it - kTable.begin());
  if (!mSeen.insert(n).second) {
    AddFault(name + " is set twice");
    return;
  }
  const auto value = ParseSetting(*it, aEntry.mValue);
  if (!value && !it->mRequired &&
      mInvalidOptional == InvalidOptional::UseDefault) {
    mSettings.mDefaulted.push_back(name + ": " + value.error().mMessage);
    return;
  }
  if (!value) {
    AddFault(name + ": " + value.error().mMessage);
    return;
  }
  Setters()[n](mSettings, value.value());
}

Result<EntrySettings>
Reader::Finish()
{
  for (std::size_t n = 0; n < kTable.size(); ++n) {
    if (kTable[n].mRequired && !mSeen.contains(n)) {
      AddFault("missing setting " + std::string(kTable[n].mSection) + "." +
               std::string(kTable[n].mKey));
    }
  }
  if (!mFaults.empty()) {
    return Fail(ErrorCode::InvalidInput, mFaults);
  }
  return mSettings;
}

} // namespace

std::span<const SettingInfo>
EntrySettingTable() noexcept
{
  return kTable;
}

std::string
RenderEntrySettingsPage()
{
  return "# Settings of an entry daemon\n\n"
         "`bilberryd --entry` reads one INI file, in the form of SETTINGS.md. "
         "Without `--settings` its path\nis in the environment variable "
         "`BILBERRYTRAIL_CONFIG`. `--check` validates a file. SIGHUP reads the "
         "file\n"
         "again and applies the log level; the other settings apply at the "
         "next start.\nGenerated by `bilberryd --entry --print-defaults`; a "
         "test compares the two.\n\n" +
         RenderSettingTables(kTable);
}

Result<EntrySettings>
ParseEntrySettings(std::string_view aText,
                   std::string_view aName,
                   InvalidOptional aInvalidOptional)
{
  const auto entries = ParseIni(aText, aName);
  if (!entries) {
    return entries.error();
  }
  Reader reader(aName, aInvalidOptional);
  for (const auto& it : entries.value()) {
    reader.Read(it);
  }
  return reader.Finish();
}

Result<EntrySettings>
LoadEntrySettings(const std::string& aPath, InvalidOptional aInvalidOptional)
{
  std::ifstream file(aPath);
  if (!file) {
    return Fail(ErrorCode::NotFound, "cannot open settings file " + aPath);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseEntrySettings(text.str(), aPath, aInvalidOptional);
}

} // namespace bilberrytrail
