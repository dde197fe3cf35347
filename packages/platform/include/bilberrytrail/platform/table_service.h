#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// One row of the table service. Versions start at 1 and increase with each
// write.
struct TableRow
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mVersion = 0;
};

// One write of a transaction: takes effect only when the row has the expected
// version, where 0 means that the row must not exist.
struct TableWrite
{
  std::string mKey;
  std::string mValue;
  std::uint64_t mExpectedVersion = 0;
  // Erases the row instead. A row that is created again later gets a version
  // greater than every version it had before.
  bool mErase = false;
};

// Outcome of a transaction. When not committed, mCurrent holds the rows
// whose versions differed from the expected ones (version 0 when absent).
struct CommitOutcome
{
  bool mCommitted = false;
  std::vector<TableRow> mCurrent;
  // Version of all written rows when the table service numbers its
  // transactions. 0 when it does not: the version of each row is then its
  // expected version plus one.
  std::uint64_t mNewVersion = 0;
};

// The platform's transactional table service. When Commit fails with Unknown,
// the writes may have been applied: read the rows back to find out.
class TableService
{
public:
  virtual ~TableService() = default;

  // Returns the highest era that the table service has named in an answer: it
  // rises when the service comes back from an older copy. 0 for none.
  [[nodiscard]] virtual std::uint64_t Era() const noexcept { return 0; }
  // Reads one row; std::nullopt when it does not exist.
  [[nodiscard]] virtual CallResult<std::optional<TableRow>> Read(
    const std::string& aKey,
    Duration aTimeout) = 0;
  // Reads at most aLimit rows whose keys begin with the prefix, in key order.
  [[nodiscard]] virtual CallResult<std::vector<TableRow>>
  Scan(const std::string& aPrefix, std::size_t aLimit, Duration aTimeout) = 0;
  // Applies all writes, or none of them when a version differs.
  [[nodiscard]] virtual CallResult<CommitOutcome> Commit(
    const std::vector<TableWrite>& aWrites,
    Duration aTimeout) = 0;
};

} // namespace bilberrytrail
