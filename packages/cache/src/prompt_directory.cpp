#include <bilberrytrail/cache/prompt_directory.h>

#include "prompt_directory_impl.h"

#include <utility>

namespace bilberrytrail {

using directory::ServerEntry;
using directory::ServerState;
using directory::StoreEntry;
using directory::StoreStatus;

namespace {

// Estimated overhead of a hash table or list node.
constexpr std::size_t kNodeBytes = 64;

} // namespace

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
  PromptLocations locations;
  locations.mCopies.resize(aBlocks.size());
  if (!mImpl->IsOwned(aKey)) {
    return locations;
  }
  locations.mServers = mImpl->FindServers(aBlocks, aNow);
  for (std::size_t n = 0; n < aBlocks.size(); ++n) {
    locations.mCopies[n] = mImpl->FindCopies(aBlocks[n]);
  }
  return locations;
}

void
PromptDirectory::RecordUse(const PromptKey& aKey,
                           std::span<const BlockId> aBlocks)
{
  mImpl->RecordUse(aKey, aBlocks);
}

void
PromptDirectory::OnServerEvent(const ServerId& aServer,
                               const EngineEvent& aEvent,
                               Instant aNow)
{
  const auto server = mImpl->ServerNumber(aServer);
  mImpl->RecordSequence(server, aEvent.mSequence);
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
  mImpl->mServerStates[server] =
    ServerState{ aSequence, 0, ++mImpl->mRevision };
  for (const auto block : aBlocks) {
    mImpl->AddServer(server, block, aNow);
  }
}

void
PromptDirectory::OnServerGone(const ServerId& aServer)
{
  const auto server = mImpl->ServerNumber(aServer);
  mImpl->mServerStates[server] = ServerState{ 0, 0, ++mImpl->mRevision };
  mImpl->mServerNames.Release(aServer);
}

void
PromptDirectory::OnStoreInventory(const StoreId& aStore,
                                  const StoreInventory& aInventory)
{
  const auto store = mImpl->StoreNumber(aStore);
  mImpl->mStoreStates[store] =
    StoreStatus{ aInventory.mIncarnation, ++mImpl->mRevision };
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
  ++mImpl->mRevision;
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
  mImpl->mStoreStates[store].mDropRevision = ++mImpl->mRevision;
  mImpl->mStoreNames.Release(aStore);
}

} // namespace bilberrytrail
