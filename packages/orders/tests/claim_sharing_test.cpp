#include <bilberrytrail/orders/claim_batch.h>
#include <bilberrytrail/orders/claim_sharing.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("claim homes grow with the daemons up to the maximum")
{
  struct Row
  {
    std::size_t mDaemons;
    std::uint32_t mMaxHomes;
    std::uint32_t mExpected;
  };
  const Row rows[] = { { 0, 8, 1 },   { 1, 8, 1 },    { 57, 8, 1 },
                       { 199, 8, 1 }, { 200, 8, 2 },  { 400, 8, 4 },
                       { 400, 3, 3 }, { 4000, 8, 8 }, { 400, 0, 1 } };
  for (const auto& row : rows) {
    CAPTURE(row.mDaemons);
    CHECK(ClaimHomeCount(row.mDaemons, row.mMaxHomes) == row.mExpected);
  }
}

TEST_CASE("all homes together keep the transaction rate of the table")
{
  struct Row
  {
    std::uint32_t mHomes;
    std::uint64_t mRate;
    Duration mLongest;
    Duration mExpected;
  };
  const Row rows[] = { { 1, 200, 25ms, 5ms },  { 4, 200, 25ms, 20ms },
                       { 8, 200, 25ms, 25ms }, { 1, 0, 25ms, 25ms },
                       { 1, 1000, 25ms, 1ms }, { 4, 200, 0ms, 0ms } };
  for (const auto& row : rows) {
    CAPTURE(row.mHomes);
    CHECK(MaxBatchInterval(row.mHomes, row.mRate, row.mLongest) ==
          row.mExpected);
  }
}

// A site of 400 daemons with 550 orders/s, each with a claim and an outcome
// write. The table handles about 300 transactions/s, of which leases use 32.
TEST_CASE("at full size batches carry several writes and fit the table's rate")
{
  constexpr Duration kLength = 10s;
  const auto homes = ClaimHomeCount(400, 8);
  ClaimBatchLimits limits;
  limits.mInterval = MaxBatchInterval(homes, 200, 25ms);
  ClaimBatcher batcher(limits);
  const Duration gap = Duration(1s) * homes / 1100;
  std::uint64_t writes = 0;
  std::uint64_t batches = 0;
  Instant next{ 100s };
  for (Instant now{ 100s }; now < Instant{ 100s } + kLength; now += 100us) {
    if (now >= next) {
      next += gap;
      REQUIRE(batcher.Add(writes, { std::to_string(writes), "v", 0 }, now));
      ++writes;
    }
    if (const auto batch = batcher.Poll(now)) {
      ++batches;
      (void)batcher.OnCommitted(batch->mNumber, CommitOutcome{ true, {} });
    }
  }
  CHECK(writes >= 4 * batches);
  CHECK(batches * homes / 10 <= 300 - 32);
}
