#pragma once

#include "simulated_network.h"
#include "simulated_vm.h"

#include <bilberrytrail/entry/cache_events.h>
#include <bilberrytrail/entry/site_feed.h>
#include <bilberrytrail/platform/table_service.h>

#include <map>
#include <string>
#include <vector>

namespace bilberrytrail::relays {

// The platform's tables and the stores of a simulated site, which all its
// daemons call.
class SimulatedSite
{
public:
  SimulatedSite(Loop& aLoop, std::size_t aStores);

  // Puts a configuration whose row has so many bytes.
  void PutConfig(std::uint64_t aVersion, std::size_t aBytes);
  void PutServer(const std::string& aName);
  void PutDaemon(const std::string& aKey, const std::string& aText);
  // Sets how many events all stores together have each second from now on.
  void SetEventRate(double aPerSecond);

  [[nodiscard]] TableVersion Version(SiteTable aTable) const noexcept;
  // Returns the rows of a table that changed after a version.
  [[nodiscard]] SiteRows RowsAfter(SiteTable aTable,
                                   TableVersion aVersion) const;
  [[nodiscard]] const std::vector<TableRow>& Daemons() const noexcept
  {
    return mDaemons;
  }
  [[nodiscard]] const std::vector<CacheStore>& Stores() const noexcept
  {
    return mStores;
  }
  // Returns the events of a store from a number on.
  [[nodiscard]] CacheEvents EventsFrom(const Endpoint& aStore,
                                       std::uint64_t aSince) const;
  // Calls for events that are in progress at each store.
  std::map<std::uint16_t, std::size_t> mEventCalls;

private:
  [[nodiscard]] std::uint64_t EventsOfStore() const;

  Loop& mLoop;
  std::uint64_t mLastVersion = 0;
  std::map<std::pair<SiteTable, std::string>, SiteRow> mRows;
  std::map<SiteTable, TableVersion> mVersions;
  std::vector<TableRow> mDaemons;
  std::vector<CacheStore> mStores;
  double mEventRate = 0;
  Instant mEventsSince;
};

// Reads the tables of a simulated site from a VM.
class SimulatedFeed final : public SiteFeed
{
public:
  SimulatedFeed(Loop& aLoop, SimulatedSite& aSite, SimulatedVm& aVm)
    : mLoop(aLoop)
    , mSite(aSite)
    , mVm(aVm)
  {
  }

  [[nodiscard]] CallResult<SiteRows> ReadAll(
    SiteTable aTable,
    const AnswerLimits& aLimits) override;
  [[nodiscard]] CallResult<SiteRows> ReadChanges(
    SiteTable aTable,
    TableVersion aAfter,
    Duration aWait,
    const AnswerLimits& aLimits) override;
  void Reconnect() override { mConnections.Forget(); }
  // Silences the connections that are open now.
  void Silence() noexcept { mConnections.Silence(); }

  // The table service does not answer this VM.
  bool mIsTurnedAway = false;

private:
  // Returns rows once they have been received and read.
  [[nodiscard]] CallResult<SiteRows> Receive(SiteRows aRows, Instant aEnd);

  Loop& mLoop;
  SimulatedSite& mSite;
  SimulatedVm& mVm;
  KeptConnections mConnections;
};

// Reads the events of the stores of a simulated site from a VM.
class SimulatedEvents final : public CacheEventPort
{
public:
  SimulatedEvents(Loop& aLoop, SimulatedSite& aSite, SimulatedVm& aVm)
    : mLoop(aLoop)
    , mSite(aSite)
    , mVm(aVm)
  {
  }

  [[nodiscard]] CallResult<CacheEvents> ReadEvents(const Endpoint& aStore,
                                                   std::uint64_t aSince,
                                                   Duration aWait,
                                                   Duration aTimeout) override;
  // Returns whether a store was called within a time.
  [[nodiscard]] bool HasCalledWithin(Duration aTime) const
  {
    return mCalledAt + aTime >= MonotonicNow();
  }

private:
  Loop& mLoop;
  SimulatedSite& mSite;
  SimulatedVm& mVm;
  Instant mCalledAt;
};

// The table with the rows of the daemons.
class SimulatedTable final : public TableService
{
public:
  explicit SimulatedTable(SimulatedSite& aSite)
    : mSite(aSite)
  {
  }

  [[nodiscard]] CallResult<std::optional<TableRow>> Read(
    const std::string& aKey,
    Duration aTimeout) override;
  [[nodiscard]] CallResult<std::vector<TableRow>> Scan(
    const std::string& aPrefix,
    std::size_t aLimit,
    Duration aTimeout) override;
  [[nodiscard]] CallResult<CommitOutcome> Commit(
    const std::vector<TableWrite>& aWrites,
    Duration aTimeout) override;

private:
  SimulatedSite& mSite;
};

// Reads the rows that PutConfig writes.
class SimulatedReader final : public SiteReader
{
public:
  explicit SimulatedReader(const SimulatedSite& aSite)
    : mSite(aSite)
  {
  }

  [[nodiscard]] ParsedSiteRow Read(SiteTable aTable,
                                   const SiteRow& aRow) const override;

private:
  const SimulatedSite& mSite;
};

} // namespace bilberrytrail::relays
