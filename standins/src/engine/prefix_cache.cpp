#include "engine/prefix_cache.h"

namespace bilberrytrail::standins {

CachedBlock*
PrefixCache::Find(BlockId aBlock)
{
  const auto it = mIndex.find(aBlock);
  return it == mIndex.end() ? nullptr : &*it->second;
}

std::size_t
PrefixCache::MatchPrefix(std::span<const BlockId> aBlocks) const
{
  std::size_t n = 0;
  while (n < aBlocks.size() && mIndex.contains(aBlocks[n])) {
    ++n;
  }
  return n;
}

void
PrefixCache::Touch(BlockId aBlock)
{
  const auto it = mIndex.find(aBlock);
  if (it != mIndex.end()) {
    mEntries.splice(mEntries.begin(), mEntries, it->second);
  }
}

std::vector<BlockId>
PrefixCache::Insert(const CachedBlock& aBlock)
{
  if (auto* cached = Find(aBlock.mBlock); cached != nullptr) {
    *cached = aBlock;
    Touch(aBlock.mBlock);
    return {};
  }
  mEntries.push_front(aBlock);
  mIndex[aBlock.mBlock] = mEntries.begin();
  return EvictDownTo(mLimit);
}

std::vector<BlockId>
PrefixCache::EvictDownTo(std::size_t aKeep)
{
  std::vector<BlockId> evicted;
  while (mEntries.size() > aKeep) {
    evicted.push_back(mEntries.back().mBlock);
    mIndex.erase(mEntries.back().mBlock);
    mEntries.pop_back();
  }
  return evicted;
}

std::vector<BlockId>
PrefixCache::Evict(std::span<const BlockId> aBlocks)
{
  std::vector<BlockId> evicted;
  for (const auto block : aBlocks) {
    const auto it = mIndex.find(block);
    if (it == mIndex.end()) {
      continue;
    }
    mEntries.erase(it->second);
    mIndex.erase(it);
    evicted.push_back(block);
  }
  return evicted;
}

} // namespace bilberrytrail::standins
