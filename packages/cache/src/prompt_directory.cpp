#include <bilberrytrail/cache/prompt_directory.h>

#include "name_table.h"

#include <algorithm>
#include <list>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace bilberrytrail {

namespace {

// A block in a server's cache. mOrder counts the directory's updates, so that
// a gap or a restart is compared with it instead of visiting all entries.
struct ServerEntry
{
  std::uint32_t mServer = 0;
  std::uint64_t mOrder = 0;
  Instant mSeenAt;
};

struct StoreEntry
{
  std::uint32_t mStore = 0;
  StoreTier mTier = StoreTier::Memory;
  std::uint64_t mOrder = 0;
  std::uint64_t mIncarnation = 0;
  BlockRef mRef;
};

struct BlockRecord
{
  std::vector<ServerEntry> mServers;
  std::vector<StoreEntry> mStores;
};

struct PromptRecord
{
  PromptKey mKey;
  std::vector<BlockId> mBlocks;
  std::list<BlockId>::iterator mRecency;
};

struct ServerState
{
  std::uint64_t mSequence = 0;
  // Entries with a smaller order are doubtful.
  std::uint64_t mGapOrder = 0;
  // Entries with a smaller order are dropped.
  std::uint64_t mDropOrder = 0;
};

struct StoreStatus
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mDropOrder = 0;
};

// Links of a hash node and a list node, for the estimate of memory.
constexpr std::size_t kNodeBytes = 64;

} // namespace

class PromptDirectory::Impl
{
public:
  explicit Impl(const DirectoryLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  [[nodiscard]] bool IsValid(const ServerEntry& aEntry, Instant aNow) const
  {
    const auto& server = mServerStates[aEntry.mServer];
    return aEntry.mOrder >= server.mDropOrder &&
           (!IsDoubtful(aEntry) ||
            aNow - aEntry.mSeenAt < mLimits.mDoubtfulAge);
  }

  [[nodiscard]] bool IsDoubtful(const ServerEntry& aEntry) const
  {
    return aEntry.mOrder < mServerStates[aEntry.mServer].mGapOrder;
  }

  [[nodiscard]] bool IsValid(const StoreEntry& aEntry) const
  {
    const auto& store = mStoreStates[aEntry.mStore];
    return aEntry.mOrder >= store.mDropOrder &&
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

  void NoteUse(const PromptKey& aKey, std::span<const BlockId> aBlocks);
  // Forgets the record's blocks that the present prompt does not have.
  void DropOthers(PromptRecord& aRecord, std::span<const BlockId> aBlocks);
  void Forget(BlockId aRoot);
  void AddServer(std::uint32_t aServer, BlockId aBlock, Instant aNow);
  void RemoveServer(std::uint32_t aServer, BlockId aBlock);
  void AddStore(std::uint32_t aStore, const StoredBlock& aBlock);
  void NoteSequence(std::uint32_t aServer, std::uint64_t aSequence);

  DirectoryLimits mLimits;
  std::unordered_map<BlockId, PromptRecord> mPrompts;
  std::unordered_map<BlockId, BlockRecord> mBlocks;
  // Roots, the most recently used first.
  std::list<BlockId> mRecency;
  NameTable<ServerId> mServerNames;
  NameTable<StoreId> mStoreNames;
  std::vector<ServerState> mServerStates;
  std::vector<StoreStatus> mStoreStates;
  std::uint64_t mOrder = 0;
};

bool
PromptDirectory::Impl::IsOwned(const PromptKey& aKey) const
{
  const auto it = mPrompts.find(aKey.mRoot);
  return it != mPrompts.end() && it->second.mKey == aKey;
}

std::vector<ServerHolding>
PromptDirectory::Impl::FindServers(std::span<const BlockId> aBlocks,
                                   Instant aNow) const
{
  std::vector<ServerHolding> holdings;
  std::vector<std::uint32_t> numbers;
  for (std::size_t n = 0; n < aBlocks.size(); ++n) {
    const auto it = mBlocks.find(aBlocks[n]);
    if (it == mBlocks.end()) {
      break;
    }
    for (const auto& entry : it->second.mServers) {
      if (!IsValid(entry, aNow)) {
        continue;
      }
      const auto at = std::find(numbers.begin(), numbers.end(), entry.mServer);
      const auto index = static_cast<std::size_t>(at - numbers.begin());
      if (at == numbers.end() && n == 0) {
        numbers.push_back(entry.mServer);
        holdings.push_back({ mServerNames.NameOf(entry.mServer), 0, false });
      }
      if (index < holdings.size() && holdings[index].mBlocks == n) {
        ++holdings[index].mBlocks;
        holdings[index].mIsDoubtful |= IsDoubtful(entry);
      }
    }
  }
  return holdings;
}

std::vector<StoreCopy>
PromptDirectory::Impl::FindCopies(BlockId aBlock) const
{
  std::vector<StoreCopy> copies;
  const auto it = mBlocks.find(aBlock);
  if (it == mBlocks.end()) {
    return copies;
  }
  for (const auto& entry : it->second.mStores) {
    if (IsValid(entry)) {
      copies.push_back({ mStoreNames.NameOf(entry.mStore),
                         entry.mIncarnation,
                         entry.mRef,
                         entry.mTier });
    }
  }
  return copies;
}

void
PromptDirectory::Impl::NoteUse(const PromptKey& aKey,
                               std::span<const BlockId> aBlocks)
{
  const auto known = mPrompts.find(aKey.mRoot);
  if (known != mPrompts.end() && !IsOwned(aKey)) {
    return;
  }
  if (known == mPrompts.end()) {
    if (mPrompts.size() >= mLimits.mMaxPrompts) {
      Forget(mRecency.back());
    }
    mRecency.push_front(aKey.mRoot);
    mPrompts.emplace(aKey.mRoot, PromptRecord{ aKey, {}, mRecency.begin() });
  }
  auto& record = mPrompts.at(aKey.mRoot);
  mRecency.splice(mRecency.begin(), mRecency, record.mRecency);
  for (const auto block : aBlocks) {
    if (record.mBlocks.size() >= mLimits.mMaxBlocksPerPrompt) {
      DropOthers(record, aBlocks);
    }
    if (record.mBlocks.size() >= mLimits.mMaxBlocksPerPrompt) {
      break;
    }
    if (mBlocks.try_emplace(block).second) {
      record.mBlocks.push_back(block);
    }
  }
}

void
PromptDirectory::Impl::DropOthers(PromptRecord& aRecord,
                                  std::span<const BlockId> aBlocks)
{
  const std::unordered_set<BlockId> kept(aBlocks.begin(), aBlocks.end());
  std::erase_if(aRecord.mBlocks, [&](BlockId aBlock) {
    return !kept.contains(aBlock) && mBlocks.erase(aBlock) > 0;
  });
}

void
PromptDirectory::Impl::Forget(BlockId aRoot)
{
  const auto it = mPrompts.find(aRoot);
  for (const auto block : it->second.mBlocks) {
    mBlocks.erase(block);
  }
  mRecency.erase(it->second.mRecency);
  mPrompts.erase(it);
}

void
PromptDirectory::Impl::AddServer(std::uint32_t aServer,
                                 BlockId aBlock,
                                 Instant aNow)
{
  const auto it = mBlocks.find(aBlock);
  if (it == mBlocks.end()) {
    return;
  }
  auto& entries = it->second.mServers;
  std::erase_if(entries, [&](const ServerEntry& aEntry) {
    return aEntry.mServer == aServer || !IsValid(aEntry, aNow);
  });
  if (entries.size() >= mLimits.mMaxServersPerBlock) {
    entries.erase(entries.begin());
  }
  entries.push_back({ aServer, mOrder, aNow });
}

void
PromptDirectory::Impl::RemoveServer(std::uint32_t aServer, BlockId aBlock)
{
  const auto it = mBlocks.find(aBlock);
  if (it != mBlocks.end()) {
    std::erase_if(it->second.mServers, [&](const ServerEntry& aEntry) {
      return aEntry.mServer == aServer;
    });
  }
}

void
PromptDirectory::Impl::AddStore(std::uint32_t aStore, const StoredBlock& aBlock)
{
  const auto it = mBlocks.find(aBlock.mRef.mBlock);
  if (it == mBlocks.end()) {
    return;
  }
  auto& entries = it->second.mStores;
  std::erase_if(entries, [&](const StoreEntry& aEntry) {
    return aEntry.mStore == aStore || !IsValid(aEntry);
  });
  if (entries.size() >= mLimits.mMaxStoresPerBlock) {
    entries.erase(entries.begin());
  }
  entries.push_back({ aStore,
                      aBlock.mTier,
                      mOrder,
                      mStoreStates[aStore].mIncarnation,
                      aBlock.mRef });
}

void
PromptDirectory::Impl::NoteSequence(std::uint32_t aServer,
                                    std::uint64_t aSequence)
{
  auto& server = mServerStates[aServer];
  ++mOrder;
  if (aSequence <= server.mSequence) {
    server.mDropOrder = mOrder;
  } else if (aSequence != server.mSequence + 1) {
    server.mGapOrder = mOrder;
  }
  server.mSequence = aSequence;
}

PromptDirectory::PromptDirectory(const DirectoryLimits& aLimits)
  : mImpl(std::make_unique<Impl>(aLimits))
{
}

PromptDirectory::~PromptDirectory() = default;

std::size_t
PromptDirectory::Prompts() const noexcept
{
  return mImpl->mPrompts.size();
}

std::size_t
PromptDirectory::StateBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [root, record] : mImpl->mPrompts) {
    bytes += sizeof(record) + 2 * kNodeBytes;
    bytes += record.mBlocks.capacity() * sizeof(BlockId);
  }
  for (const auto& [block, record] : mImpl->mBlocks) {
    bytes += sizeof(record) + kNodeBytes;
    bytes += record.mServers.capacity() * sizeof(ServerEntry);
    bytes += record.mStores.capacity() * sizeof(StoreEntry);
  }
  return bytes;
}

PromptLocations
PromptDirectory::Find(const PromptKey& aKey,
                      std::span<const BlockId> aBlocks,
                      Instant aNow) const
{
  PromptLocations where;
  where.mCopies.resize(aBlocks.size());
  if (!mImpl->IsOwned(aKey)) {
    return where;
  }
  where.mServers = mImpl->FindServers(aBlocks, aNow);
  for (std::size_t n = 0; n < aBlocks.size(); ++n) {
    where.mCopies[n] = mImpl->FindCopies(aBlocks[n]);
  }
  return where;
}

void
PromptDirectory::NoteUse(const PromptKey& aKey,
                         std::span<const BlockId> aBlocks)
{
  mImpl->NoteUse(aKey, aBlocks);
}

void
PromptDirectory::OnServerEvent(const ServerId& aServer,
                               const EngineEvent& aEvent,
                               Instant aNow)
{
  const auto server = mImpl->ServerNumber(aServer);
  mImpl->NoteSequence(server, aEvent.mSequence);
  for (const auto block : aEvent.mBlocks) {
    if (aEvent.mKind == EngineEventKind::BlockCached) {
      mImpl->AddServer(server, block, aNow);
    } else if (aEvent.mKind == EngineEventKind::BlockEvicted) {
      mImpl->RemoveServer(server, block);
    }
  }
}

void
PromptDirectory::OnServerInventory(const ServerId& aServer,
                                   std::uint64_t aSequence,
                                   std::span<const BlockId> aBlocks,
                                   Instant aNow)
{
  const auto server = mImpl->ServerNumber(aServer);
  mImpl->mServerStates[server] = ServerState{ aSequence, 0, ++mImpl->mOrder };
  for (const auto block : aBlocks) {
    mImpl->AddServer(server, block, aNow);
  }
}

void
PromptDirectory::OnServerGone(const ServerId& aServer)
{
  const auto server = mImpl->ServerNumber(aServer);
  mImpl->mServerStates[server] = ServerState{ 0, 0, ++mImpl->mOrder };
  mImpl->mServerNames.Release(aServer);
}

void
PromptDirectory::OnStoreInventory(const StoreId& aStore,
                                  const StoreInventory& aInventory)
{
  const auto store = mImpl->StoreNumber(aStore);
  mImpl->mStoreStates[store] =
    StoreStatus{ aInventory.mIncarnation, ++mImpl->mOrder };
  for (const auto& block : aInventory.mBlocks) {
    mImpl->AddStore(store, block);
  }
}

void
PromptDirectory::OnStoreSealed(const StoreId& aStore,
                               std::uint64_t aIncarnation,
                               const StoredBlock& aBlock)
{
  const auto store = mImpl->StoreNumber(aStore);
  ++mImpl->mOrder;
  mImpl->mStoreStates[store].mIncarnation = aIncarnation;
  mImpl->AddStore(store, aBlock);
}

void
PromptDirectory::OnStoreFreed(const StoreId& aStore, const BlockRef& aRef)
{
  const auto store = mImpl->StoreNumber(aStore);
  const auto it = mImpl->mBlocks.find(aRef.mBlock);
  if (it == mImpl->mBlocks.end()) {
    return;
  }
  std::erase_if(it->second.mStores, [&](const StoreEntry& aEntry) {
    return aEntry.mStore == store &&
           aEntry.mRef.mGeneration.Value() <= aRef.mGeneration.Value();
  });
}

void
PromptDirectory::OnStoreGone(const StoreId& aStore)
{
  const auto store = mImpl->StoreNumber(aStore);
  mImpl->mStoreStates[store].mDropOrder = ++mImpl->mOrder;
  mImpl->mStoreNames.Release(aStore);
}

} // namespace bilberrytrail
