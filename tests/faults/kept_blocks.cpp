#include "kept_blocks.h"

namespace bilberrytrail {

namespace {

constexpr std::uint64_t kBytes = 64;
constexpr std::uint64_t kFactor = 1000;
constexpr std::uint64_t kOther = 77;

BlockContent
TrueContent(BlockId aBlock)
{
  return { aBlock.Value() * kFactor + 1, aBlock.Value() * kFactor + 2 };
}

std::uint64_t
ChecksumOf(const BlockContent& aContent)
{
  return aContent[0] * 31 + aContent[1];
}

} // namespace

BlockRef
KeptBlocks::Seal(BlockId aBlock)
{
  Slot& slot = mSlots[aBlock];
  slot.mContent = TrueContent(aBlock);
  slot.mRef = {
    aBlock, Generation(++mGeneration), kBytes, ChecksumOf(slot.mContent)
  };
  return slot.mRef;
}

void
KeptBlocks::Empty()
{
  mSlots.clear();
  mGeneration = 0;
}

void
KeptBlocks::Replace(std::uint64_t aRaise)
{
  for (auto& [block, slot] : mSlots) {
    slot.mContent = TrueContent(BlockId(block.Value() + kOther));
    slot.mRef.mGeneration = Generation(slot.mRef.mGeneration.Value() + aRaise);
    slot.mRef.mChecksum = ChecksumOf(slot.mContent);
  }
}

std::vector<BlockPin>
KeptBlocks::Pin(const std::vector<BlockRef>& aRefs, Duration aLength)
{
  std::vector<BlockPin> pins;
  for (const auto& ref : aRefs) {
    const auto it = mSlots.find(ref.mBlock);
    if (it != mSlots.end() && it->second.mRef == ref) {
      pins.push_back({ std::to_string(++mPins), ref, aLength });
    }
  }
  return pins;
}

std::optional<BlockRef>
KeptBlocks::Read(const DaemonId& aEngine, BlockId aBlock, std::size_t aHalf)
{
  const auto it = mSlots.find(aBlock);
  if (mIsDown || it == mSlots.end()) {
    return std::nullopt;
  }
  mEngines[aEngine][aBlock].at(aHalf) = it->second.mContent.at(aHalf);
  return it->second.mRef;
}

void
KeptBlocks::Spoil(const DaemonId& aEngine, BlockId aBlock)
{
  ++mEngines[aEngine][aBlock][1];
}

void
KeptBlocks::Drop(const DaemonId& aEngine, BlockId aBlock)
{
  mEngines[aEngine].erase(aBlock);
}

std::uint64_t
KeptBlocks::ChecksumAt(const DaemonId& aEngine, BlockId aBlock)
{
  return ChecksumOf(mEngines[aEngine][aBlock]);
}

BlockUse
KeptBlocks::Use(const DaemonId& aEngine, const std::vector<BlockId>& aBlocks)
{
  BlockUse use;
  const auto& cache = mEngines[aEngine];
  for (const auto block : aBlocks) {
    const auto it = cache.find(block);
    if (it == cache.end()) {
      break;
    }
    ++(it->second == TrueContent(block) ? use.mRight : use.mWrong);
  }
  return use;
}

} // namespace bilberrytrail
