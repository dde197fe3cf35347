#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/traffic/refusal.h>
#include <bilberrytrail/traffic/work_class.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Identifies an entry of one server's queue; chosen by the caller, never
// used twice.
using Ticket = Number<struct TicketTag>;

// One request that wants to run on a server.
struct QueueEntry
{
  Ticket mTicket;
  AccountId mAccount;
  WorkClass mClass = WorkClass::Short;
  // Estimated tokens of prompt and answer together.
  double mCostTokens = 1;
  // Estimated running time on this server.
  Duration mService{};
  // Time by which the request must have finished.
  Instant mDeadline = Instant::max();
};

// The entry may run now and holds a slot until Finish() or Cancel().
struct GrantAction
{
  Ticket mTicket;
};

// The entry has left the queue and gets its final answer now. For an entry
// that was paused, part of the answer has been delivered.
struct RefuseAction
{
  Ticket mTicket;
  RefusalReason mReason = RefusalReason::QueueFull;
  Duration mRetryAfter{};
};

// The running entry is to be cancelled at the engine, its text kept, and
// ConfirmPaused() called; it holds its slot until then.
struct PauseAction
{
  Ticket mTicket;
};

// The paused entry is to be resumed and holds a slot again.
struct ResumeAction
{
  Ticket mTicket;
};

using QueueAction =
  std::variant<GrantAction, RefuseAction, PauseAction, ResumeAction>;
using QueueActions = std::vector<QueueAction>;

// Sizes and bounds of a queue.
struct QueueSettings
{
  // Entries that run on the server at once.
  std::uint32_t mSlots = 8;
  // Slots that drafts never take.
  std::uint32_t mShortSlots = 2;
  // Slots that short work leaves to drafts while drafts wait.
  std::uint32_t mDraftSlots = 2;
  // Entries that wait at once.
  std::size_t mMaxWaiting = 512;
  // Entries that are paused at once.
  std::size_t mMaxPaused = 16;
  // Tokens that an account which started little may start ahead of others.
  double mBurstTokens = 8192;
  // A draft that runs longer than this multiple of its estimate is demoted.
  double mDemotionFactor = 2;
  // Shortest run of a draft between two pauses.
  Duration mMinRun = 500ms;
  // A draft that was paused for so long is resumed before waiting drafts.
  Duration mMaxPause = 10s;
  // Part of the estimated running time that is added when a deadline is
  // checked.
  double mServiceMargin = 0.25;
};

// The queue of one backend server, held by the server's home. Not thread-safe.
//
//   auto queue = MakeFairServerQueue(settings);
//   for (const auto& action : queue->Offer(entry, now)) { ... }
//   // when a granted entry has ended:
//   for (const auto& action : queue->Finish(ticket, now)) { ... }
class ServerQueue
{
public:
  virtual ~ServerQueue() = default;

  [[nodiscard]] virtual std::size_t Waiting() const noexcept = 0;
  [[nodiscard]] virtual std::size_t Running() const noexcept = 0;
  [[nodiscard]] virtual std::size_t Paused() const noexcept = 0;
  // Returns how long such an entry would wait if it were offered now.
  [[nodiscard]] virtual Duration PredictWait(const QueueEntry& aEntry,
                                             Instant aNow) const = 0;
  // Returns when Tick() is next of use.
  [[nodiscard]] virtual std::optional<Instant> NextTick(Instant aNow) const = 0;

  // Adds an entry; it is granted, kept waiting or refused at once.
  [[nodiscard]] virtual QueueActions Offer(QueueEntry aEntry, Instant aNow) = 0;
  // Notes that a granted or resumed entry has ended.
  [[nodiscard]] virtual QueueActions Finish(Ticket aTicket, Instant aNow) = 0;
  // Removes an entry in whatever state, without an action for it.
  [[nodiscard]] virtual QueueActions Cancel(Ticket aTicket, Instant aNow) = 0;
  // Notes that a paused entry has left the server. Does nothing when the
  // entry finished first.
  [[nodiscard]] virtual QueueActions ConfirmPaused(Ticket aTicket,
                                                   Instant aNow) = 0;
  // Refuses entries that can no longer meet their deadlines, and demotes,
  // pauses and resumes drafts.
  [[nodiscard]] virtual QueueActions Tick(Instant aNow) = 0;
  // Changes the number of slots; running entries keep theirs.
  [[nodiscard]] virtual QueueActions SetSlots(std::uint32_t aSlots,
                                              Instant aNow) = 0;
  // Stops taking entries and returns those waiting, to be offered elsewhere.
  // Running entries go on; paused ones are resumed as slots fall free.
  [[nodiscard]] virtual std::vector<QueueEntry> Drain(Instant aNow) = 0;
};

// Returns a queue with lanes by work class, fair sharing among client
// accounts by estimated tokens inside a lane, and refusal by predicted wait.
[[nodiscard]] std::unique_ptr<ServerQueue>
MakeFairServerQueue(const QueueSettings& aSettings);

// Returns the baseline: one queue in order of arrival for all classes, which
// refuses only when full and at deadlines.
[[nodiscard]] std::unique_ptr<ServerQueue>
MakeFifoServerQueue(const QueueSettings& aSettings);

} // namespace bilberrytrail
