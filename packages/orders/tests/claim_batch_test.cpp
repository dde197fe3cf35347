#include "claim_model.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/orders/claim_batch.h>

#include <doctest/doctest.h>

#include <map>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };

TableWrite
MakeWrite(const std::string& aKey, std::uint64_t aVersion = 0)
{
  return { aKey, "v", aVersion };
}

} // namespace

TEST_CASE("the batch interval grows with the write rate up to the longest")
{
  struct Row
  {
    std::size_t mRecent;
    Duration mLongest;
    Duration mExpected;
  };
  // kClaimRateWindow contains eight intervals of 25 ms.
  const Row rows[] = {
    { 0, 25ms, 0ms },        { 1, 25ms, 0ms },      { 8, 25ms, 0ms },
    { 20, 25ms, 12500us },   { 32, 25ms, 25ms },    { 33, 25ms, 25ms },
    { 100'000, 25ms, 25ms }, { 100'000, 0ms, 0ms }, { 20, 10ms, 0ms },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mRecent);
    CHECK(BatchInterval(row.mRecent, row.mLongest) == row.mExpected);
  }
  Duration last{};
  for (std::size_t n = 0; n < 100; ++n) {
    CHECK(BatchInterval(n, 25ms) >= last);
    last = BatchInterval(n, 25ms);
  }
}

TEST_CASE("a single write does not wait for others")
{
  ClaimBatcher batcher({});
  for (std::uint64_t n = 0; n < 100; ++n) {
    const auto now = kStart + n * 30ms;
    REQUIRE(batcher.Add(n, MakeWrite("k" + std::to_string(n)), now));
    CHECK(batcher.NextPoll() == now);
    const auto batch = batcher.Poll(now);
    REQUIRE(batch);
    CHECK(batch->mWrites.size() == 1);
    CHECK(
      batcher.OnCommitted(batch->mNumber, CommitOutcome{ true, {} }).size() ==
      1);
  }
}

TEST_CASE("frequent writes share batches and wait at most the interval")
{
  struct Row
  {
    Duration mGap;
    std::size_t mMinPerBatch;
  };
  const ClaimBatchLimits limits;
  // In a site of full size a claim home gets a write every 3.6 ms.
  for (const auto& row : { Row{ 4ms, 4 }, Row{ 1ms, 20 }, Row{ 200us, 60 } }) {
    CAPTURE(ToMillis(row.mGap));
    ClaimBatcher batcher(limits);
    std::map<std::uint64_t, Instant> arrivals;
    std::size_t batches = 0;
    std::uint64_t written = 0;
    std::uint64_t added = 0;
    Instant next = kStart;
    for (Instant now = kStart; now < kStart + 2s; now += 100us) {
      if (now >= next) {
        arrivals[added] = now;
        const auto key = "k" + std::to_string(added);
        REQUIRE(batcher.Add(added++, MakeWrite(key), now));
        next = now + row.mGap;
      }
      while (const auto batch = batcher.Poll(now)) {
        ++batches;
        const CommitOutcome done{ true, {} };
        for (const auto& it : batcher.OnCommitted(batch->mNumber, done)) {
          ++written;
          CHECK(now - arrivals[it.mTicket] <= limits.mInterval);
        }
      }
    }
    CHECK(written >= batches * row.mMinPerBatch);
    CHECK(written + batcher.Waiting() == added);
  }
}

TEST_CASE("a batch is limited in writes and bytes")
{
  ClaimBatchLimits limits;
  limits.mMaxWrites = 3;
  limits.mMaxBytes = 100;
  ClaimBatcher batcher(limits);
  for (std::uint64_t n = 0; n < 4; ++n) {
    REQUIRE(batcher.Add(n, MakeWrite("k" + std::to_string(n)), kStart));
  }
  CHECK(batcher.Poll(kStart)->mWrites.size() == 3);
  REQUIRE(batcher.Add(9, { "big", std::string(200, 'x'), 0 }, kStart));
  CHECK(batcher.Poll(kStart + 1s)->mWrites.size() == 1);
  CHECK(batcher.Poll(kStart + 1s)->mWrites.front().mKey == "big");
}

TEST_CASE("a write over mMaxWaiting is refused as not run")
{
  ClaimBatchLimits limits;
  limits.mMaxWaiting = 1;
  ClaimBatcher batcher(limits);
  REQUIRE(batcher.Add(1, MakeWrite("a"), kStart));
  const auto refused = batcher.Add(2, MakeWrite("b"), kStart);
  REQUIRE_FALSE(refused);
  CHECK(refused.error().mDisposition == CallDisposition::NotRun);
}

TEST_CASE("two writes of one row are never in flight together")
{
  ClaimBatcher batcher({});
  REQUIRE(batcher.Add(1, MakeWrite("a"), kStart));
  REQUIRE(batcher.Add(2, MakeWrite("a"), kStart));
  const auto batch = batcher.Poll(kStart + 1s);
  REQUIRE(batch);
  CHECK(batch->mWrites.size() == 1);
  CHECK_FALSE(batcher.Poll(kStart + 1s));
  const auto completed =
    batcher.OnCommitted(batch->mNumber, CommitOutcome{ true, {} });
  REQUIRE(completed.size() == 1);
  CHECK(completed.front().mTicket == 1);
  CHECK(batcher.Poll(kStart + 1s)->mWrites.size() == 1);
}

TEST_CASE(
  "a conflict on one row completes that row and the others still commit")
{
  claim_model::Table table;
  (void)table.Commit({ MakeWrite("b") });
  ClaimBatcher batcher({});
  const char* const keys[] = { "a", "b", "c" };
  for (std::uint64_t n = 0; n < 3; ++n) {
    REQUIRE(batcher.Add(n, MakeWrite(keys[n]), kStart));
  }
  std::map<std::uint64_t, bool> committed;
  while (const auto batch = batcher.Poll(kStart + 1s)) {
    const auto outcome = table.Commit(batch->mWrites);
    for (const auto& it : batcher.OnCommitted(batch->mNumber, outcome)) {
      committed[it.mTicket] = it.mOutcome.value().mCommitted;
    }
  }
  CHECK(committed == std::map<std::uint64_t, bool>{
                       { 0, true }, { 1, false }, { 2, true } });
}

TEST_CASE("a failed batch completes each write with its disposition")
{
  for (const auto disposition : AllOf<CallDisposition>()) {
    ClaimBatcher batcher({});
    REQUIRE(batcher.Add(1, MakeWrite("a"), kStart));
    REQUIRE(batcher.Add(2, MakeWrite("b"), kStart));
    const auto batch = batcher.Poll(kStart + 1s);
    const auto completed = batcher.OnCommitted(
      batch->mNumber, FailCall(disposition, ErrorCode::Timeout, "timeout"));
    REQUIRE(completed.size() == 2);
    for (const auto& it : completed) {
      CHECK(it.mOutcome.error().mDisposition == disposition);
    }
    CHECK(batcher.OnCommitted(batch->mNumber, CommitOutcome{}).empty());
  }
}

TEST_CASE("a conflict that names no row of the batch is not retried")
{
  ClaimBatcher batcher({});
  REQUIRE(batcher.Add(1, MakeWrite("a"), kStart));
  const auto batch = batcher.Poll(kStart + 1s);
  const auto completed = batcher.OnCommitted(batch->mNumber, CommitOutcome{});
  REQUIRE(completed.size() == 1);
  CHECK(completed.front().mOutcome.error().mDisposition ==
        CallDisposition::NotRun);
  CHECK(batcher.Waiting() == 0);
}

TEST_CASE("every write completes once under conflicts and lost replies")
{
  constexpr std::uint64_t kWrites = 3000;
  Random random(11);
  claim_model::Table table;
  ClaimBatcher batcher({});
  std::map<std::uint64_t, int> completedCount;
  std::map<std::uint64_t, std::string> keys;
  Instant now = kStart;
  for (std::uint64_t n = 0; n < kWrites || batcher.Waiting() > 0; ++n) {
    now += 200us;
    if (n < kWrites) {
      keys[n] = "k" + std::to_string(random.Below(1500));
      REQUIRE(batcher.Add(n, { keys[n], std::to_string(n), 0 }, now));
    }
    const auto batch = batcher.Poll(now);
    if (!batch) {
      continue;
    }
    CallResult<CommitOutcome> outcome =
      FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "timeout");
    const auto fault = random.Below(5);
    if (fault != 0) {
      const auto real = table.Commit(batch->mWrites);
      if (fault != 1) {
        outcome = real;
      }
    }
    for (const auto& it : batcher.OnCommitted(batch->mNumber, outcome)) {
      ++completedCount[it.mTicket];
      if (it.mOutcome && it.mOutcome.value().mCommitted) {
        CHECK(table.Read(keys[it.mTicket])->mValue ==
              std::to_string(it.mTicket));
      }
    }
  }
  CHECK(completedCount.size() == kWrites);
  for (const auto& [ticket, n] : completedCount) {
    CHECK(n == 1);
  }
}
