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

// Identifies an entry of one server's queue; chosen by the caller and never
// reused.
using Ticket = Number<struct TicketTag>;

// One request to run on a server.
struct QueueEntry
{
  Ticket mTicket;
  AccountId mAccount;
  WorkClass mClass = WorkClass::Short;
  // Estimated tokens of prompt and answer together.
  double mCostTokens = 1;
  // Estimated running time on this server.
  Duration mService{};
  // Time by which the request must finish.
  Instant mDeadline = Instant::max();
};

// The entry may run now and holds a slot until Finish() or Cancel().
struct GrantAction
{
  Ticket mTicket;
};

// The entry has left the queue and its request is to be refused now. If the
// entry was paused, part of its answer has been delivered already.
struct RefuseAction
{
  Ticket mTicket;
  RefusalReason mReason = RefusalReason::QueueFull;
  Duration mRetryAfter{};
};

// The running entry is to be cancelled at the engine and its text so far kept.
// It holds its slot until ConfirmPaused() is called.
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

// Sizes and limits of a queue.
struct QueueSettings
{
  // Maximum number of entries that run on the server at once.
  std::uint32_t mSlots = 8;
  // Slots reserved for short work; drafts never use them.
  std::uint32_t mShortSlots = 2;
  // Slots reserved for drafts while drafts wait.
  std::uint32_t mDraftSlots = 2;
  // Maximum number of waiting entries.
  std::size_t mMaxWaiting = 512;
  // Maximum number of paused entries.
  std::size_t mMaxPaused = 16;
  // Tokens that an account with little recent work may start before other
  // accounts.
  double mBurstTokens = 8192;
  // A draft that runs longer than this multiple of its estimate is demoted.
  double mDemotionFactor = 2;
  // Minimum run of a resumed draft before it may be paused again.
  Duration mMinRun = 500ms;
  // A demoted draft that has been paused for this time is resumed before
  // waiting drafts.
  Duration mMaxPause = 10s;
  // Safety margin for deadline checks, as a fraction of the estimated running
  // time.
  double mServiceMargin = 0.25;
};

// The queue of one backend server, at the server's home. Not thread-safe.
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
  // Returns the expected wait of such an entry if it were offered at aNow.
  [[nodiscard]] virtual Duration PredictWait(const QueueEntry& aEntry,
                                             Instant aNow) const = 0;
  // Returns when Tick() should be called next; nullopt when it has nothing to
  // do.
  [[nodiscard]] virtual std::optional<Instant> NextTick(Instant aNow) const = 0;

  // Adds an entry, which is granted, queued or refused immediately.
  [[nodiscard]] virtual QueueActions Offer(QueueEntry aEntry, Instant aNow) = 0;
  // Records that a granted or resumed entry has finished.
  [[nodiscard]] virtual QueueActions Finish(Ticket aTicket, Instant aNow) = 0;
  // Removes an entry in any state, without an action for it.
  [[nodiscard]] virtual QueueActions Cancel(Ticket aTicket, Instant aNow) = 0;
  // Records that an entry to be paused has left the server. Does nothing when
  // the entry finished first.
  [[nodiscard]] virtual QueueActions ConfirmPaused(Ticket aTicket,
                                                   Instant aNow) = 0;
  // Refuses entries that can no longer meet their deadlines, and demotes,
  // pauses and resumes drafts.
  [[nodiscard]] virtual QueueActions Tick(Instant aNow) = 0;
  // Changes the number of slots; running entries keep theirs.
  [[nodiscard]] virtual QueueActions SetSlots(std::uint32_t aSlots,
                                              Instant aNow) = 0;
  // Stops accepting entries and returns the waiting ones, to be offered
  // elsewhere. Running entries continue; paused ones are resumed as slots
  // become free.
  [[nodiscard]] virtual std::vector<QueueEntry> Drain(Instant aNow) = 0;
};

// Returns a queue with a lane for each work class. Client accounts share a lane
// fairly by estimated tokens, and entries are refused by predicted wait.
[[nodiscard]] std::unique_ptr<ServerQueue>
MakeFairServerQueue(const QueueSettings& aSettings);

// Returns the baseline: a FIFO queue for all classes, which refuses entries
// only when it is full, draining, or their deadline has passed.
[[nodiscard]] std::unique_ptr<ServerQueue>
MakeFifoServerQueue(const QueueSettings& aSettings);

} // namespace bilberrytrail
