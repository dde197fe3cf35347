#include "evidence_gate.h"

#include "followed_tables.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("requests wait for evidence that the table service gives in time")
{
  enum class Table : unsigned char
  {
    Answers,
    AnswersLate,
    Fails,
    // Has failed, which is known.
    HasFailed,
    // Came back from an older copy.
    IsDoubted
  };
  struct Row
  {
    Table mTable;
    // Age of the evidence that is needed, and that there is.
    Duration mNeeded;
    Duration mHas;
    bool mIsGiven;
    Duration mLongest;
  };
  for (const Row& row : { Row{ Table::Answers, 3s, 1s, true, 0ms },
                          Row{ Table::Answers, 1s, 1900ms, true, 20ms },
                          Row{ Table::AnswersLate, 1s, 1900ms, false, 250ms },
                          Row{ Table::Fails, 1s, 1900ms, false, 250ms },
                          Row{ Table::HasFailed, 1s, 1900ms, false, 0ms },
                          Row{ Table::IsDoubted, 3s, 1s, false, 0ms } }) {
    CAPTURE(static_cast<int>(row.mTable));
    CAPTURE(row.mIsGiven);
    FollowedTables fixture;
    EvidenceGate gate(
      fixture.mLoop, fixture.mLoop, fixture.mTables, fixture.mViews);
    fixture.Run([&] {
      fixture.mTables.SetDirect(false, false);
      // Until nothing is under way.
      (void)fixture.mLoop.Sleep(5s);
      fixture.mTables.Check(SiteTable::Operator);
      (void)fixture.mLoop.Sleep(row.mHas);
      fixture.mFeed.mReadDelay = row.mTable == Table::AnswersLate ? 1s : 0ms;
      fixture.mFeed.mIsDown =
        row.mTable == Table::Fails || row.mTable == Table::HasFailed;
      fixture.mViews.SetOutage(SiteTable::Operator,
                               row.mTable == Table::HasFailed);
      if (row.mTable == Table::IsDoubted) {
        fixture.mViews.DoubtUntil(BootNow() + 2s);
      }
      const auto begin = MonotonicNow();
      CHECK(gate.Await(BootNow() - row.mNeeded, 250ms) == row.mIsGiven);
      CHECK(MonotonicNow() - begin <= row.mLongest);
    });
  }
}

// Guards against a flood of calls to the table service when many callers ask
// for what does not exist.
TEST_CASE("requests that wait for evidence share one call")
{
  FollowedTables fixture;
  EvidenceGate gate(
    fixture.mLoop, fixture.mLoop, fixture.mTables, fixture.mViews);
  fixture.Run([&] {
    fixture.mTables.SetDirect(false, false);
    (void)fixture.mLoop.Sleep(5s);
    fixture.mFeed.mReadDelay = 50ms;
    const auto before = fixture.mFeed.mCalls;
    const auto needed = BootNow();
    int given = 0;
    for (int n = 0; n < 100; ++n) {
      fixture.mLoop.Spawn([&] { given += gate.Await(needed, 1s) ? 1 : 0; });
    }
    (void)fixture.mLoop.Sleep(200ms);
    CHECK(given == 100);
    CHECK(fixture.mFeed.mCalls - before <= 2);
  });
}

// Guards against requests by a view from before a suspension of the VM.
TEST_CASE("evidence brings the configuration that the view lacks")
{
  FollowedTables fixture;
  EvidenceGate gate(
    fixture.mLoop, fixture.mLoop, fixture.mTables, fixture.mViews);
  fixture.Run([&] {
    fixture.mTables.SetDirect(false, false);
    (void)fixture.mLoop.Sleep(5s);
    fixture.mFeed.PutConfig();
    CHECK(gate.Await(BootNow(), 250ms));
    CHECK(fixture.Config() == 2);
  });
}
