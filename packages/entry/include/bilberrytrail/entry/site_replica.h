#pragma once

#include <bilberrytrail/entry/site_feed.h>

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace bilberrytrail {

// This daemon's replica of the followed tables. It never goes back to an older
// version; all versions of a later era of the table service are newer. During
// an outage of the table service, rows of servers may lapse although the
// servers are alive, and a new era lacks the newest rows: such a row stays in
// force until the service has been reachable again for kRecoveryTime.
//
//   if (replica.Merge(SiteTable::Servers, changes, now)) { publish a new view }
class SiteReplica
{
public:
  // Time within which a live server writes its row again after an outage of the
  // table service; a row that is missing later belongs to a server that is
  // gone.
  static constexpr Duration kRecoveryTime = 1900ms;

  // Returns the version of a table's replica; 0 before the first read.
  [[nodiscard]] TableVersion Version(SiteTable aTable) const noexcept;
  // Returns the version of the last change of a table's rows: a replica of this
  // version or a later one has them all.
  [[nodiscard]] TableVersion Changed(SiteTable aTable) const noexcept;
  // Returns the version of the newest row or removal that was read as such: a
  // replica of a lower version lacks it.
  [[nodiscard]] TableVersion NewestRow(SiteTable aTable) const noexcept;
  // Returns when the table service was first read with this version of the
  // table, by its own clock in milliseconds; nothing when it is not known.
  [[nodiscard]] std::optional<std::uint64_t> TableMs(
    SiteTable aTable) const noexcept;
  // Returns the rows in force, including lapsed rows of servers.
  [[nodiscard]] std::vector<SiteRow> Rows(SiteTable aTable) const;
  // Returns a whole table for another daemon, without lapsed rows.
  [[nodiscard]] SiteRows Export(SiteTable aTable) const;
  // Returns the changes after a version, lapsed rows as removed; nothing when
  // some removals since then are not known, as those of another era.
  [[nodiscard]] std::optional<SiteRows> ChangesSince(
    SiteTable aTable,
    TableVersion aVersion) const;
  // Returns when Expire should be called next; nothing if no row is to expire.
  [[nodiscard]] std::optional<Instant> NextExpiry() const noexcept;

  // Replaces a table by a full read, unless that is older. Returns true when
  // the rows in force changed, or the table was read for the first time.
  bool Replace(SiteTable aTable, const SiteRows& aRows, Instant aNow);
  // Applies changes of the era of the replica; those of another era are
  // ignored. Returns true in the same cases as Replace.
  bool Merge(SiteTable aTable, const SiteRows& aChanges, Instant aNow);
  // Records that the table service answered this daemon or one that it asked.
  void OnContact(Instant aNow) noexcept;
  // Records that the table service did not answer.
  void OnOutage() noexcept { mIsReachable = false; }
  // Drops lapsed rows once kRecoveryTime is over. Returns true when there were
  // any.
  bool Expire(Instant aNow);

private:
  struct Table
  {
    std::map<std::string, SiteRow> mRows;
    TableVersion mVersion;
    TableVersion mChanged;
    TableVersion mNewestRow;
    // When the table service was first read with this version, by its clock.
    std::optional<std::uint64_t> mTableMs;
    // The newest removals, oldest first: key and version.
    std::deque<std::pair<std::string, TableVersion>> mRemovals;
    // All removals after this version are in mRemovals.
    TableVersion mRemovalsSince;
  };

  // Removals kept for other daemons; many times those of a few seconds.
  static constexpr std::size_t kMaxRemovals = 1024;

  [[nodiscard]] bool IsRemovalUncertain(Instant aNow) const noexcept;
  bool Remove(SiteTable aTable,
              const std::string& aKey,
              TableVersion aVersion,
              Instant aNow);
  // Takes note of rows that were read, whether or not they change anything.
  void NoteNewestRow(SiteTable aTable, const std::vector<SiteRow>& aRows);
  // Applies changes whatever their era.
  bool Apply(SiteTable aTable, const SiteRows& aChanges, Instant aNow);
  [[nodiscard]] Table& TableOf(SiteTable aTable) noexcept;
  [[nodiscard]] const Table& TableOf(SiteTable aTable) const noexcept;

  std::array<Table, EnumCount<SiteTable>()> mTables;
  // Rows of servers that lapsed during an outage.
  std::map<std::string, SiteRow> mLapsed;
  bool mIsReachable = false;
  // When the table service became reachable again, or began a new era.
  std::optional<Instant> mReachableSince;
};

} // namespace bilberrytrail
