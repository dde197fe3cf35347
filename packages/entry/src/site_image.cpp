#include <bilberrytrail/entry/site_image.h>

#include <algorithm>

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
SiteImage::Remove(SiteTable aTable, const std::string& aKey, Instant aNow)
{
  auto& rows = Of(aTable).mRows;
  const auto it = rows.find(aKey);
  if (it == rows.end()) {
    return false;
  }
  const bool lapses = aTable == SiteTable::Servers && IsDoubtful(aNow);
  if (lapses) {
    mLapsed[aKey] = it->second;
  }
  rows.erase(it);
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
  for (const auto& it : table.mRows) {
    const bool isThere =
      std::ranges::any_of(aRows.mRows, [&](const SiteRow& aRow) {
        return aRow.mKey == it.first && !aRow.mRemoved;
      });
    if (!isThere) {
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
      changed = Remove(aTable, row.mKey, aNow) || changed;
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
