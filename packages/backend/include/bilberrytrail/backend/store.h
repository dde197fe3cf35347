#pragma once

#include <bilberrytrail/backend/block_ref.h>
#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytrail {

// State of a block's space in a store.
enum class BlockState : unsigned char
{
  Reserved,
  Writing,
  Sealed,
  Retiring,
  Free
};

template<>
struct EnumNames<BlockState>
{
  static constexpr std::array<std::string_view, 5> kNames{ "reserved",
                                                           "writing",
                                                           "sealed",
                                                           "retiring",
                                                           "free" };
};

// Medium on which a store holds a block.
enum class StoreTier : unsigned char
{
  Memory,
  Disk
};

template<>
struct EnumNames<StoreTier>
{
  static constexpr std::array<std::string_view, 2> kNames{ "memory", "disk" };
};

// One sealed block of a store's inventory.
struct StoredBlock
{
  BlockRef mRef;
  StoreTier mTier = StoreTier::Memory;
};

// Contents and capacity of a store. A new incarnation means that the store
// restarted empty.
struct StoreInventory
{
  std::uint64_t mIncarnation = 0;
  std::uint64_t mMemoryBytes = 0;
  std::uint64_t mMemoryFreeBytes = 0;
  std::uint64_t mDiskBytes = 0;
  std::uint64_t mDiskFreeBytes = 0;
  std::vector<StoredBlock> mBlocks;
};

// A pin: the store does not free the block before the pin ends.
struct BlockPin
{
  std::string mPin;
  BlockRef mRef;
  // Time left when the store sent its response.
  Duration mRemaining{};
};

// A store VM that holds KV cache blocks.
class Store
{
public:
  virtual ~Store() = default;

  // Reserves space for a block; the returned reference has the new generation.
  // NotRun with Exhausted when the store is full.
  [[nodiscard]] virtual CallResult<BlockRef> Reserve(BlockId aBlock,
                                                     std::uint64_t aBytes,
                                                     Duration aTimeout) = 0;
  // Seals a written block. NotRun when its generation, length or checksum
  // differs from the store's.
  [[nodiscard]] virtual CallResult<void> Seal(const BlockRef& aRef,
                                              Duration aTimeout) = 0;
  // Pins sealed blocks for aLength. Blocks that are not sealed are omitted from
  // the result.
  [[nodiscard]] virtual CallResult<std::vector<BlockPin>> Pin(
    const std::vector<BlockRef>& aRefs,
    Duration aLength,
    Duration aTimeout) = 0;
  // Ends pins.
  [[nodiscard]] virtual CallResult<void> Unpin(
    const std::vector<std::string>& aPins,
    Duration aTimeout) = 0;
  // Frees a block: it gets no new pins and is removed when its last pin ends.
  [[nodiscard]] virtual CallResult<void> Free(const BlockRef& aRef,
                                              Duration aTimeout) = 0;
  // Reads the sealed blocks and the free space.
  [[nodiscard]] virtual CallResult<StoreInventory> ReadInventory(
    Duration aTimeout) = 0;
};

} // namespace bilberrytrail
