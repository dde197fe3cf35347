#pragma once

#include <bilberrytrail/backend/store.h>

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// A block's content in two halves, so that a transfer can be torn.
using BlockContent = std::array<std::uint64_t, 2>;

// How many of the blocks that an engine used were right and wrong.
struct BlockUse
{
  int mRight = 0;
  int mWrong = 0;
};

// The blocks that a store keeps and that engines have imported, with their
// contents. The cell's checker judges by the contents which block is wrong.
class KeptBlocks
{
public:
  static constexpr std::uint64_t kIncarnation = 1;

  // Keeps a block with its true content.
  BlockRef Seal(BlockId aBlock);
  [[nodiscard]] bool IsDown() const noexcept { return mIsDown; }
  void Die() noexcept { mIsDown = true; }
  // Comes back empty.
  void Empty();
  // Other bytes take the place of each block, with its generation raised.
  void Replace(std::uint64_t aRaise);

  [[nodiscard]] std::vector<BlockPin> Pin(const std::vector<BlockRef>& aRefs,
                                          Duration aLength);
  // Reads one half into an engine's cache; nothing when the block is not here.
  // Returns the reference of what is here now.
  std::optional<BlockRef> Read(const DaemonId& aEngine,
                               BlockId aBlock,
                               std::size_t aHalf);
  // Changes a half in an engine's cache.
  void Spoil(const DaemonId& aEngine, BlockId aBlock);
  // An engine gives up a block.
  void Drop(const DaemonId& aEngine, BlockId aBlock);
  // Returns the checksum of what an engine has read.
  [[nodiscard]] std::uint64_t ChecksumAt(const DaemonId& aEngine,
                                         BlockId aBlock);
  // An engine uses those of the blocks, from the first on, that it has.
  [[nodiscard]] BlockUse Use(const DaemonId& aEngine,
                             const std::vector<BlockId>& aBlocks);

private:
  struct Slot
  {
    BlockRef mRef;
    BlockContent mContent{};
  };

  bool mIsDown = false;
  std::uint64_t mGeneration = 0;
  std::uint64_t mPins = 0;
  std::map<BlockId, Slot> mSlots;
  std::map<DaemonId, std::map<BlockId, BlockContent>> mEngines;
};

} // namespace bilberrytrail
