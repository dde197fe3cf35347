#include "engine/prefix_cache.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

std::vector<BlockId>
Ids(std::initializer_list<std::uint64_t> aNumbers)
{
  std::vector<BlockId> ids;
  for (const auto n : aNumbers) {
    ids.emplace_back(n);
  }
  return ids;
}

CachedBlock
MakeBlock(std::uint64_t aNumber)
{
  CachedBlock block;
  block.mBlock = BlockId(aNumber);
  return block;
}

PrefixCache
MakeCache(std::size_t aLimit, std::initializer_list<std::uint64_t> aNumbers)
{
  PrefixCache cache(aLimit);
  for (const auto n : aNumbers) {
    static_cast<void>(cache.Insert(MakeBlock(n)));
  }
  return cache;
}

} // namespace

TEST_CASE("a prefix matches up to its first missing block")
{
  struct Row
  {
    std::vector<BlockId> mBlocks;
    std::size_t mMatched;
  };
  const Row rows[] = { { {}, 0 },
                       { Ids({ 1, 2, 3 }), 3 },
                       { Ids({ 1, 2, 9 }), 2 },
                       { Ids({ 9, 1, 2 }), 0 },
                       { Ids({ 1, 9, 3 }), 1 } };
  const auto cache = MakeCache(4, { 1, 2, 3 });
  for (const auto& row : rows) {
    CHECK(cache.MatchPrefix(row.mBlocks) == row.mMatched);
  }
}

TEST_CASE("the least recently used block is evicted at the limit")
{
  auto cache = MakeCache(3, { 1, 2, 3 });
  cache.Touch(BlockId(1));
  CHECK(cache.Insert(MakeBlock(4)) == Ids({ 2 }));
  CHECK(cache.Insert(MakeBlock(3)).empty());
  CHECK(cache.Insert(MakeBlock(5)) == Ids({ 1 }));
  CHECK(cache.Size() == 3);
}

TEST_CASE("blocks are evicted on demand")
{
  auto cache = MakeCache(4, { 1, 2, 3, 4 });
  CHECK(cache.Evict(Ids({ 2, 9 })) == Ids({ 2 }));
  CHECK(cache.Find(BlockId(2)) == nullptr);
  CHECK(cache.EvictDownTo(1) == Ids({ 1, 3 }));
  CHECK(cache.Find(BlockId(4)) != nullptr);
}
