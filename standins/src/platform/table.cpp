#include "platform/table.h"

namespace bilberrytrail::standins {

std::optional<TableRow>
Table::Read(const std::string& aKey) const
{
  const auto it = mRows.find(aKey);
  return it == mRows.end() ? std::nullopt : std::optional(it->second);
}

std::vector<TableRow>
Table::Scan(const std::string& aPrefix, std::size_t aLimit) const
{
  std::vector<TableRow> rows;
  for (auto it = mRows.lower_bound(aPrefix);
       it != mRows.end() && it->first.starts_with(aPrefix) &&
       rows.size() < aLimit;
       ++it) {
    rows.push_back(it->second);
  }
  return rows;
}

CommitOutcome
Table::Commit(const std::vector<TableWrite>& aWrites)
{
  CommitOutcome outcome;
  for (const auto& write : aWrites) {
    const auto row = ReadOrAbsent(write.mKey);
    if (row.mVersion != write.mExpectedVersion) {
      outcome.mCurrent.push_back(row);
    }
  }
  outcome.mCommitted = outcome.mCurrent.empty();
  if (!outcome.mCommitted) {
    return outcome;
  }
  for (const auto& write : aWrites) {
    Apply(write);
  }
  return outcome;
}

void
Table::Apply(const TableWrite& aWrite)
{
  const std::string& key = aWrite.mKey;
  if (aWrite.mErase) {
    if (mRows.erase(key) > 0) {
      mErased[key] = aWrite.mExpectedVersion;
    }
    return;
  }
  const auto erased = mErased.extract(key);
  const auto last = erased.empty() ? aWrite.mExpectedVersion : erased.mapped();
  mRows[key] = TableRow{ key, aWrite.mValue, last + 1 };
}

TableRow
Table::ReadOrAbsent(const std::string& aKey) const
{
  return Read(aKey).value_or(TableRow{ aKey, {}, 0 });
}

} // namespace bilberrytrail::standins
