#include <bilberrytrail/entry/site_replica.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace bilberrytrail {

SiteReplica::Table&
SiteReplica::TableOf(SiteTable aTable) noexcept
{
  return mTables[static_cast<std::size_t>(aTable)];
}

const SiteReplica::Table&
SiteReplica::TableOf(SiteTable aTable) const noexcept
{
  return mTables[static_cast<std::size_t>(aTable)];
}

TableVersion
SiteReplica::Version(SiteTable aTable) const noexcept
{
  return TableOf(aTable).mVersion;
}

TableVersion
SiteReplica::Changed(SiteTable aTable) const noexcept
{
  return TableOf(aTable).mChanged;
}

TableVersion
SiteReplica::NewestRow(SiteTable aTable) const noexcept
{
  return TableOf(aTable).mNewestRow;
}

void
SiteReplica::NoteNewestRow(SiteTable aTable, const std::vector<SiteRow>& aRows)
{
  auto& newest = TableOf(aTable).mNewestRow;
  for (const auto& it : aRows) {
    newest = std::max(newest, it.mVersion);
  }
}

std::optional<std::uint64_t>
SiteReplica::TableMs(SiteTable aTable) const noexcept
{
  return TableOf(aTable).mTableMs;
}

std::vector<SiteRow>
SiteReplica::Rows(SiteTable aTable) const
{
  std::vector<SiteRow> rows;
  for (const auto& [key, row] : TableOf(aTable).mRows) {
    rows.push_back(row);
  }
  if (aTable == SiteTable::Servers) {
    for (const auto& [key, row] : mLapsed) {
      rows.push_back(row);
    }
  }
  return rows;
}

SiteRows
SiteReplica::Export(SiteTable aTable) const
{
  SiteRows rows;
  rows.mVersion = TableOf(aTable).mVersion;
  rows.mTableMs = TableOf(aTable).mTableMs;
  for (const auto& [key, row] : TableOf(aTable).mRows) {
    rows.mRows.push_back(row);
  }
  return rows;
}

std::optional<SiteRows>
SiteReplica::ChangesSince(SiteTable aTable, TableVersion aVersion) const
{
  const auto& table = TableOf(aTable);
  if (aVersion < table.mRemovalsSince || !aVersion.IsKnown() ||
      aVersion.Era() != table.mVersion.Era()) {
    return std::nullopt;
  }
  SiteRows rows{ {}, table.mVersion, table.mTableMs };
  for (const auto& [key, row] : table.mRows) {
    if (row.mVersion > aVersion) {
      rows.mRows.push_back(row);
    }
  }
  for (const auto& [key, version] : table.mRemovals) {
    if (version > aVersion && !table.mRows.contains(key)) {
      rows.mRows.push_back({ key, {}, version, true });
    }
  }
  return rows;
}

std::optional<Instant>
SiteReplica::NextExpiry() const noexcept
{
  if (mLapsed.empty() || !mIsReachable || !mReachableSince) {
    return std::nullopt;
  }
  return *mReachableSince + kRecoveryTime;
}

bool
SiteReplica::IsRemovalUncertain(Instant aNow) const noexcept
{
  return !mIsReachable || !mReachableSince ||
         aNow < *mReachableSince + kRecoveryTime;
}

// A removal seen during or shortly after an outage of the table service may
// only mean that the server could not renew its row.
bool
SiteReplica::Remove(SiteTable aTable,
                    const std::string& aKey,
                    TableVersion aVersion,
                    Instant aNow)
{
  auto& table = TableOf(aTable);
  auto& rows = table.mRows;
  const auto it = rows.find(aKey);
  if (it == rows.end()) {
    return false;
  }
  const bool lapses = aTable == SiteTable::Servers && IsRemovalUncertain(aNow);
  if (lapses) {
    mLapsed[aKey] = it->second;
  }
  rows.erase(it);
  table.mRemovals.emplace_back(aKey, aVersion);
  if (table.mRemovals.size() > kMaxRemovals) {
    table.mRemovalsSince =
      std::max(table.mRemovalsSince, table.mRemovals.front().second);
    table.mRemovals.pop_front();
  }
  return !lapses;
}

bool
SiteReplica::Replace(SiteTable aTable, const SiteRows& aRows, Instant aNow)
{
  auto& table = TableOf(aTable);
  if (aRows.mVersion < table.mVersion) {
    return false;
  }
  NoteNewestRow(aTable, aRows.mRows);
  // Removals before the first read, or of an earlier era, are not known.
  const bool isNewEra = aRows.mVersion.Era() > table.mVersion.Era();
  if (!table.mVersion.IsKnown() || isNewEra) {
    table.mRemovals.clear();
    table.mRemovalsSince = aRows.mVersion;
  }
  if (table.mVersion.IsKnown() && isNewEra && aTable == SiteTable::Servers) {
    mReachableSince = aNow;
  }
  SiteRows changes{ {}, aRows.mVersion, aRows.mTableMs };
  std::set<std::string_view> present;
  for (const auto& it : aRows.mRows) {
    if (!it.mRemoved) {
      present.insert(it.mKey);
    }
  }
  for (const auto& it : table.mRows) {
    if (!present.contains(it.first)) {
      changes.mRows.push_back({ it.first, {}, aRows.mVersion, true });
    }
  }
  changes.mRows.insert(
    changes.mRows.end(), aRows.mRows.begin(), aRows.mRows.end());
  return Apply(aTable, changes, aNow);
}

bool
SiteReplica::Merge(SiteTable aTable, const SiteRows& aChanges, Instant aNow)
{
  const auto version = Version(aTable);
  const bool isOtherEra =
    version.IsKnown() && aChanges.mVersion.Era() != version.Era();
  if (isOtherEra) {
    return false;
  }
  NoteNewestRow(aTable, aChanges.mRows);
  return Apply(aTable, aChanges, aNow);
}

bool
SiteReplica::Apply(SiteTable aTable, const SiteRows& aChanges, Instant aNow)
{
  auto& table = TableOf(aTable);
  bool changed = !table.mVersion.IsKnown() && aChanges.mVersion.IsKnown();
  for (const auto& row : aChanges.mRows) {
    const auto it = table.mRows.find(row.mKey);
    if (it != table.mRows.end() && it->second.mVersion >= row.mVersion) {
      continue;
    }
    table.mChanged = std::max(table.mChanged, aChanges.mVersion);
    if (row.mRemoved) {
      changed = Remove(aTable, row.mKey, row.mVersion, aNow) || changed;
      continue;
    }
    table.mRows[row.mKey] = row;
    mLapsed.erase(row.mKey);
    changed = true;
  }
  if (aChanges.mVersion > table.mVersion) {
    table.mVersion = aChanges.mVersion;
    table.mTableMs = aChanges.mTableMs;
  }
  return changed;
}

void
SiteReplica::OnContact(Instant aNow) noexcept
{
  if (!mIsReachable) {
    mIsReachable = true;
    mReachableSince = aNow;
  }
}

bool
SiteReplica::Expire(Instant aNow)
{
  if (mLapsed.empty() || IsRemovalUncertain(aNow)) {
    return false;
  }
  mLapsed.clear();
  return true;
}

} // namespace bilberrytrail
