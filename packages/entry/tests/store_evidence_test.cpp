#include "cache_follower.h"
#include "cache_server.h"

#include <bilberrytrail/entry/cache_directory.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>

using namespace bilberrytrail;

namespace {

const StoreId kStore("store");
const Endpoint kStoreEndpoint{ "10.0.0.1", 1 };
const Endpoint kRelay{ "10.0.0.2", 2 };

// A store that restarts now and then, and of which the answers are read some
// time after they were written.
class RestartingStore final : public CacheEventPort
{
public:
  explicit RestartingStore(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void Restart()
  {
    ++mEpoch;
    mRestartedAt = BootNow();
  }

  CallResult<CacheEvents> ReadEvents(const Endpoint& /*aStore*/,
                                     std::uint64_t aSince,
                                     Duration aWait,
                                     Duration /*aTimeout*/) override
  {
    const auto end = BootNow() + aWait;
    while (Answer(aSince).mEvents.empty() && BootNow() < end &&
           mLoop.Sleep(10ms)) {
    }
    auto events = Answer(aSince);
    (void)mLoop.Sleep(mReadDelay);
    return events;
  }

  // Time between the writing and the reading of an answer.
  Duration mReadDelay{};
  // Time between two events.
  Duration mEventGap = 3600s;
  bool mNamesClock = true;
  std::uint64_t mEpoch = 1;
  Instant mRestartedAt;

private:
  [[nodiscard]] CacheEvents Answer(std::uint64_t aSince) const
  {
    CacheEvents events;
    events.mEpoch = mEpoch;
    events.mNext =
      static_cast<std::uint64_t>((BootNow() - mRestartedAt) / mEventGap);
    if (mNamesClock) {
      events.mClockMs = static_cast<std::uint64_t>(WholeMillis(BootNow()));
    }
    for (auto n = aSince + 1; n <= events.mNext; ++n) {
      events.mEvents.push_back({ true, "salt", std::to_string(n), n });
    }
    return events;
  }

  Loop& mLoop;
};

// Carries queries to one daemon, of which the answers are read some time after
// they were written.
class LateTransport final : public PeerTransport
{
public:
  LateTransport(Loop& aLoop, CacheServer& aServer)
    : mLoop(aLoop)
    , mServer(aServer)
  {
  }

  Result<std::string> Call(const Endpoint& /*aDaemon*/,
                           const std::string& /*aPath*/,
                           std::string aBody,
                           const AnswerLimits& /*aLimits*/) override
  {
    auto reply = mServer.Answer(aBody);
    (void)mLoop.Sleep(mReadDelay);
    return reply;
  }

  Duration mReadDelay{};

private:
  Loop& mLoop;
  CacheServer& mServer;
};

class NoSink final : public CacheSink
{
public:
  void OnStores(std::vector<CacheStore> /*aStores*/) override {}
  void OnPage(CachePage /*aPage*/) override {}
};

// A relay that follows a store, and a daemon that follows the relay, in virtual
// time.
struct FollowedStore
{
  Loop mLoop{ LoopTime::Virtual };
  RestartingStore mStore{ mLoop };
  NoSink mSink;
  HistogramRegistry mTimes{ 8 };
  CounterRegistry mCounts{ 8 };
  SiteMetrics mMetrics{ mTimes, mCounts };
  SiteViewHolder mViews;
  StoreFollower mRelayStores{ mLoop, mStore, mViews, mSink, 1 };
  CacheServer mServer{ mRelayStores, mMetrics, 0 };
  LateTransport mTransport{ mLoop, mServer };
  StoreFollower mStores{ mLoop, mStore, mViews, mSink, 2 };
  CacheFollower mFollower{ mLoop, mTransport, mStores };

  FollowedStore()
  {
    SiteConfig config;
    config.mStores = { { kStore, kStoreEndpoint, ZoneId("a") } };
    auto view = std::make_shared<SiteView>();
    view->mConfig = std::make_shared<SiteConfig>(std::move(config));
    mViews.Store(std::move(view));
  }

  void Run(const std::function<void()>& aBody)
  {
    mLoop.Spawn([&] {
      mRelayStores.Start();
      mFollower.Start();
      mFollower.SetDirect(false);
      mFollower.SetRelay(kRelay);
      (void)mLoop.Sleep(2s);
      aBody();
      mLoop.Stop();
    });
    mLoop.Run();
  }
};

// Returns when a daemon knows a store to have answered last; the earliest time
// when it does not.
Instant
AnsweredAt(const StoreFollower& aStores)
{
  const auto ages = aStores.PageAt({}).mStoreAges;
  return ages.empty() ? Instant::min() : BootNow() - ages.front().mAge;
}

bool
KnowsLife(const StoreFollower& aStores, std::uint64_t aEpoch)
{
  return std::ranges::any_of(
    aStores.Positions(),
    [&](const CachePosition& aPosition) { return aPosition.mEpoch == aEpoch; });
}

} // namespace

// Guards against prompts that are read from a store with what it held before a
// restart: answers were dated by when they were read, so that late ones made
// what a daemon knew of the store count as fresh.
TEST_CASE("a store's answer is never dated after a restart that it lacks")
{
  struct Row
  {
    const char* mName;
    Duration mFromStore;
    Duration mFromRelay;
    bool mNamesClock;
  };
  for (const Row& row : { Row{ "in time", 0ms, 0ms, true },
                          Row{ "late from the store", 900ms, 0ms, true },
                          Row{ "no clock", 900ms, 0ms, false },
                          Row{ "late from the relay", 0ms, 1500ms, true },
                          Row{ "later", 900ms, 4500ms, true } }) {
    CAPTURE(row.mName);
    FollowedStore fixture;
    fixture.mStore.mEventGap = 170ms;
    fixture.Run([&] {
      fixture.mStore.mReadDelay = row.mFromStore;
      fixture.mStore.mNamesClock = row.mNamesClock;
      fixture.mTransport.mReadDelay = row.mFromRelay;
      // Restarts come at all phases of a wait.
      for (int n = 0; n < 40; ++n) {
        fixture.mStore.Restart();
        const auto end = BootNow() + 7130ms;
        while (BootNow() < end && fixture.mLoop.Sleep(50ms)) {
          for (const auto* it : { &fixture.mRelayStores, &fixture.mStores }) {
            if (!KnowsLife(*it, fixture.mStore.mEpoch)) {
              CHECK(AnsweredAt(*it) <= fixture.mStore.mRestartedAt);
            }
          }
        }
      }
    });
  }
}

TEST_CASE("a store is in use while its answers are read in time")
{
  for (const auto gap : { 7ms, 170ms, 290ms, 390ms, 3'600'000ms }) {
    CAPTURE(gap.count());
    FollowedStore fixture;
    fixture.mStore.mEventGap = gap;
    fixture.Run([&] {
      fixture.mStore.mReadDelay = 2ms;
      fixture.mTransport.mReadDelay = 2ms;
      (void)fixture.mLoop.Sleep(3s);
      Duration oldest{};
      for (int n = 0; n < 1000; ++n) {
        (void)fixture.mLoop.Sleep(17ms);
        oldest = std::max(oldest, BootNow() - AnsweredAt(fixture.mStores));
      }
      CHECK(oldest <= CacheDirectory::kFreshTime);
    });
  }
}
