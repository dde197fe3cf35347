#include <bilberrytrail/settings/daemon_settings.h>

#include <bilberrytrail/settings/ini_document.h>

#include "daemon_setting_rows.h"
#include "site_key.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace bilberrytrail {

namespace {

constexpr std::string_view kAnyAddress = "0.0.0.0";

// Visitor that stores a value in a member of a matching type. Returns false
// when the types do not match or the text is not the name of a log level.
struct StoreVisitor
{
  DaemonSettings& mSettings;

  template<class T>
  bool operator()(T DaemonSettings::*aMember, const T& aValue) const
  {
    mSettings.*aMember = aValue;
    return true;
  }
  template<class Tag>
  bool operator()(Id<Tag> DaemonSettings::*aMember,
                  const std::string& aValue) const
  {
    mSettings.*aMember = Id<Tag>(aValue);
    return true;
  }
  bool operator()(LogLevel DaemonSettings::*aMember,
                  const std::string& aValue) const
  {
    const auto level = FromName<LogLevel>(aValue);
    mSettings.*aMember = level.value_or(LogLevel::Info);
    return level.has_value();
  }
  template<class M, class T>
  bool operator()(M /*aMember*/, const T& /*aValue*/) const
  {
    return false;
  }
};

// Builds DaemonSettings from the entries of one file and collects all faults
// with their line numbers.
class Reader
{
public:
  explicit Reader(std::string_view aName)
    : mName(aName)
    , mSettings(DefaultDaemonSettings())
  {
  }

  void Read(const IniEntry& aEntry);
  void CheckRequired();
  void CheckConflicts();
  [[nodiscard]] Result<DaemonSettings> Finish();

private:
  // Adds a fault unless aHolds is true: at the line of the first of aKeys that
  // the file sets, or at line 1 when it sets none of them.
  void Expect(bool aHolds,
              std::initializer_list<std::string_view> aKeys,
              std::string_view aExpected);
  void CheckListen();
  void CheckSiteKey();
  void ReadSeeds();
  void AddFault(int aLine, std::string_view aText);

  std::string mName;
  DaemonSettings mSettings;
  // Line number of each "section.key" that the file sets.
  std::map<std::string, int, std::less<>> mLines;
  std::string mFaults;
};

void
Reader::AddFault(int aLine, std::string_view aText)
{
  mFaults += mFaults.empty() ? "" : "\n";
  mFaults += mName + ":" + std::to_string(aLine) + ": ";
  mFaults += aText;
}

void
Reader::Read(const IniEntry& aEntry)
{
  const auto table = DaemonSettingTable();
  const auto row = std::ranges::find_if(table, [&](const SettingInfo& aInfo) {
    return aInfo.mSection == aEntry.mSection && aInfo.mKey == aEntry.mKey;
  });
  const auto label = "[" + aEntry.mSection + "] " + aEntry.mKey;
  if (row == table.end()) {
    AddFault(aEntry.mLine,
             label + " is unknown: expected a key of docs/SETTINGS.md");
    return;
  }
  const auto [known, added] =
    mLines.emplace(aEntry.mSection + "." + aEntry.mKey, aEntry.mLine);
  if (!added) {
    AddFault(aEntry.mLine,
             label + " is already set on line " +
               std::to_string(known->second) + ": expected it only once");
    return;
  }
  const auto value = ParseSetting(*row, aEntry.mValue);
  if (!value) {
    AddFault(aEntry.mLine, label + ": " + value.error().mMessage);
    return;
  }
  const auto n = static_cast<std::size_t>(row - table.begin());
  if (!StoreSetting(mSettings, DaemonSettingMembers()[n], value.value())) {
    AddFault(aEntry.mLine, label + ": expected " + DescribeExpected(*row));
  }
}

void
Reader::CheckRequired()
{
  for (const auto& info : DaemonSettingTable()) {
    const auto name = std::string(info.mSection) + "." + std::string(info.mKey);
    if (info.mRequired && !mLines.contains(name)) {
      AddFault(1,
               "[" + std::string(info.mSection) + "] " +
                 std::string(info.mKey) + " is missing: expected " +
                 DescribeExpected(info));
    }
  }
}

void
Reader::Expect(bool aHolds,
               std::initializer_list<std::string_view> aKeys,
               std::string_view aExpected)
{
  if (aHolds) {
    return;
  }
  for (const auto key : aKeys) {
    if (const auto it = mLines.find(key); it != mLines.end()) {
      AddFault(it->second, "expected " + std::string(aExpected));
      return;
    }
  }
  AddFault(1, "expected " + std::string(aExpected));
}

void
Reader::CheckListen()
{
  const auto& s = mSettings;
  const auto differ = [](const Endpoint& aLeft, const Endpoint& aRight) {
    return aLeft.mPort == 0 || aLeft.mPort != aRight.mPort ||
           (aLeft.mHost != aRight.mHost && aLeft.mHost != kAnyAddress &&
            aRight.mHost != kAnyAddress);
  };
  Expect(s.mPeers.mHost != kAnyAddress,
         { "listen.peers" },
         "[listen] peers to be an address that other daemons reach");
  Expect(differ(s.mOperators, s.mCallers),
         { "listen.operators" },
         "[listen] operators to differ from callers");
  Expect(differ(s.mPeers, s.mCallers),
         { "listen.peers" },
         "[listen] peers to differ from callers");
  Expect(differ(s.mPeers, s.mOperators),
         { "listen.peers" },
         "[listen] peers to differ from operators");
}

void
Reader::CheckSiteKey()
{
  const auto& s = mSettings;
  Expect(s.mSiteKey.empty() != s.mSiteKeyFile.empty(),
         { "daemon.site_key", "daemon.site_key_file" },
         "one of [daemon] site_key_file and site_key");
  Expect(s.mSiteKey.empty() || s.mSiteKey.size() >= kMinSiteKeyBytes,
         { "daemon.site_key" },
         "[daemon] site_key of at least 32 bytes");
}

void
Reader::ReadSeeds()
{
  std::istringstream words(mSettings.mSeedText);
  std::string word;
  while (words >> word) {
    auto seed = ParseEndpoint(word);
    Expect(seed.has_value(),
           { "membership.seeds" },
           "[membership] seeds of the form IP:PORT, separated by spaces");
    if (seed) {
      mSettings.mSeeds.push_back(std::move(seed).value());
    }
  }
}

void
Reader::CheckConflicts()
{
  const auto& s = mSettings;
  CheckSiteKey();
  ReadSeeds();
  CheckListen();
  Expect(s.mLeaseRenewal * 2 <= s.mLeaseLength,
         { "control.lease_renewal", "control.lease_length" },
         "[control] lease_renewal of at most half of lease_length");
  Expect(s.mListHeartbeat * 2 <= s.mListSilence,
         { "control.list_heartbeat", "control.list_silence" },
         "[control] list_heartbeat of at most half of list_silence");
  Expect(s.mHeadPoll * 2 <= s.mReleaseBound,
         { "control.head_poll", "control.release_bound" },
         "[control] head_poll of at most half of release_bound");
  Expect(s.mGossipPeriod * 2 <= s.mSuspicionTime,
         { "membership.gossip_period", "membership.suspicion_time" },
         "[membership] gossip_period of at most half of suspicion_time");
  Expect(s.mDefaultDeadline <= s.mMaxDeadline,
         { "requests.default_deadline", "requests.max_deadline" },
         "[requests] default_deadline of at most max_deadline");
  Expect(s.mMaxDeadline * 2 <= s.mKeepOutcomeTime,
         { "requests.keep_outcome_time", "requests.max_deadline" },
         "[requests] keep_outcome_time of at least twice max_deadline");
  Expect(s.mBodyBytes <= s.mMemoryBytes / 4,
         { "limits.body_bytes", "limits.memory_bytes" },
         "[limits] body_bytes of at most a quarter of memory_bytes");
}

Result<DaemonSettings>
Reader::Finish()
{
  if (!mFaults.empty()) {
    return Fail(ErrorCode::InvalidInput, mFaults);
  }
  if (mSettings.mGossipPort == 0) {
    mSettings.mGossipPort = mSettings.mPeers.mPort;
  }
  return std::move(mSettings);
}

} // namespace

Result<void>
StoreSetting(DaemonSettings& aSettings,
             const SettingMember& aMember,
             const SettingValue& aValue)
{
  if (!std::visit(StoreVisitor{ aSettings }, aMember, aValue)) {
    return Fail(ErrorCode::InvalidInput,
                "expected a value of the type of the setting");
  }
  return Ok();
}

DaemonSettings
DefaultDaemonSettings()
{
  DaemonSettings settings;
  const auto table = DaemonSettingTable();
  for (std::size_t n = 0; n < table.size(); ++n) {
    if (!table[n].mDefault.empty()) {
      StoreSetting(settings,
                   DaemonSettingMembers()[n],
                   ParseSetting(table[n], table[n].mDefault).value())
        .value();
    }
  }
  return settings;
}

Result<DaemonSettings>
ParseDaemonSettings(std::string_view aText, std::string_view aName)
{
  const auto entries = ParseIni(aText, aName);
  if (!entries) {
    return entries.error();
  }
  Reader reader(aName);
  for (const auto& entry : entries.value()) {
    reader.Read(entry);
  }
  reader.CheckRequired();
  reader.CheckConflicts();
  return reader.Finish();
}

} // namespace bilberrytrail
