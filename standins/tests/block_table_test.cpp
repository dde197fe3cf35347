#include "engine/kv_content.h"
#include "store/block_table.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr BlockId kBlock(7);
constexpr Instant kStart{};
constexpr std::uint64_t kBytes = 32;

BlockTableLimits
MakeLimits()
{
  return { 2 * kBytes, kBytes, 30s, 10s };
}

BlockRef
Reserve(BlockTable& aTable, BlockId aBlock, Instant aNow = kStart)
{
  return aTable.Reserve(aBlock, kBytes, aNow).value();
}

// Writes the block's content and returns the reference to seal.
BlockRef
Write(BlockTable& aTable, const BlockRef& aRef)
{
  const auto content = KvContent(aRef.mBlock, kBytes);
  REQUIRE(aTable.BeginWrite(aRef.mBlock, aRef.mGeneration, kBytes));
  REQUIRE(aTable.EndWrite(aRef.mBlock, aRef.mGeneration, content));
  return { aRef.mBlock, aRef.mGeneration, kBytes, KvChecksum(content) };
}

BlockRef
WriteAndSeal(BlockTable& aTable, BlockId aBlock)
{
  const auto ref = Write(aTable, Reserve(aTable, aBlock));
  REQUIRE(aTable.Seal(ref));
  return ref;
}

bool
CanRead(const BlockTable& aTable, const BlockRef& aRef)
{
  return aTable.Read(aRef.mBlock, aRef.mGeneration).has_value();
}

} // namespace

TEST_CASE("only a sealed block can be read, pinned and found")
{
  BlockTable table(MakeLimits());
  const auto reserved = Reserve(table, kBlock);
  const auto check = [&](BlockState aState, const BlockRef& aRef) {
    const bool isSealed = aState == BlockState::Sealed;
    CHECK(ToName(table.StateOf(kBlock)) == ToName(aState));
    CHECK(CanRead(table, aRef) == isSealed);
    CHECK(table.Inventory().mBlocks.size() == (isSealed ? 1 : 0));
    const auto pins = table.Pin({ aRef }, 1s, kStart);
    CHECK(pins.size() == (isSealed ? 1 : 0));
    for (const auto& pin : pins) {
      table.Unpin({ pin.mPin });
    }
  };
  check(BlockState::Reserved, reserved);
  REQUIRE(table.BeginWrite(kBlock, reserved.mGeneration, kBytes));
  check(BlockState::Writing, reserved);
  const auto content = KvContent(kBlock, kBytes);
  REQUIRE(table.EndWrite(kBlock, reserved.mGeneration, content));
  check(BlockState::Writing, reserved);
  const BlockRef ref{
    kBlock, reserved.mGeneration, kBytes, KvChecksum(content)
  };
  REQUIRE(table.Seal(ref));
  check(BlockState::Sealed, ref);
  CHECK(table.Read(kBlock, ref.mGeneration).value() == content);
  REQUIRE(table.Free(ref));
  check(BlockState::Free, ref);
}

TEST_CASE("a block is sealed only with what was written")
{
  BlockTable table(MakeLimits());
  const auto ref = Write(table, Reserve(table, kBlock));
  auto generation = ref;
  generation.mGeneration = ref.mGeneration.Next();
  auto bytes = ref;
  bytes.mBytes -= 1;
  auto checksum = ref;
  checksum.mChecksum += 1;
  for (const auto& wrong : { generation, bytes, checksum }) {
    CHECK(table.Seal(wrong).error().mCode == ErrorCode::Conflict);
  }
  CHECK(table.Seal(ref).has_value());
  CHECK(table.Seal(ref).has_value());
}

TEST_CASE("a retiring block stays readable until its last pin ends")
{
  struct Row
  {
    const char* mName;
    bool mUnpin;
    Instant mNow;
    bool mReadable;
  };
  const Row rows[] = { { "pinned", false, kStart + 1s, true },
                       { "unpinned", true, kStart + 1s, false },
                       { "pin is over", false, kStart + 2s, false } };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    BlockTable table(MakeLimits());
    const auto ref = WriteAndSeal(table, kBlock);
    const auto pins = table.Pin({ ref }, 2s, kStart);
    REQUIRE(pins.size() == 1);
    REQUIRE(table.Free(ref));
    CHECK(table.Pin({ ref }, 1s, kStart).empty());
    CHECK(table.Inventory().mBlocks.empty());
    if (row.mUnpin) {
      table.Unpin({ pins[0].mPin });
    }
    table.Expire(row.mNow);
    CHECK(CanRead(table, ref) == row.mReadable);
    CHECK((table.StateOf(kBlock) == BlockState::Free) == !row.mReadable);
  }
}

TEST_CASE("generations grow, and an old one reads, writes and frees nothing")
{
  BlockTable table(MakeLimits());
  const auto old = WriteAndSeal(table, kBlock);
  REQUIRE(table.Free(old));
  const auto next = WriteAndSeal(table, kBlock);
  CHECK(next.mGeneration > old.mGeneration);
  CHECK_FALSE(CanRead(table, old));
  CHECK_FALSE(table.BeginWrite(kBlock, old.mGeneration, 1).has_value());
  CHECK_FALSE(table.Free(old).has_value());
  CHECK(CanRead(table, next));
}

TEST_CASE("a write that was under way when its space was freed is lost")
{
  BlockTable table(MakeLimits());
  const auto old = Reserve(table, kBlock);
  REQUIRE(table.BeginWrite(kBlock, old.mGeneration, kBytes));
  REQUIRE(table.Free(old));
  const auto next = Reserve(table, kBlock);
  REQUIRE(table.BeginWrite(kBlock, next.mGeneration, kBytes));
  CHECK_FALSE(table.EndWrite(kBlock, old.mGeneration, "old").has_value());
}

TEST_CASE("space comes from memory, then from disk, and is given back")
{
  BlockTable table(MakeLimits());
  Reserve(table, BlockId(1));
  Reserve(table, BlockId(2));
  const auto onDisk = Reserve(table, BlockId(3));
  CHECK(table.TierOf(BlockId(2)) == StoreTier::Memory);
  CHECK(table.TierOf(BlockId(3)) == StoreTier::Disk);
  const auto full = table.Reserve(BlockId(4), 1, kStart);
  CHECK(full.error().mCode == ErrorCode::Exhausted);
  const auto again = table.Reserve(BlockId(3), 1, kStart);
  CHECK(again.error().mCode == ErrorCode::Conflict);
  REQUIRE(table.Free(onDisk));
  CHECK(table.Inventory().mDiskFreeBytes == kBytes);
  CHECK(table.Reserve(BlockId(4), kBytes, kStart).has_value());
}

TEST_CASE("a reservation that is not sealed in time ends")
{
  BlockTable table(MakeLimits());
  Reserve(table, BlockId(1));
  const auto sealed = WriteAndSeal(table, BlockId(2));
  table.Expire(kStart + 29s);
  CHECK(table.StateOf(BlockId(1)) == BlockState::Reserved);
  table.Expire(kStart + 30s);
  CHECK(table.StateOf(BlockId(1)) == BlockState::Free);
  CHECK(table.Inventory().mMemoryFreeBytes == kBytes);
  CHECK(CanRead(table, sealed));
}
