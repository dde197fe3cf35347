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
  void Apply(const TableWrite& aWrite);

  std::map<std::string, TableRow> mRows;
  // Last versions of erased rows, so that a row that is created again does
  // not get a version that it had before.
  std::map<std::string, std::uint64_t> mErased;
};

} // namespace bilberrytrail::standins
