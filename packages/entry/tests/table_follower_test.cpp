#include "followed_tables.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

// Guards against a daemon that refuses what has been added, since it took the
// time at which it read an answer for that at which the answer was true.
TEST_CASE("evidence is never newer than the changes that a daemon lacks")
{
  for (const auto delay : { 0ms, 300ms, 1500ms, 3000ms, 6000ms }) {
    CAPTURE(delay.count());
    FollowedTables fixture;
    fixture.Run([&] {
      fixture.mFeed.mReadDelay = delay;
      // Changes come at all phases of a wait.
      for (int n = 0; n < 40; ++n) {
        fixture.mFeed.PutConfig();
        const auto end = MonotonicNow() + 1700ms;
        while (MonotonicNow() < end && fixture.mLoop.Sleep(50ms)) {
          if (fixture.Config() < fixture.mFeed.mConfig) {
            CHECK(fixture.mViews.CompleteAt(SiteTable::Operator) <=
                  fixture.mFeed.mPutAt);
          }
        }
      }
    });
  }
}

TEST_CASE("evidence stays young while answers are read in time")
{
  for (const bool isServing : { false, true }) {
    CAPTURE(isServing);
    FollowedTables fixture;
    fixture.Run([&] {
      fixture.mTables.SetDirect(true, isServing);
      (void)fixture.mLoop.Sleep(3s);
      Duration longest{};
      for (int n = 0; n < 400; ++n) {
        (void)fixture.mLoop.Sleep(25ms);
        longest = std::max(longest, fixture.Lag());
      }
      CHECK(longest <= (isServing ? 900ms : 2700ms));
    });
  }
}

// Guards against a daemon that learns only at the end of a wait what it has
// missed while it followed another daemon.
TEST_CASE("a daemon that begins to follow directly reads at once")
{
  FollowedTables fixture;
  fixture.Run([&] {
    fixture.mTables.SetDirect(false, false);
    (void)fixture.mLoop.Sleep(4s);
    fixture.mFeed.PutConfig();
    fixture.mTables.SetDirect(true, false);
    (void)fixture.mLoop.Sleep(50ms);
    CHECK(fixture.Config() == 2);
    CHECK(fixture.Lag() <= 100ms);
  });
}

// Guards against a daemon that is late for as long as the way on which it
// follows brings nothing, although that way does not fail.
TEST_CASE("overdue evidence is asked for, whichever way a daemon follows")
{
  FollowedTables fixture;
  fixture.Run([&] {
    // Its relay answers nothing of use.
    fixture.mTables.SetDirect(false, false);
    (void)fixture.mLoop.Sleep(10s);
    fixture.mFeed.PutConfig();
    (void)fixture.mLoop.Sleep(2300ms);
    CHECK(fixture.Config() == 2);
    CHECK(fixture.Lag() <= 2300ms);
  });
}

TEST_CASE("a check reads what has changed, and tells an outage")
{
  FollowedTables fixture;
  fixture.Run([&] {
    fixture.mTables.SetDirect(false, false);
    (void)fixture.mLoop.Sleep(100ms);
    fixture.mFeed.PutConfig();
    fixture.mTables.Check(SiteTable::Operator);
    CHECK(fixture.Config() == 2);
    CHECK(fixture.Lag() == 0ms);
    fixture.mFeed.mIsDown = true;
    fixture.mTables.Check(SiteTable::Operator);
    CHECK(fixture.mViews.HasOutage(SiteTable::Operator));
    // One table's outage is not that of the other one.
    CHECK_FALSE(fixture.mViews.HasOutage(SiteTable::Servers));
    fixture.mFeed.mIsDown = false;
    fixture.mTables.Check(SiteTable::Operator);
    CHECK_FALSE(fixture.mViews.HasOutage(SiteTable::Operator));
  });
}

TEST_CASE("an outage costs few calls")
{
  FollowedTables fixture;
  fixture.Run([&] {
    fixture.mFeed.mIsDown = true;
    (void)fixture.mLoop.Sleep(3s);
    const auto before = fixture.mFeed.mCalls;
    (void)fixture.mLoop.Sleep(20s);
    // Each table once a second.
    CHECK(fixture.mFeed.mCalls - before <= 50);
  });
}

// Guards against a daemon that goes on with an old configuration after its
// connections to the table service have fallen silent: each of them, the idle
// ones too, cost the time until a call was given up.
TEST_CASE("a view is up to date soon after all connections fell silent")
{
  struct Row
  {
    const char* mName;
    bool mIsServing;
    // Idle connections beside the waits.
    std::size_t mIdle;
    // They fall silent once more after this time.
    Duration mAgainAfter;
  };
  for (const Row& row : { Row{ "followed directly", false, 0, 0ms },
                          Row{ "others rely on it", true, 0, 0ms },
                          Row{ "one idle connection", false, 1, 0ms },
                          Row{ "twelve idle ones", false, 12, 0ms },
                          Row{ "twice", false, 1, 1500ms },
                          Row{ "again at once", true, 1, 900ms } }) {
    // Silences come at all phases of a wait.
    for (auto phase = 0ms; phase < 2700ms; phase += 50ms) {
      CAPTURE(std::string(row.mName));
      CAPTURE(phase.count());
      FollowedTables fixture;
      fixture.Run([&] {
        auto& feed = fixture.mFeed;
        fixture.mTables.SetDirect(true, row.mIsServing);
        (void)fixture.mLoop.Sleep(3s + phase);
        feed.mIdle.assign(row.mIdle, 0);
        feed.Silence();
        (void)fixture.mLoop.Sleep(row.mAgainAfter);
        if (row.mAgainAfter > 0ms) {
          feed.Silence();
        }
        const auto silentAt = MonotonicNow();
        feed.PutConfig();
        const auto& config = feed.mConfig;
        while (fixture.Config() < config && fixture.mLoop.Sleep(10ms)) {
        }
        CHECK(MonotonicNow() - silentAt <= 2800ms);
        // The next change is known at once.
        (void)fixture.mLoop.Sleep(3s);
        feed.PutConfig();
        (void)fixture.mLoop.Sleep(200ms);
        CHECK(fixture.Config() == config);
        CHECK_FALSE(fixture.mViews.HasOutage(SiteTable::Operator));
      });
    }
  }
}

// Guards against the same at a daemon whose relay fails: the connections to the
// table service that it had kept may be silent, too.
TEST_CASE("a daemon that begins to follow directly uses new connections")
{
  FollowedTables fixture;
  fixture.Run([&] {
    fixture.mTables.SetDirect(false, false);
    (void)fixture.mLoop.Sleep(4s);
    fixture.mFeed.mIdle.assign(3, 0);
    fixture.mFeed.Silence();
    fixture.mFeed.PutConfig();
    fixture.mTables.SetDirect(true, false);
    (void)fixture.mLoop.Sleep(50ms);
    CHECK(fixture.Config() == 2);
  });
}

// Guards against a remedy that costs calls while nothing is wrong.
TEST_CASE("following costs one call for each wait, and no new connections")
{
  for (const auto delay : { 0ms, 100ms }) {
    CAPTURE(delay.count());
    FollowedTables fixture;
    fixture.Run([&] {
      fixture.mFeed.mReadDelay = delay;
      (void)fixture.mLoop.Sleep(3s);
      const auto calls = fixture.mFeed.mCalls;
      const auto opened = fixture.mFeed.mOpened;
      (void)fixture.mLoop.Sleep(100s);
      CHECK(fixture.mFeed.mCalls - calls <= 80);
      CHECK(fixture.mFeed.mOpened == opened);
    });
  }
}

// Guards against a daemon that reads the tables late after an outage, since it
// waits for other daemons that don't respond before it asks again.
TEST_CASE("silent daemons don't delay the next call to the table service")
{
  for (auto outage = 1s; outage <= 6s; outage += 1s) {
    CAPTURE(outage.count());
    FollowedTables fixture;
    for (const char* name : { "d1", "d2" }) {
      fixture.mTable.mDaemons.push_back(
        { std::string("daemon/") + name, "10.0.0.2:82 z 20", 1 });
    }
    fixture.mLoop.Spawn([&] { fixture.mPeers.Run(); });
    fixture.Run([&] {
      (void)fixture.mLoop.Sleep(3s);
      REQUIRE(fixture.mPeers.All().size() >= 2);
      fixture.mFeed.mIsDown = true;
      (void)fixture.mLoop.Sleep(outage);
      fixture.mFeed.PutConfig();
      fixture.mFeed.mIsDown = false;
      (void)fixture.mLoop.Sleep(1200ms);
      CHECK(fixture.Config() == 2);
    });
  }
}

// Guards against a daemon that learns only at the end of its own wait what the
// others know.
TEST_CASE("a row that other daemons have is read after a time")
{
  constexpr Duration kPatience = 500ms;
  for (auto phase = 0ms; phase < 2700ms; phase += 150ms) {
    CAPTURE(phase.count());
    FollowedTables fixture;
    fixture.Run([&] {
      auto& feed = fixture.mFeed;
      (void)fixture.mLoop.Sleep(3s + phase);
      feed.mIdle.assign(2, 0);
      feed.Silence();
      feed.PutConfig();
      (void)fixture.mLoop.Sleep(10ms);
      fixture.mLoop.Spawn([&] {
        fixture.mTables.OnNewerRow(
          SiteTable::Operator, feed.mConfig, kPatience);
      });
      (void)fixture.mLoop.Sleep(kPatience + 100ms);
      CHECK(fixture.Config() == feed.mConfig);
    });
  }
}

// Guards against calls for rows that come by themselves, a little after others
// tell of them, and for one that the table service doesn't have.
TEST_CASE("rows that others tell of cost calls only if they don't come")
{
  constexpr Duration kPatience = 500ms;
  FollowedTables fixture;
  fixture.Run([&] {
    const auto tell = [&](std::uint64_t aRow) {
      fixture.mLoop.Spawn([&, aRow] {
        fixture.mTables.OnNewerRow(SiteTable::Operator, aRow, kPatience);
      });
    };
    auto& feed = fixture.mFeed;
    const auto before = feed.mCalls;
    for (int n = 0; n < 100; ++n) {
      tell(feed.mConfig + 1);
      (void)fixture.mLoop.Sleep(50ms);
      feed.PutConfig();
      (void)fixture.mLoop.Sleep(50ms);
    }
    // Two calls for each change, as without what others tell.
    CHECK(feed.mCalls - before <= 220);
    const auto calls = feed.mCalls;
    tell(feed.mConfig + 1000);
    (void)fixture.mLoop.Sleep(10s);
    CHECK(feed.mCalls - calls <= 15);
  });
}
