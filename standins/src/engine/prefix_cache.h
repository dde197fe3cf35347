#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberrytrail::standins {

// One cached block.
struct CachedBlock
{
  BlockId mBlock;
  VersionId mVersion;
  // Length of its KV cache in bytes.
  std::uint64_t mBytes = 0;
  // The bytes are those of this block.
  bool mIsIntact = true;
  // Hash of the prompt text that it covers; 0 while not known.
  std::uint64_t mTextHash = 0;
};

// KV cache of prompt prefixes by block id, with a limit on the number of
// blocks and eviction of the least recently used.
class PrefixCache
{
public:
  explicit PrefixCache(std::size_t aLimit)
    : mLimit(aLimit)
  {
  }

  [[nodiscard]] std::size_t Size() const noexcept { return mEntries.size(); }
  // Returns the block, or null. The pointer is valid until the next change.
  [[nodiscard]] CachedBlock* Find(BlockId aBlock);
  // Returns how many of the blocks are cached from the first on.
  [[nodiscard]] std::size_t MatchPrefix(std::span<const BlockId> aBlocks) const;

  // Marks a block as just used.
  void Touch(BlockId aBlock);
  // Adds or replaces a block; returns the evicted ones.
  std::vector<BlockId> Insert(const CachedBlock& aBlock);
  // Evicts the least recently used blocks until at most aKeep are left.
  std::vector<BlockId> EvictDownTo(std::size_t aKeep);
  // Evicts given blocks; returns those that were cached.
  std::vector<BlockId> Evict(std::span<const BlockId> aBlocks);

private:
  // Most recently used first.
  using Entries = std::list<CachedBlock>;

  std::size_t mLimit;
  Entries mEntries;
  std::unordered_map<BlockId, Entries::iterator> mIndex;
};

} // namespace bilberrytrail::standins
