#pragma once

#include <bilberrytrail/entry/route_table.h>
#include <bilberrytrail/entry/site_replica.h>
#include <bilberrytrail/entry/weight_history.h>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace bilberrytrail {

// Immutable snapshot of the site as this daemon sees it.
struct SiteView
{
  // Null before the first configuration was read.
  std::shared_ptr<const SiteConfig> mConfig;
  std::shared_ptr<const RouteTable> mRoutes;
  std::shared_ptr<const AccountKeys> mAccounts;
  // Whether the row of the configuration can't be read, so that another one may
  // have been confirmed since.
  bool mIsConfigUnreadable = false;
  std::vector<ServerRecord> mServers;
  // Whether the servers' rows have been read; an empty list says nothing
  // before.
  bool mHasReadServers = false;
  WeightHistory mWeights;
  // Availability zones whose servers get nothing new.
  std::set<ZoneId> mEvacuated;
  // Highest era of the followed tables.
  std::uint64_t mTableEra = 0;
  // The newest row of each table that the view has.
  TableVersions mNewestRows;

  // Returns null when the configuration has no such service.
  [[nodiscard]] const BackendService* FindService(
    const ServiceId& aName) const noexcept;
};

// Builds views from the replica of the tables. Unreadable rows are skipped, and
// the last readable configuration stays in force. Each unreadable version of a
// row is logged once.
//
// A restored table shows servers as they were some time ago. What was known of
// a server stays until its row changes again: a server that was leaving, or
// whose row was removed, does not come back with its earlier row, and none goes
// back to an earlier start.
class SiteAssembler
{
public:
  explicit SiteAssembler(const SiteReader& aReader)
    : mReader(aReader)
  {
  }

  // Returns the view of the rows in force. Weights that were not in the rows
  // before count as announced at aAbsentAt, the last time at which they were
  // certainly not announced yet.
  [[nodiscard]] std::shared_ptr<const SiteView> Assemble(
    const SiteReplica& aReplica,
    Instant aAbsentAt);

private:
  // Removed servers that are kept; many times those of the span that a copy of
  // the table may lack.
  static constexpr std::size_t kMaxRemoved = 1024;

  void ReadOperatorRow(const SiteRow& aRow, Instant aAbsentAt);
  // A server's record, and the version of the row that it was read from.
  struct KnownServer
  {
    TableVersion mVersion;
    ServerRecord mRecord;
  };

  void ReadServerRow(const SiteRow& aRow, SiteView& aView);
  [[nodiscard]] ServerRecord ParseServer(const SiteRow& aRow);
  // Moves servers that have no row any more to mRemoved.
  void NoteRemovals(const std::vector<SiteRow>& aRows);
  void ApplyConfig(SiteConfig aConfig);
  void ReportUnreadable(SiteTable aTable,
                        const SiteRow& aRow,
                        const Error& aError);

  const SiteReader& mReader;
  // The part of the view that comes from the operator's rows.
  SiteView mOperator;
  TableVersion mOperatorVersion;
  bool mHasReadOperator = false;
  // Key of the row that holds the configuration, once it was read.
  std::string mConfigKey;
  // By key.
  std::map<std::string, KnownServer> mServers;
  // Servers whose rows were removed, as leaving ones, in the order of removal.
  std::deque<KnownServer> mRemoved;
  // Row version of each key that was last logged as unreadable.
  std::map<std::string, TableVersion> mReported;
};

} // namespace bilberrytrail
