#include "inflight_gate.h"

namespace bilberrytrail {

bool
InflightGate::AwaitOrBegin(Loop& aLoop,
                           const ServerId& aServer,
                           const AttemptId& aAttempt,
                           std::span<const BlockId> aBlocks,
                           Instant aReadyAt,
                           Instant aEnd)
{
  const auto event = BeginOrJoin(aLoop, aServer, aAttempt, aBlocks, aReadyAt);
  if (event == nullptr) {
    return true;
  }
  const auto now = MonotonicNow();
  if (now < aEnd) {
    (void)event->Wait(aEnd - now);
  }
  const std::lock_guard lock(mMutex);
  mWaiters.erase(aAttempt);
  return false;
}

InflightGate::EventPtr
InflightGate::BeginOrJoin(Loop& aLoop,
                          const ServerId& aServer,
                          const AttemptId& aAttempt,
                          std::span<const BlockId> aBlocks,
                          Instant aReadyAt)
{
  const std::lock_guard lock(mMutex);
  const auto now = MonotonicNow();
  Wake(mPrefixes.Expire(now));
  if (aBlocks.empty() ||
      !mPrefixes.Wait(aServer, aBlocks.front(), aAttempt, now)) {
    (void)mPrefixes.Begin(aServer, aAttempt, aBlocks, aReadyAt, now);
    return nullptr;
  }
  auto event = std::make_shared<Event>(aLoop);
  mWaiters[aAttempt] = event;
  return event;
}

void
InflightGate::Finish(const ServerId& aServer, const AttemptId& aAttempt)
{
  const std::lock_guard lock(mMutex);
  Wake(mPrefixes.Finish(aServer, aAttempt));
}

void
InflightGate::Wake(const std::vector<AttemptId>& aWaiters)
{
  for (const auto& waiter : aWaiters) {
    const auto it = mWaiters.find(waiter);
    if (it != mWaiters.end()) {
      it->second->Notify();
    }
  }
}

} // namespace bilberrytrail
