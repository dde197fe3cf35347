#pragma once

#include <bilberrytrail/cache/inflight_prefixes.h>
#include <bilberrytrail/runtime/loop.h>

#include <map>
#include <memory>
#include <mutex>

namespace bilberrytrail {

// Lets concurrent requests with the same prefix on one server wait for the
// import or computation of one of them. Thread-safe.
//
//   if (gate.AwaitOrBegin(loop, server, attempt, missing, readyAt, end)) {
//     ... import or compute ...
//     gate.Finish(server, attempt);
//   }
class InflightGate
{
public:
  // Returns the leading blocks that others import or compute on the server.
  [[nodiscard]] PendingPrefix Find(const ServerId& aServer,
                                   std::span<const BlockId> aBlocks,
                                   Instant aNow) const
  {
    const std::lock_guard lock(mMutex);
    return mPrefixes.Find(aServer, aBlocks, aNow);
  }
  // Begins the work on the blocks and returns true; or waits until the work
  // of another attempt on the first of them has ended, at most until aEnd,
  // and returns false.
  [[nodiscard]] bool AwaitOrBegin(Loop& aLoop,
                                  const ServerId& aServer,
                                  const AttemptId& aAttempt,
                                  std::span<const BlockId> aBlocks,
                                  Instant aReadyAt,
                                  Instant aEnd);
  // Ends the attempt's work, if it has any, and wakes those who wait for it.
  void Finish(const ServerId& aServer, const AttemptId& aAttempt);

private:
  using EventPtr = std::shared_ptr<Event>;

  // Begins the work and returns null, or adds a waiter.
  [[nodiscard]] EventPtr BeginOrJoin(Loop& aLoop,
                                     const ServerId& aServer,
                                     const AttemptId& aAttempt,
                                     std::span<const BlockId> aBlocks,
                                     Instant aReadyAt);
  void Wake(const std::vector<AttemptId>& aWaiters);

  mutable std::mutex mMutex;
  InflightPrefixes mPrefixes;
  std::map<AttemptId, EventPtr> mWaiters;
};

} // namespace bilberrytrail
