#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <map>
#include <optional>

namespace bilberrytrail {

// Progress of one attempt at a request.
enum class AttemptState : unsigned char
{
  NotSent,
  Sent,
  // The backend server has started to run it.
  Accepted,
  Finished,
  // The backend server, or the adapter in front of it, stated that the
  // attempt was not run.
  RejectedBeforeRunning
};

template<>
struct EnumNames<AttemptState>
{
  static constexpr std::array<std::string_view, 5> kNames{
    "not_sent",
    "sent",
    "accepted",
    "finished",
    "rejected_before_running"
  };
};

class AttemptLedger;

// Evidence that no attempt at a request has run or can still run. Only
// AttemptLedger::CloseAsNotRun creates one.
class NotRunProof
{
public:
  NotRunProof(NotRunProof&&) noexcept = default;
  NotRunProof& operator=(NotRunProof&&) noexcept = default;
  NotRunProof(const NotRunProof&) = delete;
  NotRunProof& operator=(const NotRunProof&) = delete;
  ~NotRunProof() = default;

private:
  friend class AttemptLedger;
  NotRunProof() = default;
};

// Records the state of each attempt at one request. An attempt that may have
// reached a backend server counts as run until it is rejected.
//
//   AttemptLedger ledger;
//   ledger.Open(attempt);
//   if (auto sent = ledger.MarkSent(attempt); !sent) { ... }
//   // write the first byte only now
class AttemptLedger
{
public:
  // Returns the state of an attempt, or nullopt when it is not in the ledger.
  [[nodiscard]] std::optional<AttemptState> State(
    const AttemptId& aAttempt) const;
  [[nodiscard]] std::size_t size() const noexcept { return mAttempts.size(); }
  [[nodiscard]] bool IsClosed() const noexcept { return mClosed; }
  // Returns whether every attempt is either unsent or rejected before running.
  [[nodiscard]] bool IsNotRun() const noexcept;
  // Returns whether a backend server has started to run any attempt.
  [[nodiscard]] bool IsAccepted() const noexcept;

  // Adds an unsent attempt. Fails with Conflict when the ledger is closed or
  // already has the attempt.
  [[nodiscard]] Result<void> Open(const AttemptId& aAttempt);
  // Must be called before the first byte is sent. Fails with Conflict when the
  // attempt is not in state NotSent or the ledger is closed; the attempt must
  // then not be sent.
  [[nodiscard]] Result<void> MarkSent(const AttemptId& aAttempt);
  // Records that the answer has started. Also valid after a lost reply.
  [[nodiscard]] Result<void> MarkAccepted(const AttemptId& aAttempt);
  [[nodiscard]] Result<void> MarkFinished(const AttemptId& aAttempt);
  // Records a statement that the attempt was not run. Fails with Conflict when
  // the attempt was accepted or finished: such a statement is not credible.
  [[nodiscard]] Result<void> MarkRejected(const AttemptId& aAttempt);
  // Closes the ledger and returns the proof when IsNotRun() holds. No attempt
  // can be opened or sent afterwards. Otherwise changes nothing.
  [[nodiscard]] std::optional<NotRunProof> CloseAsNotRun() noexcept;

private:
  Result<void> ChangeState(const AttemptId& aAttempt,
                           std::initializer_list<AttemptState> aFrom,
                           AttemptState aTo);

  std::map<AttemptId, AttemptState> mAttempts;
  bool mClosed = false;
};

} // namespace bilberrytrail
