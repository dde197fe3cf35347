#include "followed_tables.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

// Reads the whole operator's table, which is shown at the time of the call.
void
Read(FollowedTables& aFixture, TableVersion aVersion)
{
  const SiteRows rows{ { { "config", "1", aVersion } }, aVersion };
  const auto now = BootNow();
  aFixture.mState.OnTableRows(SiteTable::Operator, { true, rows }, now, now);
}

} // namespace

// Guards against refusals for what a restored table lacks until the operator
// has written again: by its rows, and later by evidence of that time.
TEST_CASE(
  "an era is doubted, and shows nothing unless it is the first one read")
{
  struct Row
  {
    TableVersion mBefore;
    TableVersion mVersion;
    bool mIsDoubted;
    bool mIsShown;
  };
  for (const Row& row :
       { Row{ {}, TableVersion(5), false, true },
         Row{ {}, TableVersion(5, 1), true, true },
         Row{ TableVersion(5, 1), TableVersion(6, 1), false, true },
         Row{ TableVersion(5, 1), TableVersion(3, 2), true, false },
         Row{ TableVersion(5), TableVersion(3, 1), true, false } }) {
    CAPTURE(row.mVersion.Number());
    CAPTURE(row.mVersion.Era());
    FollowedTables fixture;
    fixture.mLoop.Spawn([&] {
      if (row.mBefore.IsKnown()) {
        Read(fixture, row.mBefore);
        (void)fixture.mLoop.Sleep(10s);
      }
      const auto& views = fixture.mViews;
      const auto shownAt = BootNow();
      Read(fixture, row.mVersion);
      CHECK(views.IsDoubted(BootNow()) == row.mIsDoubted);
      CHECK((views.CompleteAt(SiteTable::Operator) == shownAt) == row.mIsShown);
      (void)fixture.mLoop.Sleep(SiteReplica::kRecoveryTime);
      CHECK_FALSE(views.IsDoubted(BootNow()));
      Read(fixture, row.mVersion);
      CHECK(views.CompleteAt(SiteTable::Operator) == BootNow());
      fixture.mLoop.Stop();
    });
    fixture.mLoop.Run();
  }
}
