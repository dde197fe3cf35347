#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// What a request finds on a server of the blocks that it is about to import
// or compute there.
struct PendingPrefix
{
  // Blocks from the start of the span that others are working on.
  std::uint32_t mBlocks = 0;
  // Time at which the last of them is expected to be resident.
  Instant mReadyAt{};
};

// Knows which blocks are being imported or computed on which server, so that
// concurrent requests with the same prefix do not repeat the work: they wait
// for it or go to another server. Soft state of the server's home.
//
//   const auto pending = inflight.Find(server, missing, now);
//   if (pending.mBlocks == 0 &&
//       inflight.Begin(server, attempt, missing, readyAt, now)) { ... }
//   for (const auto& waiter : inflight.Finish(server, attempt)) { ... }
class InflightPrefixes
{
public:
  // Work that is not finished this long after its expected end is taken for
  // lost.
  explicit InflightPrefixes(Duration aGrace = 5s);

  // Returns the leading blocks of the span that are being worked on.
  [[nodiscard]] PendingPrefix Find(const ServerId& aServer,
                                   std::span<const BlockId> aBlocks,
                                   Instant aNow) const;

  // Claims the blocks for an attempt. Returns false, and claims nothing, when
  // any of them is being worked on already.
  [[nodiscard]] bool Begin(const ServerId& aServer,
                           const AttemptId& aAttempt,
                           std::span<const BlockId> aBlocks,
                           Instant aReadyAt,
                           Instant aNow);
  // Adds a waiter for the work on a block; false when nobody works on it.
  [[nodiscard]] bool Wait(const ServerId& aServer,
                          BlockId aBlock,
                          const AttemptId& aWaiter,
                          Instant aNow);
  // The attempt's work is done or has failed: returns its waiters, which plan
  // again with what is resident now.
  [[nodiscard]] std::vector<AttemptId> Finish(const ServerId& aServer,
                                              const AttemptId& aAttempt);
  // Forgets work whose grace has passed; returns its waiters.
  [[nodiscard]] std::vector<AttemptId> Expire(Instant aNow);
  // Forgets a server; returns the waiters of all work there.
  [[nodiscard]] std::vector<AttemptId> OnServerGone(const ServerId& aServer);

private:
  struct Work
  {
    std::vector<BlockId> mBlocks;
    Instant mReadyAt;
    std::vector<AttemptId> mWaiters;
  };
  struct Server
  {
    std::unordered_map<AttemptId, Work> mWork;
    std::unordered_map<BlockId, AttemptId> mOwners;
  };

  [[nodiscard]] const Work* FindWork(const ServerId& aServer,
                                     BlockId aBlock,
                                     Instant aNow) const;

  Duration mGrace;
  std::unordered_map<ServerId, Server> mServers;
};

} // namespace bilberrytrail
