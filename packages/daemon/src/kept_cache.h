#pragma once

#include "directory_service.h"
#include "inflight_gate.h"
#include "store_service.h"
#include "thread_context.h"

#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

// What a daemon knows and does about kept KV cache: its part of the prompt
// directory, the stores that it is home to, and the calls to other daemons
// about both. Every failure means that nothing is known. Thread-safe; the
// calls that take a ThreadContext run on a fiber of its loop.
class KeptCache
{
public:
  KeptCache(const DaemonSettings& aSettings, ControlViewHolder& aViews);

  [[nodiscard]] bool IsEnabled() const noexcept;
  [[nodiscard]] const DaemonSettings& Settings() const noexcept
  {
    return mSettings;
  }
  // Returns the expected bytes of one block of KV cache.
  [[nodiscard]] std::uint64_t BlockBytes() const noexcept;
  [[nodiscard]] StoreService& Stores() noexcept { return mStores; }
  [[nodiscard]] InflightGate& Inflight() noexcept { return mInflight; }

  // Adds the calls that other daemons make.
  void AddMethods(RpcMethods& aMethods);

  // Asks the home of the prompt where its blocks are.
  [[nodiscard]] PromptLocations Find(ThreadContext& aThread,
                                     const DirectoryQuery& aQuery);
  // Asks the homes of the stores that hold copies about their links.
  [[nodiscard]] std::vector<StoreLink> Links(ThreadContext& aThread,
                                             const PromptLocations& aWhere);
  // Returns where a store listens; nothing when it is not listed.
  [[nodiscard]] std::optional<Endpoint> EndpointOf(const StoreId& aStore) const;
  // Takes a place on a store's link for an import.
  [[nodiscard]] std::optional<LinkPlace> Reserve(ThreadContext& aThread,
                                                 const StoreId& aStore,
                                                 std::uint64_t aBytes);
  // Tells a store's home how many imported bytes were used; nothing when the
  // import did not take place.
  void Settle(ThreadContext& aThread,
              const StoreId& aStore,
              std::uint64_t aNumber,
              std::optional<std::uint64_t> aUsed);

  // Has a store's home free its copy of a block, which does not match.
  void Release(ThreadContext& aThread, const StoreId& aStore, BlockId aBlock);

  // A request with the prompt runs on a server that this daemon is home to.
  void NoteOwner(const PromptKey& aKey, std::span<const BlockId> aBlocks);
  // A server has cached or evicted blocks: tells the homes of their prompts.
  void NoteCached(const ServerId& aServer, std::span<const BlockId> aBlocks);
  void NoteEvicted(const ServerId& aServer, std::span<const BlockId> aBlocks);
  // Tells the prompt's home of the blocks that a store holds, as far as it
  // was not told before.
  void AnnounceKept(HomedStore& aStore,
                    const PromptKey& aKey,
                    std::span<const BlockId> aBlocks);
  // A copy is gone or did not match: tells the prompt's home.
  void NoteFreed(const PromptKey& aKey, const StoreCopy& aCopy);
  // As above for a block whose prompt may not be known.
  void NoteFreed(const StoreCopy& aCopy);
  void NoteNewStore(const DaemonId& aHome,
                    const StoreId& aStore,
                    std::uint64_t aIncarnation);
  // Sends the changes noted since the last call.
  void SendUpdates(ThreadContext& aThread);

private:
  // Returns the daemon to call about a store; null when it is this one.
  [[nodiscard]] static const MemberRecord* PeerOf(const ControlView& aView,
                                                  const DaemonId& aHome);
  [[nodiscard]] static const MemberRecord* HomeOfStore(const ControlView& aView,
                                                       const StoreId& aStore);
  [[nodiscard]] Result<Json> AnswerLinks(const Json& aParams);
  [[nodiscard]] Result<Json> AnswerReserve(const Json& aParams);
  [[nodiscard]] Result<Json> AnswerSettle(const Json& aParams);
  [[nodiscard]] Result<Json> AnswerRelease(const Json& aParams);

  const DaemonSettings& mSettings;
  ControlViewHolder& mViews;
  DirectoryService mDirectory;
  DirectoryUpdates mUpdates;
  PromptOwners mOwners;
  StoreService mStores;
  InflightGate mInflight;
};

} // namespace bilberrytrail
