#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/orders/claim_row.h>
#include <bilberrytrail/platform/table_service.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// How a non-idempotent call stands towards its caller.
enum class ClaimVerdict : unsigned char
{
  // The call ran under this claim; relay the answer.
  Proceed,
  // The call ran before; give the recorded answer.
  AnswerRecorded,
  // The call did not run under this request.
  RefuseNotRun,
  // The call may have run.
  RefuseUnknown,
  // The idempotency key was used for another call.
  RefuseConflict
};

template<>
struct EnumNames<ClaimVerdict>
{
  static constexpr std::array<std::string_view, 5> kNames{ "proceed",
                                                           "answer_recorded",
                                                           "refuse_not_run",
                                                           "refuse_unknown",
                                                           "refuse_conflict" };
};

// What the owner of a ClaimedCall has to do.
enum class ClaimActionKind : unsigned char
{
  // Read the row mWrite.mKey, then OnRowRead.
  ReadRow,
  // Commit mWrite, then OnClaimWritten.
  WriteClaim,
  // Ask BeginSend right before the first byte; when it allows the send, call
  // the service and then OnServiceResult.
  Invoke,
  // Commit mWrite after mDelay, then OnOutcomeWritten.
  WriteOutcome,
  // Answer the caller with mVerdict.
  AnswerCaller
};

template<>
struct EnumNames<ClaimActionKind>
{
  static constexpr std::array<std::string_view, 5> kNames{ "read_row",
                                                           "write_claim",
                                                           "invoke",
                                                           "write_outcome",
                                                           "answer_caller" };
};

// One action; the fields that apply are named in ClaimActionKind.
struct ClaimAction
{
  ClaimActionKind mKind = ClaimActionKind::ReadRow;
  TableWrite mWrite;
  Duration mDelay{};
  ClaimVerdict mVerdict = ClaimVerdict::RefuseNotRun;
  // Answer for Proceed and AnswerRecorded.
  RecordedAnswer mAnswer;
  // One sentence for the caller, for refusals.
  std::string mMessage;
};

using ClaimActions = std::vector<ClaimAction>;

// Bounds of a claimed call.
struct ClaimLimits
{
  // Longest time between asking for the claim and the first byte sent.
  Duration mClaimValidity = 2s;
  // Times that the service is called while it says that it did not run the
  // call.
  std::uint32_t mMaxSends = 2;
  // Times that the claim is written while its fate is not known.
  std::uint32_t mMaxClaimWrites = 3;
  // Times that the outcome is written.
  std::uint32_t mMaxOutcomeWrites = 16;
  // Delay before the second write of an outcome; doubles each time.
  Duration mOutcomeRetryDelay = 50ms;
  // Longest delay between two writes of an outcome.
  Duration mMaxOutcomeRetryDelay = 5s;
};

// The call that a ClaimedCall runs. mAttempt is random and used for one
// ClaimedCall only.
struct ClaimRequest
{
  std::string mRowKey;
  AttemptId mAttempt;
  std::string mCallHash;
  // Wall-clock time in milliseconds since 1970, for retention only.
  std::int64_t mWallClockMs = 0;
  Instant mDeadline;
};

// Runs one non-idempotent call at most once per idempotency key. A claim row
// is written by compare-and-set before the first byte goes out and is never
// taken over by another attempt: only the attempt named in a row may send, and
// only the row's own attempt may turn "claimed" into an outcome.
//
//   ClaimedCall call(request, ClaimLimits());
//   Perform(call.Start(now));            // reads the row
//   Perform(call.OnRowRead(row, now));   // writes the claim, or answers
//   Perform(call.OnClaimWritten(outcome, now));
//   if (call.BeginSend(now)) {           // right before the first byte
//     Perform(call.OnServiceResult(service.Invoke(...), now));
//   } else {
//     Perform(call.OnSendSkipped(now));
//   }
class ClaimedCall
{
public:
  ClaimedCall(ClaimRequest aRequest, const ClaimLimits& aLimits);

  // Returns true once the caller has its answer.
  [[nodiscard]] bool IsAnswered() const noexcept { return mIsAnswered; }
  // Returns true when nothing is left to do.
  [[nodiscard]] bool IsFinished() const noexcept;
  // Returns true once a first byte may have gone out.
  [[nodiscard]] bool WasSent() const noexcept { return mSends > 0; }

  // Begins with a look at the row.
  [[nodiscard]] ClaimActions Start(Instant aNow);
  [[nodiscard]] ClaimActions OnRowRead(
    const CallResult<std::optional<TableRow>>& aRow,
    Instant aNow);
  [[nodiscard]] ClaimActions OnClaimWritten(
    const CallResult<CommitOutcome>& aOutcome,
    Instant aNow);
  // Returns true when the call may be sent now; it then counts as sent. False
  // when the claim is older than its validity, when the deadline has passed,
  // or when no send is due: call
  // OnSendSkipped; no later send is allowed.
  [[nodiscard]] bool BeginSend(Instant aNow);
  // The send was not begun. Records that the call did not run.
  [[nodiscard]] ClaimActions OnSendSkipped(Instant aNow);
  // The service answered or failed after BeginSend allowed the send.
  [[nodiscard]] ClaimActions OnServiceResult(
    const CallResult<RecordedAnswer>& aResult,
    Instant aNow);
  [[nodiscard]] ClaimActions OnOutcomeWritten(
    const CallResult<CommitOutcome>& aOutcome,
    Instant aNow);

private:
  // Where the call stands; sends are allowed in Ready only.
  enum class Phase : unsigned char
  {
    Idle,
    Reading,
    Claiming,
    ReadingBack,
    Ready,
    Expired,
    Running,
    Recording,
    Finished
  };

  [[nodiscard]] ClaimActions Judge(const TableRow& aRow, Instant aNow);
  [[nodiscard]] ClaimActions JudgeOther(const ClaimRow& aRow,
                                        std::uint64_t aVersion,
                                        Instant aNow);
  [[nodiscard]] ClaimActions WriteClaim(std::uint64_t aVersion, Instant aNow);
  [[nodiscard]] ClaimActions BecomeReady(std::uint64_t aVersion);
  [[nodiscard]] ClaimActions Finish(ClaimVerdict aVerdict,
                                    std::string aMessage,
                                    RecordedAnswer aAnswer = {});
  // Records that the call did not run. The caller hears of it after the
  // first write, so that a resend finds the record, or at once.
  [[nodiscard]] ClaimActions Release(std::string aMessage, bool aAnswerNow);
  [[nodiscard]] ClaimActions SettleOutcome(
    const CallResult<CommitOutcome>& aOutcome);
  [[nodiscard]] ClaimActions RetryOutcome(std::uint64_t aVersion);
  [[nodiscard]] ClaimAction MakeWrite(ClaimActionKind aKind,
                                      ClaimState aState,
                                      std::uint64_t aVersion) const;
  [[nodiscard]] ClaimAction Answer(ClaimVerdict aVerdict,
                                   std::string aMessage,
                                   RecordedAnswer aAnswer = {});

  ClaimRequest mRequest;
  ClaimLimits mLimits;
  Phase mPhase = Phase::Idle;
  bool mIsAnswered = false;
  std::uint32_t mSends = 0;
  std::uint32_t mClaimWrites = 0;
  std::uint32_t mOutcomeWrites = 0;
  Duration mNextDelay;
  // Version that the next write of ours expects.
  std::uint64_t mVersion = 0;
  Instant mClaimedAt{};
  ClaimState mOutcome = ClaimState::NotRun;
  RecordedAnswer mAnswer;
  // Message of a refusal that waits for the first write of the outcome.
  std::string mRefusal;
};

} // namespace bilberrytrail
