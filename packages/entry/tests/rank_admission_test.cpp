#include <bilberrytrail/entry/rank_admission.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

} // namespace

// Load: a burst of the least urgent kind, while urgent prompts near the longest
// time that their callers bear.
TEST_CASE("less urgent prompts are held back as urgent ones get late")
{
  struct Row
  {
    // Load of the urgent prompts until 0 s, and of the other one.
    double mUrgentLoad;
    unsigned mRank;
    double mLoad;
    Duration mAt;
    bool mIsAdmitted;
  };
  for (const Row& row : { Row{ 0.2, 2, 0.9, 0s, true },
                          Row{ 0.2, 2, 1.1, 0s, false },
                          Row{ 0.6, 2, 0.9, 0s, true },
                          Row{ 0.85, 2, 0.4, 0s, true },
                          Row{ 0.85, 2, 0.6, 0s, false },
                          Row{ 1.2, 2, 0.2, 0s, false },
                          // A server is free for it.
                          Row{ 1.2, 2, 0.05, 0s, true },
                          // The same rank and more urgent ones are not held.
                          Row{ 1.2, 1, 0.9, 0s, true },
                          Row{ 1.2, 0, 0.9, 0s, true },
                          // Room is not held back for long after the last.
                          Row{ 1.2, 2, 0.9, 600ms, true } }) {
    CAPTURE(row.mUrgentLoad);
    CAPTURE(row.mRank);
    CAPTURE(row.mLoad);
    RankAdmission admission;
    for (int n = 0; n < 100; ++n) {
      CHECK(admission.Admits(1, row.mUrgentLoad, At(-1s + n * 10ms)) ==
            (row.mUrgentLoad <= 1));
    }
    CHECK(admission.Admits(row.mRank, row.mLoad, At(row.mAt)) ==
          row.mIsAdmitted);
  }
}

TEST_CASE("a single late urgent prompt holds nothing back")
{
  RankAdmission admission;
  for (int n = 0; n < 50; ++n) {
    CHECK(admission.Admits(0, 0.3, At(n * 10ms)));
  }
  CHECK_FALSE(admission.Admits(0, 9, At(500ms)));
  CHECK(admission.Admits(2, 0.9, At(500ms)));
}
