#include "simulated_site.h"

#include <algorithm>

namespace bilberrytrail::relays {

namespace {

constexpr Duration kLatency = 500us;
// Work of one call to the platform or a store, and of what it returns.
constexpr Duration kCallWork = 150us;
constexpr double kRowByteWorkUs = 0.03;
constexpr double kEventWorkUs = 2;
// Time between two looks for changes during a wait.
constexpr Duration kLookPeriod = 10ms;
// Events that a store keeps, and calls for events that it serves at once.
constexpr std::uint64_t kKeptEvents = 3000;
constexpr std::size_t kMaxEventCalls = 12;
constexpr std::size_t kEventBytes = 60;

Duration
Micros(double aMicros)
{
  return Duration(static_cast<Duration::rep>(aMicros));
}

} // namespace

SimulatedSite::SimulatedSite(Loop& aLoop, std::size_t aStores)
  : mLoop(aLoop)
{
  for (std::size_t n = 0; n < aStores; ++n) {
    CacheStore store;
    store.mName = StoreId("store" + std::to_string(n));
    store.mEndpoint = { "10.9.0.1", static_cast<std::uint16_t>(n + 1) };
    mStores.push_back(store);
  }
}

void
SimulatedSite::PutConfig(std::uint64_t aVersion, std::size_t aBytes)
{
  auto value = std::to_string(aVersion) + " ";
  // Like JSON, the text repeats itself and is not the same all over.
  for (std::size_t n = 0; value.size() < aBytes; ++n) {
    value += "{\"name\":\"r-" + std::to_string(n * 7919) + "\"},";
  }
  const TableVersion version(++mLastVersion);
  mVersions[SiteTable::Operator] = version;
  mRows[{ SiteTable::Operator, "config" }] = { "config", value, version };
}

void
SimulatedSite::PutServer(const std::string& aName)
{
  const TableVersion version(++mLastVersion);
  mVersions[SiteTable::Servers] = version;
  mRows[{ SiteTable::Servers, aName }] = { aName, "{}", version };
}

void
SimulatedSite::PutDaemon(const std::string& aKey, const std::string& aText)
{
  mDaemons.push_back({ aKey, aText, 1 });
}

void
SimulatedSite::SetEventRate(double aPerSecond)
{
  mEventRate = aPerSecond;
  mEventsSince = MonotonicNow();
}

TableVersion
SimulatedSite::Version(SiteTable aTable) const noexcept
{
  const auto it = mVersions.find(aTable);
  return it == mVersions.end() ? TableVersion() : it->second;
}

SiteRows
SimulatedSite::RowsAfter(SiteTable aTable, TableVersion aVersion) const
{
  SiteRows rows{ {}, TableVersion(mLastVersion) };
  for (const auto& [key, row] : mRows) {
    if (key.first == aTable && row.mVersion > aVersion) {
      rows.mRows.push_back(row);
    }
  }
  return rows;
}

std::uint64_t
SimulatedSite::EventsOfStore() const
{
  constexpr double kMillisInSecond = 1000;
  const double seconds =
    ToMillis(MonotonicNow() - mEventsSince) / kMillisInSecond;
  return static_cast<std::uint64_t>(seconds * mEventRate /
                                    static_cast<double>(mStores.size()));
}

CacheEvents
SimulatedSite::EventsFrom(const Endpoint& aStore, std::uint64_t aSince) const
{
  const auto count = EventsOfStore();
  CacheEvents events;
  events.mEpoch = 1;
  events.mNext = count;
  const auto oldest = count > kKeptEvents ? count - kKeptEvents : 0;
  // A number that was never given out is not known either.
  events.mLost = aSince < oldest || aSince > count;
  const auto from = aSince > count ? 0 : aSince;
  for (auto n = std::max(from, oldest) + 1; n <= count; ++n) {
    events.mEvents.push_back({ true,
                               "account/3/key",
                               std::to_string(1'000'000U * aStore.mPort + n),
                               n });
  }
  return events;
}

CallResult<SiteRows>
SimulatedFeed::Receive(SiteRows aRows, Instant aEnd)
{
  std::size_t bytes = 0;
  for (const auto& it : aRows.mRows) {
    bytes += it.mValue.size() * 4 / 3;
  }
  mVm.Transfer(bytes);
  mVm.Compute(kCallWork + Micros(kRowByteWorkUs * static_cast<double>(bytes)));
  if (MonotonicNow() > aEnd) {
    return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "late");
  }
  return aRows;
}

CallResult<SiteRows>
SimulatedFeed::ReadAll(SiteTable aTable, const AnswerLimits& aLimits)
{
  return ReadChanges(aTable, {}, 0ms, aLimits);
}

CallResult<SiteRows>
SimulatedFeed::ReadChanges(SiteTable aTable,
                           TableVersion aAfter,
                           Duration aWait,
                           const AnswerLimits& aLimits)
{
  const auto start = MonotonicNow();
  const auto begin = start + aLimits.mBegin;
  const auto connection = mConnections.Take();
  const auto timeOut = [&] {
    (void)mLoop.Sleep(std::max(begin - MonotonicNow(), Duration(0)));
    mConnections.Forget();
    return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "silent");
  };
  mVm.Compute(kCallWork);
  (void)mLoop.Sleep(kLatency);
  if (mIsTurnedAway || mConnections.IsSilent(connection)) {
    return timeOut();
  }
  while (mSite.Version(aTable) <= aAfter && MonotonicNow() < start + aWait &&
         mLoop.Sleep(kLookPeriod)) {
  }
  auto rows = mSite.RowsAfter(aTable, aAfter);
  (void)mLoop.Sleep(kLatency);
  if (mConnections.IsSilent(connection)) {
    return timeOut();
  }
  mConnections.Keep(connection);
  if (MonotonicNow() > begin) {
    return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "late");
  }
  return Receive(std::move(rows), start + aLimits.mWhole);
}

CallResult<CacheEvents>
SimulatedEvents::ReadEvents(const Endpoint& aStore,
                            std::uint64_t aSince,
                            Duration aWait,
                            Duration aTimeout)
{
  const auto start = MonotonicNow();
  mCalledAt = start;
  mVm.Compute(kCallWork);
  (void)mLoop.Sleep(kLatency);
  auto& calls = mSite.mEventCalls[aStore.mPort];
  if (calls >= kMaxEventCalls) {
    return FailCall(
      CallDisposition::NotRun, ErrorCode::Exhausted, "status 429");
  }
  ++calls;
  auto events = mSite.EventsFrom(aStore, aSince);
  while (events.mEvents.empty() && MonotonicNow() < start + aWait &&
         mLoop.Sleep(kLookPeriod)) {
    events = mSite.EventsFrom(aStore, aSince);
  }
  --calls;
  (void)mLoop.Sleep(kLatency);
  mVm.Transfer(events.mEvents.size() * kEventBytes);
  mVm.Compute(kCallWork + Micros(kEventWorkUs *
                                 static_cast<double>(events.mEvents.size())));
  if (MonotonicNow() > start + aTimeout) {
    return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "late");
  }
  return events;
}

CallResult<std::optional<TableRow>>
SimulatedTable::Read(const std::string& aKey, Duration /*aTimeout*/)
{
  const auto it = std::ranges::find(mSite.Daemons(), aKey, &TableRow::mKey);
  return it == mSite.Daemons().end() ? std::optional<TableRow>()
                                     : std::optional(*it);
}

CallResult<std::vector<TableRow>>
SimulatedTable::Scan(const std::string& /*aPrefix*/,
                     std::size_t /*aLimit*/,
                     Duration /*aTimeout*/)
{
  return mSite.Daemons();
}

CallResult<CommitOutcome>
SimulatedTable::Commit(const std::vector<TableWrite>& /*aWrites*/,
                       Duration /*aTimeout*/)
{
  return CommitOutcome{ true, {}, 1 };
}

ParsedSiteRow
SimulatedReader::Read(SiteTable aTable, const SiteRow& aRow) const
{
  if (aTable == SiteTable::Servers) {
    return ServerRecord();
  }
  SiteConfig config;
  config.mVersion = std::stoull(aRow.mValue);
  config.mStores = mSite.Stores();
  return config;
}

} // namespace bilberrytrail::relays
