#pragma once

#include <bilberrytrail/cache/prompt_directory.h>

#include "name_table.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

namespace directory {

// A block in a server's cache. mRevision is the directory's revision at the
// entry's last update; a gap or a restart only raises a revision in the
// server's state, which entries are compared with when they are read.
struct ServerEntry
{
  std::uint32_t mServer = 0;
  std::uint64_t mRevision = 0;
  Instant mSeenAt;
};

// A sealed copy of a block in a store.
struct StoreEntry
{
  std::uint32_t mStore = 0;
  StoreTier mTier = StoreTier::Memory;
  std::uint64_t mRevision = 0;
  std::uint64_t mIncarnation = 0;
  BlockRef mRef;
};

// Servers and stores that hold one block.
struct BlockRecord
{
  std::vector<ServerEntry> mServers;
  std::vector<StoreEntry> mStores;
};

// A prompt, its owner and the blocks recorded under its root.
struct PromptRecord
{
  PromptKey mKey;
  std::vector<BlockId> mBlocks;
  std::list<BlockId>::iterator mRecency;
};

// State of a server's event stream.
struct ServerState
{
  std::uint64_t mSequence = 0;
  // Entries with a smaller revision are doubtful.
  std::uint64_t mGapRevision = 0;
  // Entries with a smaller revision are invalid.
  std::uint64_t mDropRevision = 0;
};

// State of a store.
struct StoreStatus
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mDropRevision = 0;
};

} // namespace directory

// The directory's entries. Validity is checked when an entry is read, so that
// handling a gap, a restart or a new incarnation takes constant time.
class PromptDirectory::Impl
{
public:
  explicit Impl(const DirectoryLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  [[nodiscard]] bool IsValid(const directory::ServerEntry& aEntry,
                             Instant aNow) const
  {
    const auto& server = mServerStates[aEntry.mServer];
    return aEntry.mRevision >= server.mDropRevision &&
           (!IsDoubtful(aEntry) ||
            aNow - aEntry.mSeenAt < mLimits.mDoubtfulAge);
  }

  [[nodiscard]] bool IsDoubtful(const directory::ServerEntry& aEntry) const
  {
    return aEntry.mRevision < mServerStates[aEntry.mServer].mGapRevision;
  }

  [[nodiscard]] bool IsValid(const directory::StoreEntry& aEntry) const
  {
    const auto& store = mStoreStates[aEntry.mStore];
    return aEntry.mRevision >= store.mDropRevision &&
           aEntry.mIncarnation == store.mIncarnation;
  }

  [[nodiscard]] std::vector<ServerHolding> FindServers(
    std::span<const BlockId> aBlocks,
    Instant aNow) const;
  [[nodiscard]] std::vector<StoreCopy> FindCopies(BlockId aBlock) const;
  [[nodiscard]] bool IsOwned(const PromptKey& aKey) const;

  std::uint32_t ServerNumber(const ServerId& aServer)
  {
    const auto n = mServerNames.NumberOf(aServer);
    mServerStates.resize(std::max<std::size_t>(mServerStates.size(), n + 1));
    return n;
  }

  std::uint32_t StoreNumber(const StoreId& aStore)
  {
    const auto n = mStoreNames.NumberOf(aStore);
    mStoreStates.resize(std::max<std::size_t>(mStoreStates.size(), n + 1));
    return n;
  }

  void RecordUse(const PromptKey& aKey, std::span<const BlockId> aBlocks);
  // Drops the record's blocks that are not in aBlocks.
  void DropUnusedBlocks(directory::PromptRecord& aRecord,
                        std::span<const BlockId> aBlocks);
  void EvictPrompt(BlockId aRoot);
  void AddServer(std::uint32_t aServer, BlockId aBlock, Instant aNow);
  void RemoveServer(std::uint32_t aServer, BlockId aBlock);
  void AddStore(std::uint32_t aStore, const StoredBlock& aBlock);
  void RecordSequence(std::uint32_t aServer, std::uint64_t aSequence);

  DirectoryLimits mLimits;
  std::unordered_map<BlockId, directory::PromptRecord> mPrompts;
  std::unordered_map<BlockId, directory::BlockRecord> mBlocks;
  // Roots of the prompts, most recently used first.
  std::list<BlockId> mRecency;
  NameTable<ServerId> mServerNames;
  NameTable<StoreId> mStoreNames;
  std::vector<directory::ServerState> mServerStates;
  std::vector<directory::StoreStatus> mStoreStates;
  std::uint64_t mRevision = 0;
};

} // namespace bilberrytrail
