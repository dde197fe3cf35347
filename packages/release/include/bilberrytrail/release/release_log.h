#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/release/release_body.h>
#include <bilberrytrail/release/release_note.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Outcome of appending a note.
enum class AppendOutcome : unsigned char
{
  // This append put the note in force.
  Applied,
  // The same note was already in force, appended by this or another operator.
  AlreadyApplied,
  // Another note has the number; this append did not and will not put the
  // note in force.
  Conflict,
  // The note cannot be applied to the state, or a row that is needed for it is
  // missing or corrupt; nothing was written.
  Rejected,
  // The table calls failed before anything was written.
  NotApplied,
  // The table calls failed after a write was sent, so the note may still come
  // into force. Appending the same note again resolves the outcome.
  Unknown
};

template<>
struct EnumNames<AppendOutcome>
{
  static constexpr std::array<std::string_view, 6> kNames{
    "applied",  "already_applied", "conflict",
    "rejected", "not_applied",     "unknown"
  };
};

// Result of an append.
struct AppendResult
{
  AppendOutcome mOutcome = AppendOutcome::Unknown;
  // The note's release number when applied, otherwise the newest number seen,
  // 0 when there is none.
  ReleaseNumber mNumber;
  std::string mMessage;
};

// Next step of an append: read a row, commit writes, or finish.
struct ReadRowStep
{
  std::string mKey;
};
struct CommitStep
{
  std::vector<TableWrite> mWrites;
};
using AppendStep = std::variant<ReadRowStep, CommitStep, AppendResult>;

// A release as written to the table: its head and the text of its body.
struct WrittenRelease
{
  ReleaseHead mHead;
  std::string mBody;
};

// Appends one release note to its product's log. The release row, the note row
// and the head row are written in one transaction, so that one of several
// concurrent operators wins. After a lost reply the release row, which is
// written only once, is read back.
//
//   ReleaseAppend append(note);
//   AppendStep step = append.Start();
//   // ReadRowStep: step = append.OnRead(table.Read(...));
//   // CommitStep: step = append.OnCommit(table.Commit(...));
class ReleaseAppend
{
public:
  explicit ReleaseAppend(ReleaseNote aNote);

  // Returns the first step.
  [[nodiscard]] AppendStep Start();
  // Returns the step after a read.
  [[nodiscard]] AppendStep OnRead(
    const CallResult<std::optional<TableRow>>& aResult);
  // Returns the step after a commit.
  [[nodiscard]] AppendStep OnCommit(const CallResult<CommitOutcome>& aResult);

  // Returns the release that the last commit step writes; it is in the table
  // when the outcome is Applied. Nothing before the first commit step.
  [[nodiscard]] const std::optional<WrittenRelease>& Written() const noexcept
  {
    return mWritten;
  }

private:
  enum class Phase : unsigned char
  {
    ReadHead,
    ReadBase,
    Commit,
    ReadBack
  };

  AppendStep ReadHead();
  AppendStep OnHead(const std::optional<TableRow>& aRow);
  AppendStep OnBase(const std::optional<TableRow>& aRow);
  AppendStep OnReadBack(const std::optional<TableRow>& aRow);
  AppendStep Append(const ProductState& aBase);
  AppendStep ReadBack();
  AppendStep RetryOrGiveUp(const std::string& aReason);
  [[nodiscard]] AppendResult Finish(AppendOutcome aOutcome,
                                    ReleaseNumber aNumber,
                                    std::string aMessage) const;

  ReleaseNote mNote;
  ReleaseNumber mTarget;
  Phase mPhase = Phase::ReadHead;
  std::vector<TableWrite> mWrites;
  std::optional<WrittenRelease> mWritten;
  std::uint64_t mHeadVersion = 0;
  ReleaseNumber mHeadNumber;
  int mFailures = 0;
  // A commit was sent that may have taken effect.
  bool mMayHaveWritten = false;
};

} // namespace bilberrytrail
