#include "directory_service.h"

#include <doctest/doctest.h>

namespace bilberrytrail {

namespace {

constexpr Instant kNow{ 100s };

PromptKey
KeyOf(const std::string& aAccount, std::uint64_t aRoot)
{
  return { ProductId("brotlag"), AccountId(aAccount), BlockId(aRoot) };
}

std::vector<BlockId>
Blocks(std::uint64_t aFirst, std::uint64_t aCount)
{
  std::vector<BlockId> blocks;
  for (std::uint64_t n = 0; n < aCount; ++n) {
    blocks.emplace_back(aFirst + n);
  }
  return blocks;
}

StoredBlock
Sealed(std::uint64_t aBlock, std::uint64_t aGeneration)
{
  return { { BlockId(aBlock), Generation(aGeneration), 100, 7 },
           StoreTier::Memory };
}

// Sends what was gathered through the wire form, as daemons do.
void
Deliver(DirectoryUpdates& aUpdates, DirectoryService& aDirectory)
{
  for (const auto& [home, update] : aUpdates.Take()) {
    const auto read = ReadDirectoryUpdate(ToJson(update));
    REQUIRE(read);
    aDirectory.Apply(read.value(), kNow);
  }
}

const DaemonId kHome("entry-1");
const StoreId kStore("store-1");
const ServerId kServer("engine-1");

} // namespace

TEST_CASE("A directory answers with what its updates said")
{
  DirectoryService directory{ DirectoryLimits() };
  DirectoryUpdates updates(100);
  const DirectoryQuery query{ KeyOf("large", 1), Blocks(1, 3) };
  (void)directory.Find(query, kNow);
  updates.AddSealed(kHome, kStore, 5, Sealed(1, 1));
  updates.AddSealed(kHome, kStore, 5, Sealed(2, 1));
  updates.AddCached(kHome, kServer, BlockId(1));
  Deliver(updates, directory);

  SUBCASE("copies and holders are found")
  {
    const auto sent = ToJson(directory.Find(query, kNow));
    const auto where = ReadPromptLocations(sent);
    REQUIRE(where);
    REQUIRE(where.value().mCopies.size() == 3);
    CHECK(where.value().mCopies[0].size() == 1);
    CHECK(where.value().mCopies[1].front().mRef == Sealed(2, 1).mRef);
    CHECK(where.value().mCopies[2].empty());
    REQUIRE(where.value().mServers.size() == 1);
    CHECK(where.value().mServers.front().mBlocks == 1);
    CHECK_FALSE(where.value().mServers.front().mIsDoubtful);
  }
  SUBCASE("another account finds nothing")
  {
    const auto where =
      directory.Find({ KeyOf("small", 1), Blocks(1, 3) }, kNow);
    CHECK(where.mServers.empty());
    for (const auto& copies : where.mCopies) {
      CHECK(copies.empty());
    }
  }
  SUBCASE("freed and evicted blocks are gone")
  {
    updates.AddFreed(kHome, kStore, 5, Sealed(1, 1).mRef);
    updates.AddEvicted(kHome, kServer, BlockId(1));
    Deliver(updates, directory);
    const auto where = directory.Find(query, kNow);
    CHECK(where.mCopies[0].empty());
    CHECK(where.mCopies[1].size() == 1);
    CHECK(where.mServers.empty());
  }
  SUBCASE("a store that came back empty has no copies")
  {
    updates.AddNewStore(kHome, kStore, 6);
    Deliver(updates, directory);
    const auto where = directory.Find(query, kNow);
    CHECK(where.mCopies[0].empty());
    CHECK(where.mCopies[1].empty());
  }
}

TEST_CASE("Within one message the later change of a block holds")
{
  struct Row
  {
    bool mIsCachedLast;
    std::size_t mHolders;
  };
  for (const Row row : { Row{ true, 1 }, Row{ false, 0 } }) {
    CAPTURE(row.mIsCachedLast);
    DirectoryService directory{ DirectoryLimits() };
    DirectoryUpdates updates(100);
    const DirectoryQuery query{ KeyOf("large", 1), Blocks(1, 1) };
    (void)directory.Find(query, kNow);
    if (row.mIsCachedLast) {
      updates.AddEvicted(kHome, kServer, BlockId(1));
      updates.AddCached(kHome, kServer, BlockId(1));
    } else {
      updates.AddCached(kHome, kServer, BlockId(1));
      updates.AddEvicted(kHome, kServer, BlockId(1));
    }
    Deliver(updates, directory);
    CHECK(directory.Find(query, kNow).mServers.size() == row.mHolders);
  }
}

TEST_CASE("A block freed after its seal in one message is not found")
{
  DirectoryService directory{ DirectoryLimits() };
  DirectoryUpdates updates(100);
  const DirectoryQuery query{ KeyOf("large", 1), Blocks(1, 1) };
  (void)directory.Find(query, kNow);
  updates.AddSealed(kHome, kStore, 5, Sealed(1, 1));
  updates.AddFreed(kHome, kStore, 5, Sealed(1, 1).mRef);
  Deliver(updates, directory);
  CHECK(directory.Find(query, kNow).mCopies[0].empty());
}

TEST_CASE("Updates are bounded, and so is each message")
{
  DirectoryUpdates updates(600);
  for (std::uint64_t n = 0; n < 1000; ++n) {
    updates.AddCached(kHome, kServer, BlockId(n));
  }
  std::size_t blocks = 0;
  for (const auto& [home, update] : updates.Take()) {
    REQUIRE(update.mServers.size() == 1);
    CHECK(update.mServers.front().mCached.size() <= kMaxBlocksPerMessage);
    blocks += update.mServers.front().mCached.size();
  }
  CHECK(blocks == 600);
  CHECK(updates.Take().empty());
}

TEST_CASE("Owners of blocks are known for the latest prompts only")
{
  PromptOwners owners(2);
  owners.Note(KeyOf("large", 10), Blocks(10, 3));
  owners.Note(KeyOf("large", 20), Blocks(20, 3));
  owners.Note(KeyOf("large", 10), Blocks(10, 3));
  owners.Note(KeyOf("small", 30), Blocks(30, 3));
  CHECK(owners.Find(BlockId(12)) == KeyOf("large", 10));
  CHECK(owners.Find(BlockId(30)) == KeyOf("small", 30));
  CHECK_FALSE(owners.Find(BlockId(21)));
}

TEST_CASE("Malformed messages of the directory are refused")
{
  const Json query = ToJson(DirectoryQuery{ KeyOf("large", 1), Blocks(1, 2) });
  REQUIRE(ReadDirectoryQuery(query));
  for (const auto& [name, value] : query.items()) {
    const std::string field = name;
    CAPTURE(field);
    Json bad = query;
    bad[name] = Json::object({ { "not", "expected" } });
    CHECK_FALSE(ReadDirectoryQuery(bad));
    bad.erase(name);
    CHECK_FALSE(ReadDirectoryQuery(bad));
  }
  const DirectoryQuery tooLong{ KeyOf("large", 1),
                                Blocks(1, kMaxBlocksPerMessage + 1) };
  CHECK_FALSE(ReadDirectoryQuery(ToJson(tooLong)));
  CHECK_FALSE(ReadDirectoryUpdate(Json{ { "servers", 1 } }));
  CHECK_FALSE(ReadPromptLocations(Json::array()));
}

} // namespace bilberrytrail
