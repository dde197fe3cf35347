#include <bilberrytrail/traffic/attempt_ledger.h>

#include <algorithm>

namespace bilberrytrail {

std::optional<AttemptState>
AttemptLedger::State(const AttemptId& aAttempt) const
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return std::nullopt;
  }
  return it->second;
}

bool
AttemptLedger::IsNotRun() const noexcept
{
  return std::all_of(
    mAttempts.begin(), mAttempts.end(), [](const auto& aEntry) {
      return aEntry.second == AttemptState::NotSent ||
             aEntry.second == AttemptState::RejectedBeforeRunning;
    });
}

bool
AttemptLedger::IsAccepted() const noexcept
{
  return std::any_of(
    mAttempts.begin(), mAttempts.end(), [](const auto& aEntry) {
      return aEntry.second == AttemptState::Accepted ||
             aEntry.second == AttemptState::Finished;
    });
}

Result<void>
AttemptLedger::Open(const AttemptId& aAttempt)
{
  if (mClosed) {
    return Fail(ErrorCode::Conflict,
                "Cannot open an attempt: the ledger is closed as not run.");
  }
  if (!mAttempts.emplace(aAttempt, AttemptState::NotSent).second) {
    return Fail(ErrorCode::Conflict, "The attempt is already in the ledger.");
  }
  return Ok();
}

Result<void>
AttemptLedger::MarkSent(const AttemptId& aAttempt)
{
  if (mClosed) {
    return Fail(ErrorCode::Conflict,
                "Cannot send the attempt: the ledger is closed as not run.");
  }
  return ChangeState(aAttempt, { AttemptState::NotSent }, AttemptState::Sent);
}

Result<void>
AttemptLedger::MarkAccepted(const AttemptId& aAttempt)
{
  return ChangeState(aAttempt, { AttemptState::Sent }, AttemptState::Accepted);
}

Result<void>
AttemptLedger::MarkFinished(const AttemptId& aAttempt)
{
  return ChangeState(aAttempt,
                     { AttemptState::Sent, AttemptState::Accepted },
                     AttemptState::Finished);
}

Result<void>
AttemptLedger::MarkRejected(const AttemptId& aAttempt)
{
  return ChangeState(aAttempt,
                     { AttemptState::NotSent, AttemptState::Sent },
                     AttemptState::RejectedBeforeRunning);
}

std::optional<NotRunProof>
AttemptLedger::CloseAsNotRun() noexcept
{
  if (!IsNotRun()) {
    return std::nullopt;
  }
  mClosed = true;
  return NotRunProof();
}

Result<void>
AttemptLedger::ChangeState(const AttemptId& aAttempt,
                           std::initializer_list<AttemptState> aFrom,
                           AttemptState aTo)
{
  const auto it = mAttempts.find(aAttempt);
  if (it == mAttempts.end()) {
    return Fail(ErrorCode::NotFound, "The attempt is not in the ledger.");
  }
  if (std::find(aFrom.begin(), aFrom.end(), it->second) == aFrom.end()) {
    return Fail(ErrorCode::Conflict,
                "Cannot change the state of the attempt from " +
                  std::string(ToName(it->second)) + " to " +
                  std::string(ToName(aTo)) + ".");
  }
  it->second = aTo;
  return Ok();
}

} // namespace bilberrytrail
