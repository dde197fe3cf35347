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
    const auto version = write.mExpectedVersion + 1;
    mRows[write.mKey] = TableRow{ write.mKey, write.mValue, version };
  }
  return outcome;
}

TableRow
Table::ReadOrAbsent(const std::string& aKey) const
{
  return Read(aKey).value_or(TableRow{ aKey, {}, 0 });
}

} // namespace bilberrytrail::standins
