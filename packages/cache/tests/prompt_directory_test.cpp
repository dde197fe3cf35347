#include <bilberrytrail/cache/prompt_directory.h>

#include <doctest/doctest.h>

#include <functional>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };
const ServerId kServer("s1");
const StoreId kStore("t1");
const PromptKey kKey{ ProductId("p"), AccountId("a"), BlockId(1) };
const std::vector<BlockId> kBlocks{ BlockId(1), BlockId(2), BlockId(3) };

EngineEvent
MakeEvent(EngineEventKind aKind,
          std::uint64_t aSequence,
          std::vector<BlockId> aBlocks)
{
  return { aKind, aSequence, std::nullopt, std::move(aBlocks) };
}

StoredBlock
MakeStored(std::uint64_t aBlock, std::uint64_t aGeneration)
{
  return { BlockRef{ BlockId(aBlock), Generation(aGeneration), 1000, 7 },
           StoreTier::Memory };
}

} // namespace

TEST_CASE("server events set the length of the prefix that a server holds")
{
  using K = EngineEventKind;
  struct Row
  {
    const char* mName;
    std::vector<EngineEvent> mEvents;
    Duration mLater;
    std::uint32_t mBlocks;
    bool mDoubtful;
  };
  const auto age = DirectoryLimits().mDoubtfulAge;
  const auto all = MakeEvent(K::BlockCached, 1, kBlocks);
  const Row rows[] = {
    { "all blocks cached", { all }, 0s, 3, false },
    { "no gap, long ago", { all }, 3600s, 3, false },
    { "middle block not cached",
      { MakeEvent(K::BlockCached, 1, { BlockId(1), BlockId(3) }) },
      0s,
      1,
      false },
    { "first block not cached",
      { MakeEvent(K::BlockCached, 1, { BlockId(2), BlockId(3) }) },
      0s,
      0,
      false },
    { "middle block evicted",
      { all, MakeEvent(K::BlockEvicted, 2, { BlockId(2) }) },
      0s,
      1,
      false },
    { "gap in the sequence", { all, MakeEvent(K::Load, 5, {}) }, 0s, 3, true },
    { "gap, past the maximum age",
      { all, MakeEvent(K::Load, 5, {}) },
      age,
      0,
      false },
    { "gap, then confirmed",
      { all, MakeEvent(K::BlockCached, 5, kBlocks) },
      age,
      3,
      false },
    { "restart", { all, MakeEvent(K::Load, 1, {}) }, 0s, 0, false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    PromptDirectory directory({});
    directory.RecordUse(kKey, kBlocks);
    for (const auto& event : row.mEvents) {
      directory.OnServerEvent(kServer, event, kStart);
    }
    const auto locations = directory.Find(kKey, kBlocks, kStart + row.mLater);
    REQUIRE(locations.mServers.size() == (row.mBlocks > 0 ? 1 : 0));
    if (row.mBlocks > 0) {
      CHECK(locations.mServers.front().mServer == kServer);
      CHECK(locations.mServers.front().mBlocks == row.mBlocks);
      CHECK(locations.mServers.front().mIsDoubtful == row.mDoubtful);
    }
  }
}

TEST_CASE("an inventory replaces a server's entries, doubtful ones included")
{
  PromptDirectory directory({});
  directory.RecordUse(kKey, kBlocks);
  directory.OnServerEvent(
    kServer, MakeEvent(EngineEventKind::BlockCached, 1, kBlocks), kStart);
  directory.OnServerEvent(
    kServer, MakeEvent(EngineEventKind::Load, 9, {}), kStart);
  directory.OnServerInventory(
    kServer, 9, std::vector<BlockId>{ BlockId(1) }, kStart);
  const auto locations = directory.Find(kKey, kBlocks, kStart);
  REQUIRE(locations.mServers.size() == 1);
  CHECK(locations.mServers.front().mBlocks == 1);
  CHECK_FALSE(locations.mServers.front().mIsDoubtful);
  directory.OnServerGone(kServer);
  // The second server may reuse the interned number of the first; it must not
  // inherit its entries.
  directory.OnServerEvent(
    ServerId("s2"), MakeEvent(EngineEventKind::Load, 1, {}), kStart);
  CHECK(directory.Find(kKey, kBlocks, kStart).mServers.empty());
}

TEST_CASE("store events add and remove the copies of a block")
{
  struct Row
  {
    const char* mName;
    std::function<void(PromptDirectory&)> mChange;
    std::size_t mCopies;
  };
  const Row rows[] = {
    { "sealed", [](PromptDirectory&) {}, 1 },
    { "freed",
      [](PromptDirectory& aDirectory) {
        aDirectory.OnStoreFreed(kStore, MakeStored(1, 4).mRef);
      },
      0 },
    { "earlier generation freed",
      [](PromptDirectory& aDirectory) {
        aDirectory.OnStoreFreed(kStore, MakeStored(1, 3).mRef);
      },
      1 },
    { "inventory without the block",
      [](PromptDirectory& aDirectory) {
        aDirectory.OnStoreInventory(kStore, { 1, 0, 0, 0, 0, {} });
      },
      0 },
    { "inventory with the block",
      [](PromptDirectory& aDirectory) {
        aDirectory.OnStoreInventory(kStore,
                                    { 1, 0, 0, 0, 0, { MakeStored(1, 4) } });
      },
      1 },
    { "new incarnation",
      [](PromptDirectory& aDirectory) {
        aDirectory.OnStoreSealed(kStore, 2, MakeStored(3, 1));
      },
      0 },
    { "store gone",
      [](PromptDirectory& aDirectory) { aDirectory.OnStoreGone(kStore); },
      0 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    PromptDirectory directory({});
    directory.RecordUse(kKey, kBlocks);
    directory.OnStoreSealed(kStore, 1, MakeStored(1, 4));
    row.mChange(directory);
    const auto locations = directory.Find(kKey, kBlocks, kStart);
    REQUIRE(locations.mCopies.size() == 3);
    CHECK(locations.mCopies.front().size() == row.mCopies);
  }
}

TEST_CASE(
  "another account or product can neither read nor change a prompt's entries")
{
  PromptDirectory directory({});
  directory.RecordUse(kKey, kBlocks);
  directory.OnServerEvent(
    kServer, MakeEvent(EngineEventKind::BlockCached, 1, kBlocks), kStart);
  directory.OnStoreSealed(kStore, 1, MakeStored(1, 1));
  const PromptKey others[] = {
    { ProductId("p"), AccountId("b"), BlockId(1) },
    { ProductId("q"), AccountId("a"), BlockId(1) },
  };
  for (const auto& other : others) {
    directory.RecordUse(other, kBlocks);
    const auto locations = directory.Find(other, kBlocks, kStart);
    CHECK(locations.mServers.empty());
    CHECK(locations.mCopies.front().empty());
  }
  CHECK(directory.Find(kKey, kBlocks, kStart).mServers.size() == 1);
}

TEST_CASE("the least recently used prompt is evicted at the prompt limit")
{
  DirectoryLimits limits;
  limits.mMaxPrompts = 2;
  PromptDirectory directory(limits);
  const auto use = [&](std::uint64_t aRoot) {
    const std::vector<BlockId> blocks{ BlockId(aRoot) };
    directory.RecordUse({ ProductId("p"), AccountId("a"), BlockId(aRoot) },
                        blocks);
    directory.OnStoreSealed(kStore, 1, MakeStored(aRoot, 1));
  };
  const auto isKnown = [&](std::uint64_t aRoot) {
    const std::vector<BlockId> blocks{ BlockId(aRoot) };
    const PromptKey key{ ProductId("p"), AccountId("a"), BlockId(aRoot) };
    return !directory.Find(key, blocks, kStart).mCopies.front().empty();
  };
  use(1);
  use(2);
  use(1);
  use(3);
  CHECK(directory.Prompts() == 2);
  CHECK(isKnown(1));
  CHECK_FALSE(isKnown(2));
  CHECK(isKnown(3));
}

TEST_CASE("a prompt at its block limit drops the blocks not in use")
{
  DirectoryLimits limits;
  limits.mMaxBlocksPerPrompt = 3;
  PromptDirectory directory(limits);
  directory.RecordUse(kKey, kBlocks);
  const std::vector<BlockId> branch{ BlockId(1), BlockId(8), BlockId(9) };
  directory.RecordUse(kKey, branch);
  directory.OnStoreSealed(kStore, 1, MakeStored(9, 1));
  directory.OnStoreSealed(kStore, 1, MakeStored(2, 1));
  CHECK(directory.Find(kKey, branch, kStart).mCopies[2].size() == 1);
  CHECK(directory.Find(kKey, kBlocks, kStart).mCopies[1].empty());
}

TEST_CASE("a daemon's share of the returning prompts fits in 8 MiB")
{
  constexpr std::uint64_t kPrompts = 120000 / 400;
  constexpr std::uint64_t kBlocksPerPrompt = 16;
  constexpr std::size_t kMaxBytes = 8388608;
  PromptDirectory directory({});
  for (std::uint64_t n = 0; n < kPrompts; ++n) {
    std::vector<BlockId> blocks;
    for (std::uint64_t k = 0; k < kBlocksPerPrompt; ++k) {
      blocks.emplace_back(n * kBlocksPerPrompt + k);
    }
    const PromptKey key{ ProductId("p"), AccountId("a"), blocks.front() };
    directory.RecordUse(key, blocks);
    for (int k = 0; k < 3; ++k) {
      directory.OnServerEvent(
        ServerId(std::string("s").append(std::to_string(k))),
        MakeEvent(EngineEventKind::BlockCached, n + 1, blocks),
        kStart);
    }
    for (const auto block : blocks) {
      directory.OnStoreSealed(kStore, 1, MakeStored(block.Value(), 1));
    }
  }
  MESSAGE("bytes per block entry: ",
          directory.StateBytes() / (kPrompts * kBlocksPerPrompt));
  CHECK(directory.Prompts() == kPrompts);
  CHECK(directory.StateBytes() < kMaxBytes);
}
