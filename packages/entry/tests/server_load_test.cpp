#include <bilberrytrail/entry/server_load.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr double kSpeed = 100;

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

} // namespace

TEST_CASE("work drains at the server's speed, urgent ranks first")
{
  ServerLoad load(kSpeed);
  load.Add(2, 5000, At(0s));
  load.Add(0, 1000, At(0s));
  struct Row
  {
    Duration mAt;
    unsigned mRank;
    double mWorkAhead;
  };
  for (const Row& row : { Row{ 0ms, 0, 1000 },
                          Row{ 0ms, 1, 1000 },
                          Row{ 0ms, 2, 6000 },
                          Row{ 5ms, 0, 500 },
                          Row{ 5ms, 9, 5500 },
                          Row{ 20ms, 0, 0 },
                          Row{ 20ms, 2, 4000 },
                          Row{ 1s, 9, 0 } }) {
    CAPTURE(row.mRank);
    CHECK(load.WorkAhead(row.mRank, At(row.mAt)) ==
          doctest::Approx(row.mWorkAhead));
  }
  load.Remove(2, 9000, At(20ms));
  CHECK(load.WorkAhead(9, At(20ms)) == 0);
  // Ranks above the last one count as the last one.
  load.Add(40, 10, At(1s));
  CHECK(load.WorkAhead(kRanks - 1, At(1s)) == doctest::Approx(10));
}

TEST_CASE("the baseline rises slowly and falls quickly")
{
  BaselineTime time;
  CHECK(time.Baseline() == Duration(0));
  time.Note(100ms);
  CHECK(time.Baseline() == 100ms);
  for (int n = 0; n < 5; ++n) {
    time.Note(1s);
  }
  CHECK(time.Baseline() < 200ms);
  for (int n = 0; n < 30; ++n) {
    time.Note(100ms);
  }
  CHECK(time.Baseline() < 110ms);
  time.Note(-50ms);
  CHECK(time.Baseline() >= Duration(0));
}

TEST_CASE("the most recently used parts are kept as far as they fit")
{
  RecentParts parts;
  parts.Use(1, 400, 1000);
  parts.Use(2, 400, 1000);
  parts.Use(1, 400, 1000);
  parts.Use(3, 400, 1000);
  CHECK(parts.Contains(1));
  CHECK_FALSE(parts.Contains(2));
  CHECK(parts.Contains(3));
  // The part used last is kept even if it does not fit.
  parts.Use(4, 400, -5);
  CHECK(parts.Contains(4));
  CHECK_FALSE(parts.Contains(1));
}
