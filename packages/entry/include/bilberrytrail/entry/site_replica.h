#pragma once

#include <bilberrytrail/entry/site_feed.h>

#include <array>
#include <deque>
#include <map>
#include <optional>

namespace bilberrytrail {

// This daemon's copy of the followed tables. It never goes back to an older
// version. While the table service is out of reach, rows of servers may lapse
// though the servers live: such a row stays in force until the service has
// been in reach again for kRecoveryTime.
//
//   if (image.Merge(SiteTable::Servers, changes, now)) { publish a new view }
class SiteReplica
{
public:
  // Time that a living server needs to write its row again once the table
  // service is back; a row missing after it belongs to a server that is gone.
  static constexpr Duration kRecoveryTime = 1900ms;

  // Returns the version of a table's copy; 0 before the first read.
  [[nodiscard]] std::uint64_t Version(SiteTable aTable) const noexcept;
  // Returns the rows in force, those of lapsed servers included.
  [[nodiscard]] std::vector<SiteRow> Rows(SiteTable aTable) const;
  // Returns the whole copy of a table for another daemon, without lapsed rows.
  [[nodiscard]] SiteRows Export(SiteTable aTable) const;
  // Returns what changed behind a version, lapsed rows as removed; nothing when
  // the removals since are not all kept.
  [[nodiscard]] std::optional<SiteRows> ChangesSince(
    SiteTable aTable,
    std::uint64_t aVersion) const;
  // Returns when Expire is due next, if ever.
  [[nodiscard]] std::optional<Instant> NextExpiry() const noexcept;

  // Takes in all rows of a table. Returns true when the rows in force changed.
  bool Replace(SiteTable aTable, const SiteRows& aRows, Instant aNow);
  // Takes in changes. Returns true when the rows in force changed.
  bool Merge(SiteTable aTable, const SiteRows& aChanges, Instant aNow);
  // Notes that the table service answered, or a daemon that it answers.
  void OnContact(Instant aNow) noexcept;
  // Notes that the table service did not answer.
  void OnOutage() noexcept { mIsReachable = false; }
  // Drops lapsed rows whose time is over. Returns true when there were any.
  bool Expire(Instant aNow);

private:
  struct Table
  {
    std::map<std::string, SiteRow> mRows;
    std::uint64_t mVersion = 0;
    // The newest removals, oldest first: key and version.
    std::deque<std::pair<std::string, std::uint64_t>> mRemovals;
    // All removals behind this version are kept.
    std::uint64_t mRemovalsSince = 0;
  };

  // Removals kept for other daemons; many times those of a few seconds.
  static constexpr std::size_t kMaxRemovals = 1024;

  [[nodiscard]] bool IsRemovalUncertain(Instant aNow) const noexcept;
  bool Remove(SiteTable aTable,
              const std::string& aKey,
              std::uint64_t aVersion,
              Instant aNow);
  [[nodiscard]] Table& TableOf(SiteTable aTable) noexcept;
  [[nodiscard]] const Table& TableOf(SiteTable aTable) const noexcept;

  std::array<Table, EnumCount<SiteTable>()> mTables;
  // Rows of servers that lapsed during an outage.
  std::map<std::string, SiteRow> mLapsed;
  bool mIsReachable = false;
  // When the table service came into reach again.
  std::optional<Instant> mReachableSince;
};

} // namespace bilberrytrail
