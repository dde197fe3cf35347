#include <bilberrytrail/cache/block_lifecycle.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };
constexpr Duration kTransfer = 1s;
const BlockRef kFirst{ BlockId(1), Generation(3), 64, 11 };
const BlockRef kSecond{ BlockId(2), Generation(4), 64, 12 };

using Pins = std::vector<BlockPin>;
using Refs = std::vector<BlockRef>;

// Returns an import of two pinned blocks that has not been ordered yet.
BlockImport
MakePinned(Duration aRemaining)
{
  BlockImport flow({ kFirst, kSecond }, kTransfer, ImportLimits());
  (void)flow.Start(kStart);
  (void)flow.OnPinned(
    Pins{ { "p1", kFirst, aRemaining }, { "p2", kSecond, aRemaining } },
    kStart + 10ms);
  return flow;
}

} // namespace

TEST_CASE("an import is ordered only when the pins outlast the transfer")
{
  const auto needed = kTransfer + ImportLimits().mPinMargin;
  struct Row
  {
    Duration mRemaining;
    Duration mLater;
    bool mAllowed;
  };
  const Row rows[] = { { needed, 0s, true },
                       { needed - 1us, 0s, false },
                       { needed + 1s, 1s, true },
                       { needed + 1s, 1s + 1us, false } };
  for (const auto& row : rows) {
    auto flow = MakePinned(row.mRemaining);
    CHECK(flow.BeginImport(kStart + row.mLater) == row.mAllowed);
    if (!row.mAllowed) {
      const auto actions = flow.OnImportSkipped();
      REQUIRE(actions.size() == 1);
      CHECK(actions.front().mKind == BlockActionKind::Unpin);
      CHECK(flow.Usable().empty());
    }
  }
}

TEST_CASE("only blocks that match and were read before the pins end are usable")
{
  auto wrongGeneration = kFirst;
  wrongGeneration.mGeneration = Generation(9);
  auto wrongChecksum = kFirst;
  wrongChecksum.mChecksum = 9;
  auto wrongLength = kFirst;
  wrongLength.mBytes = 9;
  struct Row
  {
    const char* mName;
    Refs mRead;
    Duration mLater;
    std::size_t mUsable;
    std::size_t mRejected;
  };
  const Row rows[] = {
    { "all match", { kFirst, kSecond }, 2s, 2, 0 },
    { "one not returned", { kSecond }, 2s, 1, 0 },
    { "generation differs", { wrongGeneration, kSecond }, 2s, 1, 1 },
    { "checksum differs", { wrongChecksum, kSecond }, 2s, 1, 1 },
    { "length differs", { wrongLength, kSecond }, 2s, 1, 1 },
    { "just before the pins end", { kFirst, kSecond }, 5s - 1us, 2, 0 },
    { "when the pins end", { kFirst, kSecond }, 5s, 0, 2 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    auto flow = MakePinned(5s);
    REQUIRE(flow.BeginImport(kStart + 20ms));
    CHECK_FALSE(flow.BeginImport(kStart + 20ms));
    const auto actions = flow.OnImported(row.mRead, kStart + row.mLater);
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().mPins.size() == 2);
    CHECK(flow.Usable().size() == row.mUsable);
    CHECK(flow.Rejected().size() == row.mRejected);
  }
}

TEST_CASE("pins are kept when the import's reply was lost")
{
  for (const auto disposition : AllOf<CallDisposition>()) {
    auto flow = MakePinned(5s);
    REQUIRE(flow.BeginImport(kStart + 20ms));
    const auto actions = flow.OnImported(
      FailCall(disposition, ErrorCode::Timeout, "timeout"), kStart + 1s);
    CHECK(actions.empty() == (disposition == CallDisposition::Unknown));
    CHECK(flow.Usable().empty());
    CHECK(flow.IsFinished());
  }
}

TEST_CASE("a failed export frees the reserved space and seals nothing")
{
  for (const auto disposition : AllOf<CallDisposition>()) {
    BlockExport flow(BlockId(1), 64);
    (void)flow.Start();
    (void)flow.OnReserved(kFirst);
    const auto actions =
      flow.OnExported(FailCall(disposition, ErrorCode::Timeout, "timeout"));
    REQUIRE(actions.size() == 1);
    CHECK(actions.front().mKind == BlockActionKind::Free);
    CHECK(actions.front().mRefs.front().mGeneration == kFirst.mGeneration);
    CHECK_FALSE(flow.Sealed());
  }
}

TEST_CASE("a block is withdrawn before it is freed")
{
  BlockRelease flow(kFirst);
  const auto actions = flow.Start();
  REQUIRE(actions.size() == 2);
  CHECK(actions[0].mKind == BlockActionKind::Withdraw);
  CHECK(actions[1].mKind == BlockActionKind::Free);
}
