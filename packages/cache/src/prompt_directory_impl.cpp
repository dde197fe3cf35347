#include "prompt_directory_impl.h"

#include <unordered_set>

namespace bilberrytrail {

using directory::PromptRecord;
using directory::ServerEntry;
using directory::StoreEntry;

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
PromptDirectory::Impl::RecordUse(const PromptKey& aKey,
                                 std::span<const BlockId> aBlocks)
{
  const auto known = mPrompts.find(aKey.mRoot);
  if (known != mPrompts.end() && !IsOwned(aKey)) {
    return;
  }
  if (known == mPrompts.end()) {
    if (mPrompts.size() >= mLimits.mMaxPrompts) {
      EvictPrompt(mRecency.back());
    }
    mRecency.push_front(aKey.mRoot);
    mPrompts.emplace(aKey.mRoot, PromptRecord{ aKey, {}, mRecency.begin() });
  }
  auto& record = mPrompts.at(aKey.mRoot);
  mRecency.splice(mRecency.begin(), mRecency, record.mRecency);
  for (const auto block : aBlocks) {
    if (record.mBlocks.size() >= mLimits.mMaxBlocksPerPrompt) {
      DropUnusedBlocks(record, aBlocks);
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
PromptDirectory::Impl::DropUnusedBlocks(PromptRecord& aRecord,
                                        std::span<const BlockId> aBlocks)
{
  const std::unordered_set<BlockId> used(aBlocks.begin(), aBlocks.end());
  std::erase_if(aRecord.mBlocks, [&](BlockId aBlock) {
    return !used.contains(aBlock) && mBlocks.erase(aBlock) > 0;
  });
}

void
PromptDirectory::Impl::EvictPrompt(BlockId aRoot)
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
  entries.push_back({ aServer, mRevision, aNow });
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
                      mRevision,
                      mStoreStates[aStore].mIncarnation,
                      aBlock.mRef });
}

void
PromptDirectory::Impl::RecordSequence(std::uint32_t aServer,
                                      std::uint64_t aSequence)
{
  auto& server = mServerStates[aServer];
  ++mRevision;
  if (aSequence <= server.mSequence) {
    server.mDropRevision = mRevision;
  } else if (aSequence != server.mSequence + 1) {
    server.mGapRevision = mRevision;
  }
  server.mSequence = aSequence;
}

} // namespace bilberrytrail
