#pragma once

#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace bilberrytrail::standins {

// Sizes and time limits of a store.
struct BlockTableLimits
{
  std::uint64_t mMemoryBytes = 0;
  std::uint64_t mDiskBytes = 0;
  // Longest time from reserving space to sealing.
  Duration mReserveTime = 30s;
  // Longest pin that is given.
  Duration mPinTime = 10s;
};

// Blocks that a store keeps: reserved, writing, sealed, retiring, free. Only
// sealed blocks, and retiring ones while they are pinned, can be read. New
// space is taken from memory first, then from disk. Generations grow with
// each reservation.
class BlockTable
{
public:
  explicit BlockTable(const BlockTableLimits& aLimits);

  // Returns the state of a block; Free when it is not kept.
  [[nodiscard]] BlockState StateOf(BlockId aBlock) const;
  [[nodiscard]] StoreTier TierOf(BlockId aBlock) const;
  // Returns the bytes of a readable block; fails with NotFound.
  [[nodiscard]] Result<std::string> Read(BlockId aBlock,
                                         Generation aGeneration) const;
  // Returns the inventory; its incarnation is left at 0.
  [[nodiscard]] StoreInventory Inventory() const;

  // Ends pins and reservations whose time is over.
  void Expire(Instant aNow);
  // Fails with Conflict when the block is kept already, with Exhausted when
  // there is no space.
  [[nodiscard]] Result<BlockRef> Reserve(BlockId aBlock,
                                         std::uint64_t aBytes,
                                         Instant aNow);
  // Begins to write into reserved space. Fails with Conflict when the block is
  // not reserved with the generation, with TooLarge when it does not fit.
  [[nodiscard]] Result<void> BeginWrite(BlockId aBlock,
                                        Generation aGeneration,
                                        std::uint64_t aBytes);
  // Ends a write. Fails with Conflict when the space was freed meanwhile.
  [[nodiscard]] Result<void> EndWrite(BlockId aBlock,
                                      Generation aGeneration,
                                      std::string aContent);
  // Fails with Conflict unless generation, length and checksum are those of
  // the written bytes. Done also when the block is sealed already.
  [[nodiscard]] Result<void> Seal(const BlockRef& aRef);
  // Pins those of the blocks that are sealed.
  [[nodiscard]] std::vector<BlockPin> Pin(const std::vector<BlockRef>& aRefs,
                                          Duration aLength,
                                          Instant aNow);
  void Unpin(const std::vector<std::string>& aPins);
  // Frees a block once no pin is left. Fails with Conflict when the block has
  // another generation; done when it is not kept.
  [[nodiscard]] Result<void> Free(const BlockRef& aRef);

private:
  struct Entry
  {
    BlockRef mRef;
    BlockState mState = BlockState::Reserved;
    StoreTier mTier = StoreTier::Memory;
    std::uint64_t mReservedBytes = 0;
    Instant mReservedUntil;
    bool mIsWritten = false;
    std::string mContent;
    // Ends of pins by name.
    std::map<std::string, Instant> mPins;
  };
  using Entries = std::map<BlockId, Entry>;

  [[nodiscard]] Entry* Find(BlockId aBlock, Generation aGeneration);
  [[nodiscard]] std::uint64_t& FreeBytes(StoreTier aTier);
  Entries::iterator Erase(Entries::iterator aIt);

  BlockTableLimits mLimits;
  std::uint64_t mMemoryFree;
  std::uint64_t mDiskFree;
  Generation mLastGeneration;
  std::uint64_t mLastPin = 0;
  Entries mEntries;
};

} // namespace bilberrytrail::standins
