#include "claim_gatherer.h"

#include <optional>

namespace bilberrytrail {

namespace {

constexpr Duration kTableTimeout = 1s;
// Longest pause of the committing fiber without a notification.
constexpr Duration kIdlePause = 1s;

ClaimBatchLimits
MakeLimits(Duration aInterval)
{
  ClaimBatchLimits limits;
  limits.mInterval = aInterval;
  return limits;
}

} // namespace

struct ClaimGatherer::Waiter
{
  explicit Waiter(Loop& aLoop)
    : mSettled(aLoop)
  {
  }

  Event mSettled;
  std::optional<CallResult<CommitOutcome>> mOutcome;
};

ClaimGatherer::ClaimGatherer(Duration aInterval)
  : mBatcher(MakeLimits(aInterval))
{
}

ClaimGatherer::~ClaimGatherer() = default;

void
ClaimGatherer::SetInterval(Duration aInterval)
{
  const std::lock_guard lock(mMutex);
  mBatcher.SetInterval(aInterval);
}

CallResult<CommitOutcome>
ClaimGatherer::Write(Loop& aLoop, TableWrite aWrite, Duration aTimeout)
{
  const auto waiter = std::make_shared<Waiter>(aLoop);
  const auto ticket = Add(waiter, std::move(aWrite));
  if (!ticket) {
    return ticket.error();
  }
  Wake();
  (void)waiter->mSettled.Wait(aTimeout);
  const std::lock_guard lock(mMutex);
  mWaiters.erase(ticket.value());
  if (!waiter->mOutcome) {
    return FailCall(CallDisposition::Unknown,
                    ErrorCode::Timeout,
                    "the claim was not written yet");
  }
  return *std::move(waiter->mOutcome);
}

CallResult<std::uint64_t>
ClaimGatherer::Add(std::shared_ptr<Waiter> aWaiter, TableWrite aWrite)
{
  const std::lock_guard lock(mMutex);
  const auto ticket = ++mLastTicket;
  if (auto ok = mBatcher.Add(ticket, std::move(aWrite), MonotonicNow()); !ok) {
    return std::move(ok).error();
  }
  mWaiters.emplace(ticket, std::move(aWaiter));
  return ticket;
}

void
ClaimGatherer::Run(Loop& aLoop, TableService& aTable)
{
  const auto wake = std::make_shared<Event>(aLoop);
  {
    const std::lock_guard lock(mMutex);
    mWake = wake;
  }
  while (!aLoop.IsStopping()) {
    CommitDue(aLoop, aTable);
    (void)wake->Wait(TimeToNextPoll());
  }
  const std::lock_guard lock(mMutex);
  mWake.reset();
}

Duration
ClaimGatherer::TimeToNextPoll() const
{
  const std::lock_guard lock(mMutex);
  const auto next = mBatcher.NextPoll();
  return next ? std::max<Duration>(*next - MonotonicNow(), Duration::zero())
              : kIdlePause;
}

void
ClaimGatherer::CommitDue(Loop& aLoop, TableService& aTable)
{
  while (true) {
    std::optional<ClaimBatch> batch;
    {
      const std::lock_guard lock(mMutex);
      batch = mBatcher.Poll(MonotonicNow());
    }
    if (!batch) {
      return;
    }
    aLoop.Spawn(
      [this, &aTable, it = *std::move(batch)] { Commit(it, aTable); });
  }
}

void
ClaimGatherer::Commit(const ClaimBatch& aBatch, TableService& aTable)
{
  const auto outcome = aTable.Commit(aBatch.mWrites, kTableTimeout);
  {
    const std::lock_guard lock(mMutex);
    for (auto& settled : mBatcher.OnCommitted(aBatch.mNumber, outcome)) {
      const auto it = mWaiters.find(settled.mTicket);
      if (it != mWaiters.end()) {
        it->second->mOutcome = std::move(settled.mOutcome);
        it->second->mSettled.Notify();
      }
    }
  }
  Wake();
}

void
ClaimGatherer::Wake()
{
  std::shared_ptr<Event> wake;
  {
    const std::lock_guard lock(mMutex);
    wake = mWake;
  }
  if (wake != nullptr) {
    wake->Notify();
  }
}

} // namespace bilberrytrail
