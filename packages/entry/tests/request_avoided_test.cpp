#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

PlacementReply
Grant(const ServerId& aServer)
{
  PlacementReply reply;
  reply.mOutcome = PlacementOutcome::Granted;
  reply.mServer = aServer;
  reply.mTicket = 7;
  return reply;
}

} // namespace

TEST_CASE("all answers that say that their server leaves are observed")
{
  struct Row
  {
    const char* mName;
    unsigned mStatus;
    std::optional<SendFault> mFault;
    bool mIsLeaving;
  };
  for (const Row& row :
       { Row{ "answer", 200, std::nullopt, true },
         Row{ "answer without", 200, std::nullopt, false },
         Row{ "error of the caller", 404, std::nullopt, true },
         Row{ "error of the server", 500, std::nullopt, true },
         Row{ "server is full", 503, SendFault::Full, true },
         Row{ "server is full, without", 503, SendFault::Full, false },
         Row{ "wrong version", 421, SendFault::WrongVersion, true } }) {
    CAPTURE(std::string(row.mName));
    FlowFixture fixture;
    FakeSend first;
    first.mPieces = { "ok" };
    first.mStatus = row.mStatus;
    first.mIsLeaving = row.mIsLeaving;
    if (row.mFault) {
      first.mFailure = SendFailure{ *row.mFault, true, "refused" };
      first.mFailure->mIsLeaving = row.mIsLeaving;
    }
    fixture.mBackend.mScript = { first };
    fixture.Run();
    REQUIRE_FALSE(fixture.mBackend.mCalls.empty());
    CHECK(fixture.mAvoided.Contains(fixture.mBackend.mCalls.front().mServer,
                                    MonotonicNow()) == row.mIsLeaving);
  }
}

// Guards against homes that do not know yet that a server leaves, and against
// retries and resumed streams.
TEST_CASE("no send of a request goes to a leaving server")
{
  struct Row
  {
    const char* mName;
    bool mIsStream;
    bool mIsByHome;
  };
  for (const Row& row : { Row{ "own choice, retries", false, false },
                          Row{ "own choice, resumed stream", true, false },
                          Row{ "by a home, retries", false, true },
                          Row{ "by a home, resumed stream", true, true } }) {
    CAPTURE(std::string(row.mName));
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind =
      row.mIsStream ? RequestKind::Streaming : RequestKind::Idempotent;
    route.mResumable = row.mIsStream;
    route.mMaxAttempts = 4;
    for (const std::size_t n : { 0U, 1U }) {
      fixture.mAvoided.AddLeaving(
        fixture.mServers[n].mId, std::nullopt, MonotonicNow());
    }
    if (row.mIsByHome) {
      fixture.mPlacer.mReply = Grant(fixture.mServers[0].mId);
    }
    FakeSend cut;
    cut.mPieces = { EventText(1) };
    cut.mIsCut = true;
    fixture.mBackend.mScript = { cut, cut, cut, cut };
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == 2);
    for (const auto& it : fixture.mBackend.mCalls) {
      CHECK_FALSE(fixture.mAvoided.Contains(it.mServer, MonotonicNow()));
    }
    CHECK(fixture.mSink.mFinalCount == 1);
    if (row.mIsByHome) {
      REQUIRE_FALSE(fixture.mPlacer.mOutcomes.empty());
      CHECK(fixture.mPlacer.mOutcomes.front() == SendOutcome::Abandoned);
    }
  }
}

TEST_CASE("a request is refused at once when all servers leave")
{
  FlowFixture fixture;
  for (const auto& it : fixture.mServers) {
    fixture.mAvoided.AddLeaving(it.mId, std::nullopt, MonotonicNow());
  }
  fixture.Run();
  CHECK(fixture.mBackend.mCalls.empty());
  CHECK(fixture.mElapsed < 10ms);
  REQUIRE(fixture.mSink.mRefusal);
  CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
  CHECK(fixture.mSink.mRefusal->RetryAfter() > Duration(0));
}

TEST_CASE("a pool never chooses an avoided server, not even as a last resort")
{
  for (const std::size_t avoidedCount : { 0U, 3U, 4U }) {
    CAPTURE(avoidedCount);
    FlowFixture fixture;
    (void)fixture.mPool.Update(fixture.mServers, MonotonicNow());
    for (std::size_t n = 0; n < avoidedCount; ++n) {
      fixture.mAvoided.AddLeaving(
        fixture.mServers[n].mId, std::nullopt, MonotonicNow());
    }
    ServerQuery query;
    query.mService = ServiceId("s");
    for (int n = 0; n < 20; ++n) {
      const auto choice = fixture.mPool.Choose(query, MonotonicNow());
      REQUIRE(choice.has_value() == (avoidedCount < 4));
      if (choice) {
        CHECK_FALSE(fixture.mAvoided.Contains(choice->mServer, MonotonicNow()));
        const auto ticket =
          fixture.mPool.Begin(choice->mServer, query, MonotonicNow());
        (void)fixture.mPool.End(
          ticket, SendOutcome::NoConnection, MonotonicNow());
      }
    }
  }
}

// Guards against asking homes, or waiting, when every server of the service has
// asked for a pause, and against a time that is not the one they named.
TEST_CASE("a request is refused until the first server's pause ends")
{
  for (const bool isBySend : { false, true }) {
    CAPTURE(isBySend);
    FlowFixture fixture;
    for (std::size_t n = isBySend ? 1 : 0; n < fixture.mServers.size(); ++n) {
      fixture.mAvoided.AddPause(fixture.mServers[n].mId,
                                std::nullopt,
                                5s + 100ms * static_cast<int>(n),
                                MonotonicNow());
    }
    FakeSend refusal;
    refusal.mFailure = SendFailure{ SendFault::Full, true, "full" };
    refusal.mFailure->mPause = 3s;
    fixture.mBackend.mScript = { refusal };
    fixture.mPlacer.mReply = Grant(fixture.mServers[1].mId);
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == (isBySend ? 1 : 0));
    CHECK(fixture.mElapsed < 20ms);
    REQUIRE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
    CHECK(fixture.mSink.mRefusal->RetryAfter() == (isBySend ? 3s : 5s));
  }
}

TEST_CASE("answers and refusals with a pause are observed")
{
  for (const bool isRefusal : { false, true }) {
    CAPTURE(isRefusal);
    FlowFixture fixture;
    FakeSend first;
    first.mStatus = 503;
    first.mPieces = { "x" };
    first.mPause = 3s;
    if (isRefusal) {
      first.mFailure = SendFailure{ SendFault::Full, true, "full" };
      first.mFailure->mPause = 3s;
    }
    fixture.mBackend.mScript = { first };
    fixture.Run();
    REQUIRE_FALSE(fixture.mBackend.mCalls.empty());
    const auto& server = fixture.mBackend.mCalls.front().mServer;
    CHECK(fixture.mAvoided.Contains(server, MonotonicNow()));
  }
}
