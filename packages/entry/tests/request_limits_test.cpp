#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

void
LimitServers(FlowFixture& aFixture, std::size_t aCount, Duration aAge = 0s)
{
  for (std::size_t n = 0; n < aCount; ++n) {
    const auto at = MonotonicNow() - aAge;
    aFixture.mLimits.Observe(aFixture.mServers[n].mId, 1, at, at);
  }
}

} // namespace

// Guards against holding a request back, or sending it, when the servers take
// no more requests.
TEST_CASE("a request that no limited server takes is refused at once")
{
  struct Row
  {
    const char* mName;
    std::optional<Duration> mHomeDelay;
    Duration mExpected;
  };
  // Without a home, a daemon with no share names the rate of the servers.
  for (const Row& row : { Row{ "by the home", 7s, 7s },
                          Row{ "without a home", std::nullopt, 1s } }) {
    CAPTURE(std::string(row.mName));
    FlowFixture fixture;
    LimitServers(fixture, fixture.mServers.size());
    fixture.mGate.SetShare(0);
    if (row.mHomeDelay) {
      PlacementReply reply;
      reply.mOutcome = PlacementOutcome::Limited;
      reply.mTime = *row.mHomeDelay;
      fixture.mPlacer.mReply = reply;
    }
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.empty());
    CHECK(fixture.mElapsed < 10ms);
    REQUIRE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
    CHECK(fixture.mSink.mRefusal->HttpStatus() == 503);
    CHECK(fixture.mSink.mRefusal->RetryAfter() == row.mExpected);
  }
}

TEST_CASE("answers and refusals of servers tell their rate limits")
{
  struct Row
  {
    const char* mName;
    std::optional<double> mLimit;
    bool mIsRefusal;
  };
  for (const Row& row : { Row{ "answer", 2, false },
                          Row{ "answer without", std::nullopt, false },
                          Row{ "refusal", 2, true },
                          Row{ "refusal without", std::nullopt, true } }) {
    CAPTURE(std::string(row.mName));
    FlowFixture fixture;
    FakeSend first;
    first.mPieces = { "ok" };
    first.mRequestLimit = row.mLimit;
    if (row.mIsRefusal) {
      first.mFailure = SendFailure{ SendFault::Full, true, "full", row.mLimit };
    }
    fixture.mBackend.mScript = { first };
    fixture.Run();
    REQUIRE_FALSE(fixture.mBackend.mCalls.empty());
    const auto& server = fixture.mBackend.mCalls.front().mServer;
    const auto* limit = fixture.mLimits.Find(server);
    REQUIRE((limit != nullptr) == row.mLimit.has_value());
    if (limit != nullptr) {
      CHECK(limit->mPerSecond == *row.mLimit);
    }
  }
}

TEST_CASE("an answer without a limit ends it, an error does not")
{
  for (const unsigned status : { 200U, 404U, 500U, 503U }) {
    CAPTURE(status);
    FlowFixture fixture;
    fixture.mConfig.mRoutes.front().mMaxAttempts = 1;
    // So old that a request is due at each server.
    LimitServers(fixture, fixture.mServers.size(), 2s);
    FakeSend answer;
    answer.mStatus = status;
    answer.mPieces = { "x" };
    fixture.mBackend.mScript = { answer };
    fixture.Run();
    REQUIRE_FALSE(fixture.mBackend.mCalls.empty());
    const auto& server = fixture.mBackend.mCalls.front().mServer;
    CHECK((fixture.mLimits.Find(server) == nullptr) == (status < 500));
  }
}

// Retries and resumed streams count as requests of a server, too.
TEST_CASE("retries and resumed streams do not go to a limited server")
{
  for (const bool isStream : { false, true }) {
    CAPTURE(isStream);
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = isStream ? RequestKind::Streaming : RequestKind::Idempotent;
    route.mResumable = isStream;
    route.mMaxAttempts = 4;
    LimitServers(fixture, 2);
    fixture.mGate.SetShare(0);
    FakeSend cut;
    cut.mPieces = { EventText(1) };
    cut.mIsCut = true;
    fixture.mBackend.mScript = { cut, cut, cut, cut };
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == 2);
    for (const auto& it : fixture.mBackend.mCalls) {
      CHECK(fixture.mLimits.Find(it.mServer) == nullptr);
    }
    CHECK(fixture.mSink.mFinalCount == 1);
    CHECK(fixture.mSink.mIsCut == isStream);
  }
}
