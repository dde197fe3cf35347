#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/platform/table_service.h>

#include <map>
#include <string>
#include <vector>

namespace bilberrytrail {

// Fault of one call to the table.
enum class TableFault : unsigned char
{
  None,
  // The call does not run and the caller learns it.
  Down,
  // The call does not run and there is no reply.
  LostBefore,
  // The call runs and its reply is lost.
  LostAfter
};

template<>
struct EnumNames<TableFault>
{
  static constexpr std::array<std::string_view, 4> kNames{ "none",
                                                           "down",
                                                           "lost_before",
                                                           "lost_after" };
};

// An in-memory table; the caller chooses the fault of each call.
class FakeTable
{
public:
  CallResult<std::optional<TableRow>> Read(const std::string& aKey,
                                           TableFault aFault = TableFault::None)
  {
    if (aFault != TableFault::None) {
      return Failure(aFault);
    }
    const auto it = mRows.find(aKey);
    return it == mRows.end() ? std::optional<TableRow>() : it->second;
  }

  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& aWrites,
                                   TableFault aFault = TableFault::None)
  {
    if (aFault == TableFault::Down || aFault == TableFault::LostBefore) {
      return Failure(aFault);
    }
    CommitOutcome outcome = Apply(aWrites);
    if (aFault == TableFault::LostAfter) {
      return Failure(aFault);
    }
    return outcome;
  }

  std::map<std::string, TableRow> mRows;
  // When not 0, all rows of a commit get the same version, which grows by this
  // number with each commit and is returned in the commit's outcome.
  std::uint64_t mVersionsPerCommit = 0;

private:
  static CallError Failure(TableFault aFault)
  {
    const bool isNotRun = aFault == TableFault::Down;
    return FailCall(isNotRun ? CallDisposition::NotRun
                             : CallDisposition::Unknown,
                    ErrorCode::Unavailable,
                    std::string(ToName(aFault)));
  }

  CommitOutcome Apply(const std::vector<TableWrite>& aWrites)
  {
    CommitOutcome outcome{ true, {} };
    for (const auto& it : aWrites) {
      const auto row = mRows.find(it.mKey);
      const std::uint64_t version =
        row == mRows.end() ? 0 : row->second.mVersion;
      if (version != it.mExpectedVersion) {
        outcome.mCommitted = false;
        outcome.mCurrent.push_back(
          row == mRows.end() ? TableRow{ it.mKey, "", 0 } : row->second);
      }
    }
    if (outcome.mCommitted) {
      mCommits += mVersionsPerCommit;
      outcome.mNewVersion = mCommits;
      for (const auto& it : aWrites) {
        const auto version = mCommits > 0 ? mCommits : it.mExpectedVersion + 1;
        mRows[it.mKey] = { it.mKey, it.mValue, version };
      }
    }
    return outcome;
  }

  std::uint64_t mCommits = 0;
};

} // namespace bilberrytrail
