#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// Leading blocks of a request that other requests are already importing or
// computing on a server.
struct PendingPrefix
{
  // Number of blocks, from the start of the span.
  std::uint32_t mBlocks = 0;
  // Time at which the last of them is expected to be resident.
  Instant mReadyAt{};
};

// Tracks which blocks are being imported or computed on which server, so that
// concurrent requests with the same prefix do not repeat the work: they wait
// for it or go to another server. Soft state, held by the server's home.
//
//   const auto pending = inflight.Find(server, missing, now);
//   if (pending.mBlocks == 0 &&
//       inflight.Begin(server, attempt, missing, readyAt, now)) { ... }
//   for (const auto& waiter : inflight.Finish(server, attempt)) { ... }
class InflightPrefixes
{
public:
  // Work that has not finished aGrace after its expected end is considered
  // lost.
  explicit InflightPrefixes(Duration aGrace = 5s);

  // Returns the leading blocks of the span that are being imported or computed.
  [[nodiscard]] PendingPrefix Find(const ServerId& aServer,
                                   std::span<const BlockId> aBlocks,
                                   Instant aNow) const;

  // Claims the blocks for an attempt. Returns false, and claims nothing, when
  // any of them is already claimed or the attempt already has a claim there.
  [[nodiscard]] bool Begin(const ServerId& aServer,
                           const AttemptId& aAttempt,
                           std::span<const BlockId> aBlocks,
                           Instant aReadyAt,
                           Instant aNow);
  // Adds a waiter for the work on a block; false when the block is not claimed.
  [[nodiscard]] bool Wait(const ServerId& aServer,
                          BlockId aBlock,
                          const AttemptId& aWaiter,
                          Instant aNow);
  // Removes an attempt's work, which is done or has failed. Returns its
  // waiters, which must plan again with the blocks that are resident now.
  [[nodiscard]] std::vector<AttemptId> Finish(const ServerId& aServer,
                                              const AttemptId& aAttempt);
  // Removes work whose grace period has passed; returns its waiters.
  [[nodiscard]] std::vector<AttemptId> Expire(Instant aNow);
  // Removes a server; returns the waiters of all work there.
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
