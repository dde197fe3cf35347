#pragma once

#include <bilberrytrail/orders/claim.h>

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberrytrail::claim_model {

// The action at which a fault is injected.
enum class Step : unsigned char
{
  ReadRow,
  WriteClaim,
  Invoke,
  WriteOutcome,
  AnswerCaller
};

enum class Fault : unsigned char
{
  None,
  CrashBefore,
  CrashAfter,
  PauseBefore,
  // The request takes effect, but its reply is lost.
  LostReply,
  // The request is lost, and the sender cannot tell that it did not run.
  LostRequest,
  // The sender times out, and the request takes effect later.
  Delayed,
  // The receiver is down, and the sender learns that the request did not run.
  Down,
  // The receiver reports a failure.
  Failed,
  DuplicateBefore,
  DuplicateAfter
};

} // namespace bilberrytrail::claim_model

template<>
struct bilberrytrail::EnumNames<bilberrytrail::claim_model::Step>
{
  static constexpr std::array<std::string_view, 5> kNames{ "read_row",
                                                           "write_claim",
                                                           "invoke",
                                                           "write_outcome",
                                                           "answer_caller" };
};

template<>
struct bilberrytrail::EnumNames<bilberrytrail::claim_model::Fault>
{
  static constexpr std::array<std::string_view, 11> kNames{
    "none",       "crash_before",     "crash_after",    "pause_before",
    "lost_reply", "lost_request",     "delayed",        "down",
    "failed",     "duplicate_before", "duplicate_after"
  };
};

namespace bilberrytrail::claim_model {

static_assert(EnumCount<Step>() == EnumCount<ClaimActionKind>(),
              "each action of a claimed call needs a step of the fault table");

struct Injection
{
  Step mStep = Step::ReadRow;
  Fault mFault = Fault::None;
};

// A table service whose compare-and-set can be switched off.
class Table
{
public:
  bool mComparesVersions = true;

  [[nodiscard]] std::optional<TableRow> Read(const std::string& aKey) const
  {
    const auto it = mRows.find(aKey);
    return it == mRows.end() ? std::nullopt : std::optional(it->second);
  }

  CommitOutcome Commit(const std::vector<TableWrite>& aWrites)
  {
    CommitOutcome outcome;
    for (const auto& write : aWrites) {
      const auto row = Read(write.mKey).value_or(TableRow{ write.mKey, {}, 0 });
      if (mComparesVersions && row.mVersion != write.mExpectedVersion) {
        outcome.mCurrent.push_back(row);
      }
    }
    outcome.mCommitted = outcome.mCurrent.empty();
    for (const auto& write : aWrites) {
      if (outcome.mCommitted) {
        Apply(write);
      }
    }
    return outcome;
  }

private:
  void Apply(const TableWrite& aWrite)
  {
    if (aWrite.mErase) {
      mRows.erase(aWrite.mKey);
    } else {
      mRows[aWrite.mKey] =
        TableRow{ aWrite.mKey, aWrite.mValue, ++mLastVersion };
    }
  }

  std::map<std::string, TableRow> mRows;
  // Versions are counted over all rows, so that none is used twice.
  std::uint64_t mLastVersion = 0;
};

// An answer that the caller received.
struct CallerAnswer
{
  std::string mAttempt;
  ClaimVerdict mVerdict = ClaimVerdict::RefuseNotRun;
  std::string mBody;
};

// Simulates the requests of one caller with one idempotency key, sent through
// several daemons.
class Simulation
{
public:
  Table mTable;
  Instant mNow{ 1s };
  std::vector<std::string> mRuns;
  std::vector<CallerAnswer> mCallerAnswers;

  explicit Simulation(std::vector<Injection> aFaults)
    : mFaults(std::move(aFaults))
  {
  }

  // Runs one request until it ends or its daemon crashes.
  void RunRequest()
  {
    const auto attempt = "attempt-" + std::to_string(++mAttempts);
    ClaimedCall call(MakeRequest(attempt), ClaimLimits());
    std::deque<ClaimAction> actions;
    Push(actions, call.Start(mNow));
    while (!actions.empty()) {
      const auto action = actions.front();
      actions.pop_front();
      const auto fault = TakeFault(action.mKind);
      if (!InjectBefore(fault)) {
        return;
      }
      Push(actions, Perform(call, action, fault, attempt));
      if (!InjectAfter(fault)) {
        return;
      }
    }
  }

  // Lets delayed writes and sends take effect.
  void DeliverDelayed()
  {
    auto writes = std::move(mDelayedWrites);
    mDelayedWrites.clear();
    for (const auto& write : writes) {
      (void)mTable.Commit({ write });
    }
    for (const auto& attempt : std::exchange(mDelayedRuns, {})) {
      mRuns.push_back(attempt);
    }
  }

  // Returns a description of the first violation, or an empty text.
  [[nodiscard]] std::string FindViolation() const
  {
    if (mRuns.size() > 1) {
      return "the service ran the key more than once";
    }
    for (const auto& given : mCallerAnswers) {
      const bool ran = std::count(mRuns.begin(), mRuns.end(), given.mAttempt);
      if (given.mVerdict == ClaimVerdict::RefuseNotRun && ran) {
        return "a request was answered not run, but ran";
      }
      const bool hasAnswer = given.mVerdict == ClaimVerdict::Proceed ||
                             given.mVerdict == ClaimVerdict::AnswerRecorded;
      if (hasAnswer &&
          (mRuns.empty() || given.mBody != "answer of " + mRuns.front())) {
        return "a request got an answer that is not its own";
      }
    }
    return {};
  }

private:
  [[nodiscard]] ClaimRequest MakeRequest(const std::string& aAttempt) const
  {
    return ClaimRequest{ "claim/p/a/k",
                         AttemptId(aAttempt),
                         HashCall("POST", "/book", "slot 4"),
                         0,
                         mNow + 30s };
  }

  static void Push(std::deque<ClaimAction>& aQueue, ClaimActions aActions)
  {
    aQueue.insert(aQueue.end(), aActions.begin(), aActions.end());
  }

  Fault TakeFault(ClaimActionKind aKind)
  {
    for (auto it = mFaults.begin(); it != mFaults.end(); ++it) {
      if (it->mStep == static_cast<Step>(aKind)) {
        const auto fault = it->mFault;
        mFaults.erase(it);
        return fault;
      }
    }
    return Fault::None;
  }

  bool InjectBefore(Fault aFault)
  {
    if (aFault == Fault::PauseBefore) {
      mNow += 10s;
      RunRequest();
      DeliverDelayed();
    }
    if (aFault == Fault::DuplicateBefore) {
      RunRequest();
    }
    return aFault != Fault::CrashBefore;
  }

  bool InjectAfter(Fault aFault)
  {
    if (aFault == Fault::DuplicateAfter) {
      RunRequest();
    }
    return aFault != Fault::CrashAfter;
  }

  ClaimActions Perform(ClaimedCall& aCall,
                       const ClaimAction& aAction,
                       Fault aFault,
                       const std::string& aAttempt)
  {
    mNow += 1ms + aAction.mDelay;
    switch (aAction.mKind) {
      case ClaimActionKind::ReadRow:
        return aCall.OnRowRead(Read(aAction.mWrite.mKey, aFault), mNow);
      case ClaimActionKind::WriteClaim:
        return aCall.OnClaimWritten(Commit(aAction.mWrite, aFault), mNow);
      case ClaimActionKind::WriteOutcome:
        return aCall.OnOutcomeWritten(Commit(aAction.mWrite, aFault), mNow);
      case ClaimActionKind::Invoke:
        if (!aCall.BeginSend(mNow)) {
          return aCall.OnSendSkipped(mNow);
        }
        return aCall.OnServiceResult(Invoke(aAttempt, aFault), mNow);
      case ClaimActionKind::AnswerCaller:
        mCallerAnswers.push_back(
          { aAttempt, aAction.mVerdict, aAction.mAnswer.mBody });
        return {};
    }
    return {};
  }

  static std::optional<CallError> ErrorOf(Fault aFault)
  {
    switch (aFault) {
      case Fault::LostReply:
      case Fault::LostRequest:
      case Fault::Delayed:
        return FailCall(
          CallDisposition::Unknown, ErrorCode::Timeout, "timeout");
      case Fault::Down:
        return FailCall(
          CallDisposition::NotRun, ErrorCode::Unavailable, "down");
      case Fault::Failed:
        return FailCall(CallDisposition::Failed, ErrorCode::Internal, "failed");
      default:
        return std::nullopt;
    }
  }

  CallResult<std::optional<TableRow>> Read(const std::string& aKey,
                                           Fault aFault)
  {
    if (const auto error = ErrorOf(aFault)) {
      return *error;
    }
    return mTable.Read(aKey);
  }

  CallResult<CommitOutcome> Commit(const TableWrite& aWrite, Fault aFault)
  {
    if (aFault == Fault::LostReply) {
      (void)mTable.Commit({ aWrite });
    }
    if (aFault == Fault::Delayed) {
      mDelayedWrites.push_back(aWrite);
    }
    if (const auto error = ErrorOf(aFault)) {
      return *error;
    }
    return mTable.Commit({ aWrite });
  }

  CallResult<RecordedAnswer> Invoke(const std::string& aAttempt, Fault aFault)
  {
    RecordedAnswer answer{ 200, "text/plain", "answer of " + aAttempt, false };
    if (aFault == Fault::Delayed) {
      mDelayedRuns.push_back(aAttempt);
    }
    if (aFault == Fault::LostReply || aFault == Fault::None ||
        aFault == Fault::PauseBefore || aFault == Fault::CrashAfter ||
        aFault == Fault::DuplicateBefore || aFault == Fault::DuplicateAfter) {
      mRuns.push_back(aAttempt);
    }
    if (aFault == Fault::Failed) {
      mRuns.push_back(aAttempt);
      return FailCall(
        CallDisposition::Failed, ErrorCode::Internal, answer.mBody);
    }
    if (const auto error = ErrorOf(aFault)) {
      return *error;
    }
    return answer;
  }

  std::vector<Injection> mFaults;
  std::vector<TableWrite> mDelayedWrites;
  std::vector<std::string> mDelayedRuns;
  int mAttempts = 0;
};

} // namespace bilberrytrail::claim_model
