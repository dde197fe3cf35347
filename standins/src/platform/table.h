#pragma once

#include <bilberrytrail/platform/table_service.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail::standins {

// Rows with versions and transactions over them, in memory.
class Table
{
public:
  [[nodiscard]] std::optional<TableRow> Read(const std::string& aKey) const;
  [[nodiscard]] std::vector<TableRow> Scan(const std::string& aPrefix,
                                           std::size_t aLimit) const;

  // Applies all writes, or none when a version differs.
  [[nodiscard]] CommitOutcome Commit(const std::vector<TableWrite>& aWrites);

private:
  [[nodiscard]] TableRow ReadOrAbsent(const std::string& aKey) const;

  std::map<std::string, TableRow> mRows;
};

} // namespace bilberrytrail::standins
