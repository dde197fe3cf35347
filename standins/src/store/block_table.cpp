#include "store/block_table.h"

#include "engine/kv_content.h"

#include <algorithm>
#include <utility>

namespace bilberrytrail::standins {

BlockTable::BlockTable(const BlockTableLimits& aLimits)
  : mLimits(aLimits)
  , mMemoryFree(aLimits.mMemoryBytes)
  , mDiskFree(aLimits.mDiskBytes)
{
}

BlockState
BlockTable::StateOf(BlockId aBlock) const
{
  const auto it = mEntries.find(aBlock);
  return it == mEntries.end() ? BlockState::Free : it->second.mState;
}

StoreTier
BlockTable::TierOf(BlockId aBlock) const
{
  const auto it = mEntries.find(aBlock);
  return it == mEntries.end() ? StoreTier::Memory : it->second.mTier;
}

Result<std::string>
BlockTable::Read(BlockId aBlock, Generation aGeneration) const
{
  const auto it = mEntries.find(aBlock);
  if (it == mEntries.end() || it->second.mRef.mGeneration != aGeneration) {
    return Fail(ErrorCode::NotFound, "no such block");
  }
  const auto& entry = it->second;
  const bool isPinned = !entry.mPins.empty();
  if (entry.mState != BlockState::Sealed &&
      !(entry.mState == BlockState::Retiring && isPinned)) {
    return Fail(ErrorCode::NotFound, "the block is not sealed");
  }
  return entry.mContent;
}

StoreInventory
BlockTable::Inventory() const
{
  StoreInventory inventory;
  inventory.mMemoryBytes = mLimits.mMemoryBytes;
  inventory.mMemoryFreeBytes = mMemoryFree;
  inventory.mDiskBytes = mLimits.mDiskBytes;
  inventory.mDiskFreeBytes = mDiskFree;
  for (const auto& [block, entry] : mEntries) {
    if (entry.mState == BlockState::Sealed) {
      inventory.mBlocks.push_back({ entry.mRef, entry.mTier });
    }
  }
  return inventory;
}

void
BlockTable::Expire(Instant aNow)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    auto& entry = it->second;
    std::erase_if(entry.mPins,
                  [aNow](const auto& aPin) { return aPin.second <= aNow; });
    const bool isOverdue = (entry.mState == BlockState::Reserved ||
                            entry.mState == BlockState::Writing) &&
                           entry.mReservedUntil <= aNow;
    const bool isRetired =
      entry.mState == BlockState::Retiring && entry.mPins.empty();
    it = isOverdue || isRetired ? Erase(it) : std::next(it);
  }
}

Result<BlockRef>
BlockTable::Reserve(BlockId aBlock, std::uint64_t aBytes, Instant aNow)
{
  Expire(aNow);
  if (mEntries.contains(aBlock)) {
    return Fail(ErrorCode::Conflict, "the block is kept already");
  }
  const auto tier = mMemoryFree >= aBytes ? StoreTier::Memory : StoreTier::Disk;
  if (FreeBytes(tier) < aBytes) {
    return Fail(ErrorCode::Exhausted, "the store is full");
  }
  FreeBytes(tier) -= aBytes;
  mLastGeneration = mLastGeneration.Next();
  Entry entry;
  entry.mRef = BlockRef{ aBlock, mLastGeneration, aBytes, 0 };
  entry.mTier = tier;
  entry.mReservedBytes = aBytes;
  entry.mReservedUntil = aNow + mLimits.mReserveTime;
  return mEntries.emplace(aBlock, std::move(entry)).first->second.mRef;
}

Result<void>
BlockTable::BeginWrite(BlockId aBlock,
                       Generation aGeneration,
                       std::uint64_t aBytes)
{
  auto* entry = Find(aBlock, aGeneration);
  if (entry == nullptr || entry->mState != BlockState::Reserved) {
    return Fail(ErrorCode::Conflict, "the block is not reserved");
  }
  if (aBytes > entry->mReservedBytes) {
    return Fail(ErrorCode::TooLarge, "the block does not fit");
  }
  entry->mState = BlockState::Writing;
  return Ok();
}

Result<void>
BlockTable::EndWrite(BlockId aBlock,
                     Generation aGeneration,
                     std::string aContent)
{
  auto* entry = Find(aBlock, aGeneration);
  if (entry == nullptr || entry->mState != BlockState::Writing ||
      entry->mIsWritten) {
    return Fail(ErrorCode::Conflict, "the block is not being written");
  }
  entry->mRef.mBytes = aContent.size();
  entry->mRef.mChecksum = KvChecksum(aContent);
  entry->mContent = std::move(aContent);
  entry->mIsWritten = true;
  return Ok();
}

Result<void>
BlockTable::Seal(const BlockRef& aRef)
{
  auto* entry = Find(aRef.mBlock, aRef.mGeneration);
  if (entry == nullptr || !entry->mIsWritten || entry->mRef != aRef ||
      entry->mState == BlockState::Retiring) {
    return Fail(ErrorCode::Conflict, "the written block differs");
  }
  entry->mState = BlockState::Sealed;
  return Ok();
}

std::vector<BlockPin>
BlockTable::Pin(const std::vector<BlockRef>& aRefs,
                Duration aLength,
                Instant aNow)
{
  Expire(aNow);
  const auto length = std::min(aLength, mLimits.mPinTime);
  std::vector<BlockPin> pins;
  for (const auto& ref : aRefs) {
    auto* entry = Find(ref.mBlock, ref.mGeneration);
    if (entry == nullptr || entry->mState != BlockState::Sealed) {
      continue;
    }
    const auto name = std::to_string(++mLastPin);
    entry->mPins[name] = aNow + length;
    pins.push_back({ name, entry->mRef, length });
  }
  return pins;
}

void
BlockTable::Unpin(const std::vector<std::string>& aPins)
{
  for (auto it = mEntries.begin(); it != mEntries.end();) {
    auto& entry = it->second;
    for (const auto& pin : aPins) {
      entry.mPins.erase(pin);
    }
    const bool isRetired =
      entry.mState == BlockState::Retiring && entry.mPins.empty();
    it = isRetired ? Erase(it) : std::next(it);
  }
}

Result<void>
BlockTable::Free(const BlockRef& aRef)
{
  const auto it = mEntries.find(aRef.mBlock);
  if (it == mEntries.end()) {
    return Ok();
  }
  if (it->second.mRef.mGeneration != aRef.mGeneration) {
    return Fail(ErrorCode::Conflict, "the block has another generation");
  }
  it->second.mState = BlockState::Retiring;
  if (it->second.mPins.empty()) {
    Erase(it);
  }
  return Ok();
}

BlockTable::Entry*
BlockTable::Find(BlockId aBlock, Generation aGeneration)
{
  const auto it = mEntries.find(aBlock);
  return it == mEntries.end() || it->second.mRef.mGeneration != aGeneration
           ? nullptr
           : &it->second;
}

std::uint64_t&
BlockTable::FreeBytes(StoreTier aTier)
{
  return aTier == StoreTier::Memory ? mMemoryFree : mDiskFree;
}

BlockTable::Entries::iterator
BlockTable::Erase(Entries::iterator aIt)
{
  FreeBytes(aIt->second.mTier) += aIt->second.mReservedBytes;
  return mEntries.erase(aIt);
}

} // namespace bilberrytrail::standins
