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

// How a non-idempotent call is answered.
enum class ClaimVerdict : unsigned char
{
  // The call ran under this claim: relay the answer.
  Proceed,
  // The call ran under an earlier request: send the recorded answer.
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

// What the owner of a ClaimedCall has to do next.
enum class ClaimActionKind : unsigned char
{
  // Read the row mWrite.mKey, then call OnRowRead.
  ReadRow,
  // Commit mWrite, then call OnClaimWritten.
  WriteClaim,
  // Call BeginSend right before sending the first byte. When it returns true,
  // call the service and then OnServiceResult, otherwise OnSendSkipped.
  Invoke,
  // Commit mWrite after mDelay, then call OnOutcomeWritten.
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

// One action. ClaimActionKind names the fields that each kind uses.
struct ClaimAction
{
  ClaimActionKind mKind = ClaimActionKind::ReadRow;
  TableWrite mWrite;
  Duration mDelay{};
  ClaimVerdict mVerdict = ClaimVerdict::RefuseNotRun;
  // Answer for Proceed and AnswerRecorded.
  RecordedAnswer mAnswer;
  // Reason of a refusal, for the caller.
  std::string mMessage;
};

using ClaimActions = std::vector<ClaimAction>;

// Limits of a claimed call.
struct ClaimLimits
{
  // Maximum time between sending the write of the claim and sending the first
  // byte of the call.
  Duration mClaimValidity = 2s;
  // Maximum number of calls of the service while it reports that it did not
  // run the call.
  std::uint32_t mMaxSends = 2;
  // Maximum number of writes of the claim, which are repeated while their
  // outcome is unknown.
  std::uint32_t mMaxClaimWrites = 3;
  // Maximum number of writes of the outcome.
  std::uint32_t mMaxOutcomeWrites = 16;
  // Back-off before the second write of an outcome; doubles with each retry.
  Duration mOutcomeRetryDelay = 50ms;
  // Maximum back-off between two writes of an outcome.
  Duration mMaxOutcomeRetryDelay = 5s;
};

// The call that a ClaimedCall runs. mAttempt is random and used for one
// ClaimedCall only.
struct ClaimRequest
{
  std::string mRowKey;
  AttemptId mAttempt;
  std::string mCallHash;
  // Wall-clock time in milliseconds since 1970; used for retention only.
  std::int64_t mWallClockMs = 0;
  Instant mDeadline;
};

// Runs one non-idempotent call at most once per idempotency key. A claim row
// is written by compare-and-set before the first byte is sent. A claimed row is
// never taken over by another attempt: only the attempt named in the row may
// send the call and replace "claimed" by an outcome.
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
  // Returns true once a first byte may have been sent.
  [[nodiscard]] bool WasSent() const noexcept { return mSends > 0; }

  // Starts with a read of the row.
  [[nodiscard]] ClaimActions Start(Instant aNow);
  [[nodiscard]] ClaimActions OnRowRead(
    const CallResult<std::optional<TableRow>>& aRow,
    Instant aNow);
  [[nodiscard]] ClaimActions OnClaimWritten(
    const CallResult<CommitOutcome>& aOutcome,
    Instant aNow);
  // Returns true when the call may be sent now; it then counts as sent. Returns
  // false when the claim is older than mClaimValidity, when the deadline has
  // passed, or when no send is due; the owner then calls OnSendSkipped, and no
  // later send is allowed.
  [[nodiscard]] bool BeginSend(Instant aNow);
  // Handles a send that BeginSend did not allow: records that the call did not
  // run.
  [[nodiscard]] ClaimActions OnSendSkipped(Instant aNow);
  // Handles the result of a send that BeginSend allowed.
  [[nodiscard]] ClaimActions OnServiceResult(
    const CallResult<RecordedAnswer>& aResult,
    Instant aNow);
  [[nodiscard]] ClaimActions OnOutcomeWritten(
    const CallResult<CommitOutcome>& aOutcome,
    Instant aNow);

private:
  // Progress of the call; sends are allowed in Ready only.
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

  [[nodiscard]] ClaimActions EvaluateRow(const TableRow& aRow, Instant aNow);
  [[nodiscard]] ClaimActions EvaluateOtherAttempt(const ClaimRow& aRow,
                                                  std::uint64_t aVersion,
                                                  Instant aNow);
  [[nodiscard]] ClaimActions WriteClaim(std::uint64_t aVersion, Instant aNow);
  [[nodiscard]] ClaimActions BecomeReady(std::uint64_t aVersion);
  [[nodiscard]] ClaimActions Finish(ClaimVerdict aVerdict,
                                    std::string aMessage,
                                    RecordedAnswer aAnswer = {});
  // Records that the call did not run. The caller is answered at once or, when
  // aAnswerNow is false, after the first write, so that a resend finds the
  // record.
  [[nodiscard]] ClaimActions RecordNotRun(std::string aMessage,
                                          bool aAnswerNow);
  [[nodiscard]] ClaimActions CheckOutcomeWrite(
    const CallResult<CommitOutcome>& aOutcome);
  [[nodiscard]] ClaimActions NextOutcomeWrite(std::uint64_t aVersion);
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
  // Row version that the next write expects.
  std::uint64_t mVersion = 0;
  Instant mClaimedAt{};
  ClaimState mOutcome = ClaimState::NotRun;
  RecordedAnswer mAnswer;
  // Message of a refusal that is sent after the first write of the outcome.
  std::string mRefusalMessage;
};

} // namespace bilberrytrail
