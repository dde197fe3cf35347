#include <bilberrytrail/entry/site_replica.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace bilberrytrail {

SiteImage::Table&
SiteImage::Of(SiteTable aTable) noexcept
{
  return mTables[static_cast<std::size_t>(aTable)];
}

const SiteImage::Table&
SiteImage::Of(SiteTable aTable) const noexcept
{
  return mTables[static_cast<std::size_t>(aTable)];
}

std::uint64_t
SiteImage::Version(SiteTable aTable) const noexcept
{
  return Of(aTable).mVersion;
}

std::vector<SiteRow>
SiteImage::Rows(SiteTable aTable) const
{
  std::vector<SiteRow> rows;
  for (const auto& [key, row] : Of(aTable).mRows) {
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
SiteImage::Export(SiteTable aTable) const
{
  SiteRows rows;
  rows.mVersion = Of(aTable).mVersion;
  for (const auto& [key, row] : Of(aTable).mRows) {
    rows.mRows.push_back(row);
  }
  return rows;
}

std::optional<SiteRows>
SiteImage::ChangesSince(SiteTable aTable, std::uint64_t aVersion) const
{
  const auto& table = Of(aTable);
  if (aVersion < table.mRemovalsSince || aVersion == 0) {
    return std::nullopt;
  }
  SiteRows rows{ {}, table.mVersion };
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
SiteImage::NextExpiry() const noexcept
{
  if (mLapsed.empty() || !mInReach || !mReachedAt) {
    return std::nullopt;
  }
  return *mReachedAt + kReturnTime;
}

bool
SiteImage::IsDoubtful(Instant aNow) const noexcept
{
  return !mInReach || !mReachedAt || aNow < *mReachedAt + kReturnTime;
}

// A removal seen while, or just after, the table service was out of reach may
// only show that the server could not write.
bool
SiteImage::Remove(SiteTable aTable,
                  const std::string& aKey,
                  std::uint64_t aVersion,
                  Instant aNow)
{
  auto& table = Of(aTable);
  auto& rows = table.mRows;
  const auto it = rows.find(aKey);
  if (it == rows.end()) {
    return false;
  }
  const bool lapses = aTable == SiteTable::Servers && IsDoubtful(aNow);
  if (lapses) {
    mLapsed[aKey] = it->second;
  }
  rows.erase(it);
  table.mRemovals.emplace_back(aKey, aVersion);
  if (table.mRemovals.size() > kMostRemovals) {
    table.mRemovalsSince =
      std::max(table.mRemovalsSince, table.mRemovals.front().second);
    table.mRemovals.pop_front();
  }
  return !lapses;
}

bool
SiteImage::Replace(SiteTable aTable, const SiteRows& aRows, Instant aNow)
{
  auto& table = Of(aTable);
  if (aRows.mVersion < table.mVersion) {
    return false;
  }
  SiteRows changes{ {}, aRows.mVersion };
  std::set<std::string_view> there;
  for (const auto& it : aRows.mRows) {
    if (!it.mRemoved) {
      there.insert(it.mKey);
    }
  }
  for (const auto& it : table.mRows) {
    if (!there.contains(it.first)) {
      changes.mRows.push_back({ it.first, {}, aRows.mVersion, true });
    }
  }
  changes.mRows.insert(
    changes.mRows.end(), aRows.mRows.begin(), aRows.mRows.end());
  return Merge(aTable, changes, aNow);
}

bool
SiteImage::Merge(SiteTable aTable, const SiteRows& aChanges, Instant aNow)
{
  auto& table = Of(aTable);
  bool changed = false;
  for (const auto& row : aChanges.mRows) {
    const auto it = table.mRows.find(row.mKey);
    if (it != table.mRows.end() && it->second.mVersion >= row.mVersion) {
      continue;
    }
    if (row.mRemoved) {
      changed = Remove(aTable, row.mKey, row.mVersion, aNow) || changed;
      continue;
    }
    table.mRows[row.mKey] = row;
    mLapsed.erase(row.mKey);
    changed = true;
  }
  table.mVersion = std::max(table.mVersion, aChanges.mVersion);
  return changed;
}

void
SiteImage::OnContact(Instant aNow) noexcept
{
  if (!mInReach) {
    mInReach = true;
    mReachedAt = aNow;
  }
}

bool
SiteImage::Expire(Instant aNow)
{
  if (mLapsed.empty() || IsDoubtful(aNow)) {
    return false;
  }
  mLapsed.clear();
  return true;
}

} // namespace bilberrytrail
