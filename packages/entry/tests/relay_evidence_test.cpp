#include "followed_tables.h"

#include "peer_call.h"
#include "site_server.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

// Carries calls to one daemon, of which the answers are read some time after
// they were written.
class LateRelay final : public PeerTransport
{
public:
  LateRelay(Loop& aLoop, SiteServer& aServer)
    : mLoop(aLoop)
    , mServer(aServer)
  {
    mMethods.Add(
      std::string(kNoticeMethod), [this](const Json& aParams) -> Result<Json> {
        const auto query = ReadNoticeQuery(aParams);
        if (!query) {
          return query.error();
        }
        return ToJson(mServer.Answer(query.value(), [] { return true; }));
      });
  }

  Result<std::string> Call(const Endpoint& /*aDaemon*/,
                           const std::string& aPath,
                           std::string aBody,
                           const AnswerLimits& /*aLimits*/) override
  {
    auto answer = aPath == kRowsPath
                    ? mServer.AnswerRows(aBody)
                    : Result<std::string>(mMethods.Serve(aBody));
    (void)mLoop.Sleep(mReadDelay);
    return answer;
  }

  Duration mReadDelay{};

private:
  Loop& mLoop;
  SiteServer& mServer;
  RpcMethods mMethods;
};

// A relay that follows the tables, and a daemon that asks it, in virtual time.
struct RelayedTables
{
  FollowedTables mRelay;
  SiteServer mServer{ mRelay.mLoop,
                      mRelay.mState,
                      mRelay.mNotifier,
                      mRelay.mMetrics };
  LateRelay mTransport{ mRelay.mLoop, mServer };
  SiteViewHolder mViews;
  SiteState mState{ mRelay.mLoop, mRelay.mReader, mViews, mRelay.mMetrics };
  LoadingNotifier mNotifier{ mRelay.mLoop,
                             mRelay.mPeers,
                             mTransport,
                             DaemonId("e"),
                             [](const auto&) {} };
  PeerSiteReader mReader{ mRelay.mLoop, mTransport, mState, mNotifier };

  void Run(const std::function<void()>& aBody)
  {
    mRelay.Run([&] {
      mRelay.mTables.SetDirect(true, true);
      mRelay.mLoop.Spawn([&] {
        while (mRelay.mLoop.Sleep(50ms)) {
          (void)mReader.Ask(SiteWay::Relay, PeerAddress(), 700ms, 300ms);
        }
      });
      (void)mRelay.mLoop.Sleep(3s);
      aBody();
    });
  }
  [[nodiscard]] std::uint64_t Config() const
  {
    const auto view = mViews.Load();
    return view == nullptr || view->mConfig == nullptr
             ? 0
             : view->mConfig->mVersion;
  }
};

} // namespace

// Guards against a daemon behind a relay that refuses what has been added: the
// delays of the table service's answer and of the relay's added up, and neither
// counted.
TEST_CASE("evidence from a relay is never newer than the changes that it lacks")
{
  struct Row
  {
    const char* mName;
    Duration mFromTable;
    Duration mFromRelay;
    std::size_t mConfigBytes;
  };
  for (const Row& row : { Row{ "in time", 0ms, 0ms, 0 },
                          Row{ "rows of their own", 0ms, 0ms, 20'000 },
                          Row{ "late from the table", 1500ms, 0ms, 0 },
                          Row{ "late from the relay", 0ms, 1500ms, 0 },
                          Row{ "late rows", 0ms, 1500ms, 20'000 },
                          Row{ "both late", 1500ms, 1500ms, 20'000 } }) {
    CAPTURE(row.mName);
    RelayedTables fixture;
    auto& feed = fixture.mRelay.mFeed;
    feed.mConfigBytes = row.mConfigBytes;
    fixture.Run([&] {
      REQUIRE(fixture.Config() == feed.mConfig);
      feed.mReadDelay = row.mFromTable;
      fixture.mTransport.mReadDelay = row.mFromRelay;
      // Changes come at all phases of a wait.
      for (int n = 0; n < 40; ++n) {
        feed.PutConfig();
        const auto end = MonotonicNow() + 1730ms;
        while (MonotonicNow() < end && fixture.mRelay.mLoop.Sleep(50ms)) {
          if (fixture.Config() < feed.mConfig) {
            CHECK(fixture.mViews.CompleteAt(SiteTable::Operator) <=
                  feed.mPutAt);
          }
        }
      }
    });
  }
}

// Guards against a daemon behind a relay whose evidence is too old for
// refusals although nothing is late.
TEST_CASE("evidence from a relay stays young while answers are read in time")
{
  for (const std::size_t bytes : { 0, 20'000 }) {
    CAPTURE(bytes);
    RelayedTables fixture;
    fixture.mRelay.mFeed.mConfigBytes = bytes;
    fixture.Run([&] {
      Duration longest{};
      for (int n = 0; n < 400; ++n) {
        if (n % 40 == 0) {
          fixture.mRelay.mFeed.PutConfig();
        }
        (void)fixture.mRelay.mLoop.Sleep(25ms);
        longest = std::max(longest, fixture.mState.Lag(SiteTable::Operator));
      }
      CHECK(fixture.Config() == fixture.mRelay.mFeed.mConfig);
      CHECK(longest <= 1800ms);
    });
  }
}
