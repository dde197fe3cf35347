#include "directory_service.h"

#include <algorithm>

namespace bilberrytrail {

DaemonId
HomeOfPrompt(const PromptKey& aKey, const ControlView& aView)
{
  const std::string name = "prompt/" + aKey.mProduct.Text() + "/" +
                           aKey.mAccount.Text() + "/" +
                           std::to_string(aKey.mRoot.Value());
  return HomeOf(name, aView.mHomes);
}

DirectoryService::DirectoryService(const DirectoryLimits& aLimits)
  : mDirectory(aLimits)
{
}

PromptLocations
DirectoryService::Find(const DirectoryQuery& aQuery, Instant aNow)
{
  const std::lock_guard lock(mMutex);
  auto locations = mDirectory.Find(aQuery.mKey, aQuery.mBlocks, aNow);
  mDirectory.RecordUse(aQuery.mKey, aQuery.mBlocks);
  return locations;
}

void
DirectoryService::Apply(const DirectoryUpdate& aUpdate, Instant aNow)
{
  const std::lock_guard lock(mMutex);
  for (const auto& it : aUpdate.mServers) {
    Apply(it, aNow);
  }
  for (const auto& it : aUpdate.mStores) {
    Apply(it);
  }
}

void
DirectoryService::Apply(const ServerChange& aChange, Instant aNow)
{
  auto& sequence = mSequences[aChange.mServer];
  EngineEvent event;
  event.mKind = EngineEventKind::BlockEvicted;
  event.mSequence = ++sequence;
  event.mBlocks = aChange.mEvicted;
  mDirectory.OnServerEvent(aChange.mServer, event, aNow);
  event.mKind = EngineEventKind::BlockCached;
  event.mSequence = ++sequence;
  event.mBlocks = aChange.mCached;
  mDirectory.OnServerEvent(aChange.mServer, event, aNow);
}

void
DirectoryService::Apply(const StoreChange& aChange)
{
  if (aChange.mIsNew) {
    StoreInventory empty;
    empty.mIncarnation = aChange.mIncarnation;
    mDirectory.OnStoreInventory(aChange.mStore, empty);
  }
  for (const auto& it : aChange.mFreed) {
    mDirectory.OnStoreFreed(aChange.mStore, it);
  }
  for (const auto& it : aChange.mSealed) {
    mDirectory.OnStoreSealed(aChange.mStore, aChange.mIncarnation, it);
  }
}

DirectoryUpdates::DirectoryUpdates(std::size_t aMaxBlocks)
  : mMaxBlocks(aMaxBlocks)
{
}

DirectoryUpdate*
DirectoryUpdates::RoomFor(const DaemonId& aHome)
{
  if (mBlocks >= mMaxBlocks || aHome.IsEmpty()) {
    return nullptr;
  }
  auto& messages = mMessages[aHome];
  if (messages.empty() || messages.back().mBlocks >= kMaxBlocksPerMessage) {
    messages.emplace_back();
  }
  ++messages.back().mBlocks;
  ++mBlocks;
  return &messages.back().mUpdate;
}

ServerChange&
DirectoryUpdates::ChangeOf(DirectoryUpdate& aUpdate, const ServerId& aServer)
{
  for (auto& it : aUpdate.mServers) {
    if (it.mServer == aServer) {
      return it;
    }
  }
  auto& change = aUpdate.mServers.emplace_back();
  change.mServer = aServer;
  return change;
}

StoreChange&
DirectoryUpdates::ChangeOf(DirectoryUpdate& aUpdate,
                           const StoreId& aStore,
                           std::uint64_t aIncarnation)
{
  for (auto& it : aUpdate.mStores) {
    if (it.mStore == aStore && it.mIncarnation == aIncarnation) {
      return it;
    }
  }
  auto& change = aUpdate.mStores.emplace_back();
  change.mStore = aStore;
  change.mIncarnation = aIncarnation;
  return change;
}

void
DirectoryUpdates::AddCached(const DaemonId& aHome,
                            const ServerId& aServer,
                            BlockId aBlock)
{
  const std::lock_guard lock(mMutex);
  if (auto* update = RoomFor(aHome)) {
    auto& change = ChangeOf(*update, aServer);
    std::erase(change.mEvicted, aBlock);
    change.mCached.push_back(aBlock);
  }
}

void
DirectoryUpdates::AddEvicted(const DaemonId& aHome,
                             const ServerId& aServer,
                             BlockId aBlock)
{
  const std::lock_guard lock(mMutex);
  if (auto* update = RoomFor(aHome)) {
    auto& change = ChangeOf(*update, aServer);
    std::erase(change.mCached, aBlock);
    change.mEvicted.push_back(aBlock);
  }
}

void
DirectoryUpdates::AddSealed(const DaemonId& aHome,
                            const StoreId& aStore,
                            std::uint64_t aIncarnation,
                            const StoredBlock& aBlock)
{
  const std::lock_guard lock(mMutex);
  if (auto* update = RoomFor(aHome)) {
    ChangeOf(*update, aStore, aIncarnation).mSealed.push_back(aBlock);
  }
}

void
DirectoryUpdates::AddFreed(const DaemonId& aHome,
                           const StoreId& aStore,
                           std::uint64_t aIncarnation,
                           const BlockRef& aRef)
{
  const std::lock_guard lock(mMutex);
  if (auto* update = RoomFor(aHome)) {
    auto& change = ChangeOf(*update, aStore, aIncarnation);
    std::erase_if(change.mSealed, [&](const StoredBlock& aBlock) {
      return aBlock.mRef.mBlock == aRef.mBlock &&
             aBlock.mRef.mGeneration <= aRef.mGeneration;
    });
    change.mFreed.push_back(aRef);
  }
}

void
DirectoryUpdates::AddNewStore(const DaemonId& aHome,
                              const StoreId& aStore,
                              std::uint64_t aIncarnation)
{
  const std::lock_guard lock(mMutex);
  if (auto* update = RoomFor(aHome)) {
    ChangeOf(*update, aStore, aIncarnation).mIsNew = true;
  }
}

std::multimap<DaemonId, DirectoryUpdate>
DirectoryUpdates::Take()
{
  const std::lock_guard lock(mMutex);
  std::multimap<DaemonId, DirectoryUpdate> taken;
  for (auto& [home, messages] : mMessages) {
    for (auto& message : messages) {
      taken.emplace(home, std::move(message.mUpdate));
    }
  }
  mMessages.clear();
  mBlocks = 0;
  return taken;
}

PromptOwners::PromptOwners(std::size_t aMaxPrompts)
  : mMaxPrompts(aMaxPrompts)
{
}

std::optional<PromptKey>
PromptOwners::Find(BlockId aBlock) const
{
  const std::lock_guard lock(mMutex);
  const auto root = mRoots.find(aBlock);
  if (root == mRoots.end()) {
    return std::nullopt;
  }
  return mPrompts.at(root->second).mKey;
}

void
PromptOwners::Note(const PromptKey& aKey, std::span<const BlockId> aBlocks)
{
  const std::lock_guard lock(mMutex);
  Forget(aKey.mRoot);
  if (mPrompts.size() >= mMaxPrompts) {
    Forget(mRecency.back());
  }
  mRecency.push_front(aKey.mRoot);
  Prompt prompt{ aKey, {}, mRecency.begin() };
  for (const auto block : aBlocks) {
    if (mRoots.emplace(block, aKey.mRoot).second) {
      prompt.mBlocks.push_back(block);
    }
  }
  mPrompts.emplace(aKey.mRoot, std::move(prompt));
}

void
PromptOwners::Forget(BlockId aRoot)
{
  const auto it = mPrompts.find(aRoot);
  if (it == mPrompts.end()) {
    return;
  }
  for (const auto block : it->second.mBlocks) {
    mRoots.erase(block);
  }
  mRecency.erase(it->second.mRecency);
  mPrompts.erase(it);
}

} // namespace bilberrytrail
