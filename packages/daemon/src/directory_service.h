#pragma once

#include "control_view.h"
#include "directory_message.h"

#include <bilberrytrail/base/time.h>

#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// Returns the home of a prompt; empty when no daemon is known.
[[nodiscard]] DaemonId
HomeOfPrompt(const PromptKey& aKey, const ControlView& aView);

// The part of the prompt directory that this daemon is home to. Soft state:
// rebuilt from queries, and from the updates of the homes of servers and
// stores. Thread-safe.
class DirectoryService
{
public:
  explicit DirectoryService(const DirectoryLimits& aLimits);

  // Returns where the blocks are, and keeps updates of them from now on.
  [[nodiscard]] PromptLocations Find(const DirectoryQuery& aQuery,
                                     Instant aNow);
  void Apply(const DirectoryUpdate& aUpdate, Instant aNow);

private:
  void Apply(const ServerChange& aChange, Instant aNow);
  void Apply(const StoreChange& aChange);

  std::mutex mMutex;
  PromptDirectory mDirectory;
  // The homes of servers send only what concerns this daemon, so that events
  // are numbered anew here.
  std::unordered_map<ServerId, std::uint64_t> mSequences;
};

// Gathers changes for the homes of prompts and hands them out in batches.
// Bounded: what does not fit is dropped, which costs a recompute. Thread-safe.
class DirectoryUpdates
{
public:
  explicit DirectoryUpdates(std::size_t aMaxBlocks);

  void AddCached(const DaemonId& aHome,
                 const ServerId& aServer,
                 BlockId aBlock);
  void AddEvicted(const DaemonId& aHome,
                  const ServerId& aServer,
                  BlockId aBlock);
  void AddSealed(const DaemonId& aHome,
                 const StoreId& aStore,
                 std::uint64_t aIncarnation,
                 const StoredBlock& aBlock);
  void AddFreed(const DaemonId& aHome,
                const StoreId& aStore,
                std::uint64_t aIncarnation,
                const BlockRef& aRef);
  // The store has a new incarnation and holds nothing.
  void AddNewStore(const DaemonId& aHome,
                   const StoreId& aStore,
                   std::uint64_t aIncarnation);
  // Returns the changes gathered since the last call, as messages of at most
  // kMaxBlocksPerMessage blocks.
  [[nodiscard]] std::multimap<DaemonId, DirectoryUpdate> Take();

private:
  // Returns the message with room for one more block; null when all is full.
  [[nodiscard]] DirectoryUpdate* RoomFor(const DaemonId& aHome);
  [[nodiscard]] static ServerChange& ChangeOf(DirectoryUpdate& aUpdate,
                                              const ServerId& aServer);
  [[nodiscard]] static StoreChange& ChangeOf(DirectoryUpdate& aUpdate,
                                             const StoreId& aStore,
                                             std::uint64_t aIncarnation);

  struct Message
  {
    DirectoryUpdate mUpdate;
    std::size_t mBlocks = 0;
  };

  const std::size_t mMaxBlocks;
  std::mutex mMutex;
  std::size_t mBlocks = 0;
  std::map<DaemonId, std::vector<Message>> mMessages;
};

// Knows to which prompts blocks belong, from the requests that were run here:
// events of servers and inventories of stores name blocks only. Bounded, the
// oldest prompts are forgotten first. Thread-safe.
class PromptOwners
{
public:
  explicit PromptOwners(std::size_t aMaxPrompts);

  // Returns the prompt of a block; nothing when it is not known.
  [[nodiscard]] std::optional<PromptKey> Find(BlockId aBlock) const;

  void Note(const PromptKey& aKey, std::span<const BlockId> aBlocks);

private:
  struct Prompt
  {
    PromptKey mKey;
    std::vector<BlockId> mBlocks;
    std::list<BlockId>::iterator mRecency;
  };

  void Forget(BlockId aRoot);

  const std::size_t mMaxPrompts;
  mutable std::mutex mMutex;
  std::unordered_map<BlockId, Prompt> mPrompts;
  std::unordered_map<BlockId, BlockId> mRoots;
  // Roots, the most recently used first.
  std::list<BlockId> mRecency;
};

} // namespace bilberrytrail
