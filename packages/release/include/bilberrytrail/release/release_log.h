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

// What became of a note.
enum class AppendOutcome : unsigned char
{
  // This append put the note in force.
  Applied,
  // The same note was put in force before, by this operator or another.
  AlreadyApplied,
  // Another note has the number; the note is not in force and never will be
  // by this append.
  Conflict,
  // The note does not fit the state; nothing was written.
  Rejected,
  // The table did not answer before anything was written.
  NotApplied,
  // The table stopped answering after a write was sent: the note may come in
  // force. Applying the same note again settles it.
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

// The end of an append.
struct AppendResult
{
  AppendOutcome mOutcome = AppendOutcome::Unknown;
  // Number that the note has, or the newest number on a conflict.
  ReleaseNumber mNumber;
  std::string mMessage;
};

// What the caller does next: read a row, commit writes, or finish.
struct ReadRowStep
{
  std::string mKey;
};
struct CommitStep
{
  std::vector<TableWrite> mWrites;
};
using AppendStep = std::variant<ReadRowStep, CommitStep, AppendResult>;

// A release as it stands in the table: its head and the text of its body.
struct WrittenRelease
{
  ReleaseHead mHead;
  std::string mBody;
};

// Appends one release note to its product's log: the release row, the note row
// and the head row in one transaction, so that of racing operators one wins. A
// lost reply is settled by reading back the release row, which is written once
// only.
//
//   ReleaseAppend append(note);
//   AppendStep step = append.Start();
//   // ReadRowStep: step = append.OnRead(table.Read(...));
//   // CommitStep: step = append.OnCommit(table.Commit(...));
class ReleaseAppend
{
public:
  explicit ReleaseAppend(ReleaseNote aNote);

  // The first step.
  [[nodiscard]] AppendStep Start();
  // The step behind a read.
  [[nodiscard]] AppendStep OnRead(
    const CallResult<std::optional<TableRow>>& aResult);
  // The step behind a commit.
  [[nodiscard]] AppendStep OnCommit(const CallResult<CommitOutcome>& aResult);

  // Returns the release that a commit was to write, which is in the table when
  // the outcome is Applied; nothing before a commit.
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
    Settle
  };

  AppendStep ReadHead();
  AppendStep OnHead(const std::optional<TableRow>& aRow);
  AppendStep OnBase(const std::optional<TableRow>& aRow);
  AppendStep OnSettled(const std::optional<TableRow>& aRow);
  AppendStep Append(const ProductState& aBase);
  AppendStep Settle();
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
  // A commit was sent whose effect is not known to be none.
  bool mMayHaveWritten = false;
};

} // namespace bilberrytrail
