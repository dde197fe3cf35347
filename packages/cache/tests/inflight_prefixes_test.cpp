#include <bilberrytrail/cache/inflight_prefixes.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };
constexpr Duration kGrace = 5s;
const ServerId kServer("s1");
const AttemptId kFirst("a1");
const AttemptId kSecond("a2");
const std::vector<BlockId> kBlocks{ BlockId(1), BlockId(2), BlockId(3) };

} // namespace

TEST_CASE("a block in progress on a server cannot be claimed again there")
{
  struct Row
  {
    const char* mName;
    std::vector<BlockId> mBlocks;
    std::uint32_t mPending;
    bool mBegins;
  };
  const Row rows[] = {
    { "same prefix", kBlocks, 3, false },
    { "longer prefix",
      { BlockId(1), BlockId(2), BlockId(3), BlockId(4) },
      3,
      false },
    { "shared first block", { BlockId(1), BlockId(8) }, 1, false },
    { "other blocks", { BlockId(8), BlockId(9) }, 0, true },
    { "block after the prefix", { BlockId(4) }, 0, true },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    InflightPrefixes inflight(kGrace);
    REQUIRE(inflight.Begin(kServer, kFirst, kBlocks, kStart + 1s, kStart));
    const auto pending = inflight.Find(kServer, row.mBlocks, kStart);
    CHECK(pending.mBlocks == row.mPending);
    CHECK(inflight.Begin(kServer, kSecond, row.mBlocks, kStart + 1s, kStart) ==
          row.mBegins);
    CHECK(inflight.Find(ServerId("s2"), row.mBlocks, kStart).mBlocks == 0);
  }
}

TEST_CASE("waiters are returned once when the work ends")
{
  enum class End : unsigned char
  {
    Finished,
    Expired,
    ServerGone
  };
  for (const auto end : { End::Finished, End::Expired, End::ServerGone }) {
    InflightPrefixes inflight(kGrace);
    REQUIRE(inflight.Begin(kServer, kFirst, kBlocks, kStart + 1s, kStart));
    REQUIRE(inflight.Wait(kServer, BlockId(2), kSecond, kStart));
    CHECK_FALSE(inflight.Wait(kServer, BlockId(7), kSecond, kStart));
    CHECK(inflight.Expire(kStart + 1s + kGrace - 1us).empty());
    const auto waiters = end == End::Finished ? inflight.Finish(kServer, kFirst)
                         : end == End::Expired
                           ? inflight.Expire(kStart + 1s + kGrace)
                           : inflight.OnServerGone(kServer);
    CHECK(waiters == std::vector<AttemptId>{ kSecond });
    CHECK(inflight.Finish(kServer, kFirst).empty());
    CHECK(inflight.Find(kServer, kBlocks, kStart).mBlocks == 0);
    CHECK(inflight.Begin(kServer, kSecond, kBlocks, kStart + 9s, kStart));
  }
}

TEST_CASE("expired work does not block later requests")
{
  InflightPrefixes inflight(kGrace);
  REQUIRE(inflight.Begin(kServer, kFirst, kBlocks, kStart + 1s, kStart));
  const auto later = kStart + 1s + kGrace;
  CHECK(inflight.Find(kServer, kBlocks, later).mBlocks == 0);
  REQUIRE(inflight.Begin(kServer, kSecond, kBlocks, later + 1s, later));
  // Finishing the expired attempt must not release the second's blocks.
  CHECK(inflight.Finish(kServer, kFirst).empty());
  CHECK(inflight.Find(kServer, kBlocks, later).mBlocks == 3);
}
