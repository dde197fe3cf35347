#include "store_service.h"

#include <doctest/doctest.h>

namespace bilberrytrail {

namespace {

constexpr Instant kNow{ 100s };
constexpr std::uint64_t kBytes = 1000;

DaemonSettings
MakeSettings()
{
  DaemonSettings settings = DefaultDaemonSettings();
  settings.mLinkBytesPerSecond = 10000;
  return settings;
}

StoredBlock
Sealed(std::uint64_t aBlock, std::uint64_t aGeneration = 1)
{
  return { { BlockId(aBlock), Generation(aGeneration), kBytes, 7 },
           StoreTier::Memory };
}

StoreInventory
Inventory(std::uint64_t aIncarnation, std::vector<StoredBlock> aBlocks)
{
  StoreInventory inventory;
  inventory.mIncarnation = aIncarnation;
  inventory.mMemoryBytes = 4 * kBytes;
  inventory.mBlocks = std::move(aBlocks);
  return inventory;
}

RetentionCandidate
Candidate(std::uint64_t aBlock)
{
  RetentionCandidate candidate;
  candidate.mBlock = BlockId(aBlock);
  candidate.mBytes = kBytes;
  candidate.mRecompute = 100ms;
  candidate.mTransfer = 10ms;
  return candidate;
}

} // namespace

TEST_CASE("Imports get places one behind another up to the longest backlog")
{
  const auto settings = MakeSettings();
  HomedStore store(StoreId("store-1"), settings);
  Duration end{};
  for (int n = 0; n < 20; ++n) {
    const auto place = store.Reserve(kBytes, kNow);
    REQUIRE(place);
    CHECK(place->mBeginAfter >= end);
    CHECK(place->mEndAfter - place->mBeginAfter >= 100ms);
    end = place->mEndAfter;
  }
  CHECK(store.Link(kNow).mBacklogBytes == 20 * kBytes);
  bool isRefused = false;
  for (int n = 0; n < 3 && !isRefused; ++n) {
    isRefused = !store.Reserve(kBytes, kNow);
  }
  CHECK(isRefused);
}

TEST_CASE("An export takes the link only while no import waits")
{
  const auto settings = MakeSettings();
  HomedStore store(StoreId("store-1"), settings);
  REQUIRE(store.Reserve(kBytes, kNow));
  CHECK_FALSE(store.ReserveExport(kBytes, kNow));
  CHECK(store.ReserveExport(kBytes, kNow + 100ms));
}

TEST_CASE("Nothing is kept before the store's space is known")
{
  const auto settings = MakeSettings();
  HomedStore store(StoreId("store-1"), settings);
  CHECK_FALSE(store.Offer(Candidate(1)));
  (void)store.OnInventory(Inventory(5, {}));
  const auto decision = store.Offer(Candidate(1));
  REQUIRE(decision);
  CHECK(decision->mAdmit);
}

TEST_CASE("An inventory tells which kept blocks are lost")
{
  struct Row
  {
    const char* mName;
    StoreInventory mInventory;
    std::size_t mLost;
    bool mIsFirstKept;
  };
  const std::vector<Row> rows{
    { "unchanged", Inventory(5, { Sealed(1), Sealed(2) }), 0, true },
    { "one freed", Inventory(5, { Sealed(2) }), 1, false },
    { "one reused", Inventory(5, { Sealed(1, 2), Sealed(2) }), 1, true },
    { "restarted empty", Inventory(6, {}), 2, false },
  };
  const auto settings = MakeSettings();
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    HomedStore store(StoreId("store-1"), settings);
    (void)store.OnInventory(Inventory(5, {}));
    store.OnSealed(Sealed(1));
    store.OnSealed(Sealed(2));
    CHECK(store.OnInventory(row.mInventory).size() == row.mLost);
    CHECK(store.IsKept(BlockId(1)) == row.mIsFirstKept);
    CHECK(store.Incarnation() == row.mInventory.mIncarnation);
  }
}

TEST_CASE("A kept block is announced once to each home of its prompt")
{
  const auto settings = MakeSettings();
  HomedStore store(StoreId("store-1"), settings);
  (void)store.OnInventory(Inventory(5, {}));
  CHECK_FALSE(store.Announce(BlockId(1), DaemonId("a")));
  store.OnSealed(Sealed(1));
  CHECK(store.Announce(BlockId(1), DaemonId("a")));
  CHECK_FALSE(store.Announce(BlockId(1), DaemonId("a")));
  CHECK(store.AnnouncedTo() == std::set<DaemonId>{ DaemonId("a") });
  CHECK(store.Announce(BlockId(1), DaemonId("b")));
  SUBCASE("and again when its space was reused")
  {
    (void)store.OnInventory(Inventory(5, { Sealed(1, 2) }));
    CHECK(store.Announce(BlockId(1), DaemonId("b")));
  }
}

TEST_CASE("Only kept blocks are released on request, each once")
{
  const auto settings = MakeSettings();
  HomedStore store(StoreId("store-1"), settings);
  store.OnSealed(Sealed(1));
  store.AskRelease(BlockId(1));
  store.AskRelease(BlockId(1));
  store.AskRelease(BlockId(2));
  CHECK(store.NextRelease() == BlockId(1));
  CHECK_FALSE(store.NextRelease());
}

TEST_CASE("Exports that wait are bounded, and a prompt waits once")
{
  const auto settings = MakeSettings();
  StoreService stores(settings);
  ExportJob job;
  job.mServer = ServerId("engine-1");
  for (std::uint64_t n = 0; n < 1000; ++n) {
    job.mKey.mRoot = BlockId(n);
    stores.OnServed(job);
    stores.OnServed(job);
  }
  std::set<std::uint64_t> roots;
  while (const auto next = stores.NextExport(job.mServer)) {
    CHECK(roots.insert(next->mKey.mRoot.Value()).second);
  }
  CHECK(roots.size() == 64);
  CHECK_FALSE(stores.NextExport(ServerId("engine-2")));
}

} // namespace bilberrytrail
