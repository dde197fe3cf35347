#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

// Requests that meet the bound after which none may begin on older weights.

namespace {

const ModelId kModel("m");
// The bound of the fixture.
constexpr Duration kWithin = 10s;

// A fixture whose servers have version 1, except the last one, which has the
// newest version 2. The newest version was announced aAge ago.
void
SetUp(FlowFixture& aFixture, Duration aAge, bool aHasNewest = true)
{
  auto& route = aFixture.mConfig.mRoutes.front();
  route.mTimeout = 30s;
  route.mMaxAttempts = 2;
  aFixture.mRequest.mPrompt = Prompt{ kModel, { { "a", 10 } }, 10, 5 };
  if (aHasNewest) {
    aFixture.mServers.back().mModels = { { kModel, 2 } };
  }
  (void)aFixture.mWeights.AddVersion(kModel, 2, BootNow() - aAge);
}

// Makes a home grant a server with version 1.
void
GrantOld(FlowFixture& aFixture)
{
  PlacementReply reply;
  reply.mTicket = 9;
  reply.mOutcome = PlacementOutcome::Granted;
  reply.mServer = ServerId("s1");
  reply.mWeightVersion = 1;
  aFixture.mPlacer.mReply = reply;
}

FakeSend
Silent()
{
  FakeSend send;
  send.mHeadTime = std::chrono::hours(1);
  return send;
}

FakeSend
Streaming(std::vector<std::string> aPieces)
{
  FakeSend send;
  send.mPieces = std::move(aPieces);
  return send;
}

} // namespace

// Guards against a deadline at the server that lets it begin a waiting request
// after the bound, whatever this daemon does.
TEST_CASE("a server with older weights gets a deadline before the bound")
{
  struct Row
  {
    Duration mAge;
    bool mIsByHome;
    // Whether the request is sent to the server with older weights.
    bool mIsOld;
  };
  for (const Row& row : { Row{ 0s, true, true },
                          Row{ 5s, true, true },
                          Row{ 8400ms, true, true },
                          Row{ 8600ms, true, false },
                          Row{ 12s, true, false },
                          Row{ 8600ms, false, false },
                          Row{ 12s, false, false } }) {
    CAPTURE(row.mAge);
    CAPTURE(row.mIsByHome);
    FlowFixture fixture;
    SetUp(fixture, row.mAge);
    if (row.mIsByHome) {
      GrantOld(fixture);
    }
    fixture.Run();
    REQUIRE(fixture.mBackend.mCalls.size() == 1);
    const auto& call = fixture.mBackend.mCalls.front();
    CHECK(call.mWeightVersion == (row.mIsOld ? 1 : 2));
    const auto left = kWithin - row.mAge;
    if (row.mIsOld) {
      CHECK(call.mTimeLeft + call.mConnectTime < left);
      CHECK(call.mTimeLeft + call.mConnectTime >= left - 300ms);
    } else {
      CHECK(call.mTimeLeft > 29s);
    }
  }
}

// Guards against a request that waits at a server with older weights until
// after the bound.
TEST_CASE("a request that waits at the bound is taken back")
{
  struct Row
  {
    RequestKind mKind;
    bool mIsResumable;
    // Whether the request goes on at the server with the newest weights.
    bool mGoesOn;
  };
  for (const Row& row : { Row{ RequestKind::Idempotent, false, true },
                          Row{ RequestKind::Streaming, true, true },
                          Row{ RequestKind::Streaming, false, false },
                          Row{ RequestKind::NonIdempotent, false, false } }) {
    for (const bool hasHead : { false, true }) {
      CAPTURE(row.mKind);
      CAPTURE(row.mIsResumable);
      CAPTURE(hasHead);
      if (hasHead && row.mKind != RequestKind::Streaming) {
        continue;
      }
      FlowFixture fixture;
      SetUp(fixture, 8s);
      GrantOld(fixture);
      auto& route = fixture.mConfig.mRoutes.front();
      route.mKind = row.mKind;
      route.mResumable = row.mIsResumable;
      FakeSend waiting = Silent();
      if (hasHead) {
        // The head of a stream says nothing about its first event.
        waiting = Streaming({ EventText(1) });
        waiting.mPieceTime = std::chrono::hours(1);
      }
      fixture.mBackend.mScript = { waiting, Streaming({ EventText(1) }) };
      fixture.Run();
      CHECK(fixture.mElapsed <= 2100ms);
      CHECK(fixture.mSink.mFinalCount == 1);
      REQUIRE(fixture.mBackend.mCalls.size() == (row.mGoesOn ? 2 : 1));
      if (row.mGoesOn) {
        CHECK(fixture.mBackend.mCalls.back().mWeightVersion == 2);
        CHECK(fixture.mSink.mBody == EventText(1));
      } else {
        REQUIRE(fixture.mSink.mRefusal);
        CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
      }
    }
  }
}

// A stream that the bound ends is of no use to its caller.
TEST_CASE("a stream that began before the bound goes on after it")
{
  FlowFixture fixture;
  SetUp(fixture, 8s);
  GrantOld(fixture);
  fixture.mConfig.mRoutes.front().mKind = RequestKind::Streaming;
  auto stream = Streaming({ EventText(1), EventText(2), EventText(3) });
  stream.mPieceTime = 1500ms;
  fixture.mBackend.mScript = { stream };
  fixture.Run();
  CHECK(fixture.mBackend.mCalls.size() == 1);
  CHECK(fixture.mSink.mBody == EventText(1) + EventText(2) + EventText(3));
}

// Guards against a request that waits while newer weights are announced, until
// they have reached their bound.
TEST_CASE("a request waits less than the bound for any server")
{
  FlowFixture fixture;
  SetUp(fixture, 0s, false);
  fixture.mWeights = WeightHistory();
  fixture.mBackend.mScript = { Silent() };
  fixture.Run();
  CHECK(fixture.mElapsed < kWithin);
  CHECK(fixture.mSink.mFinalCount == 1);
}

// Guards against requests that begin on older weights without a bound while no
// server has the newest, and against callers that wait for these.
TEST_CASE("a prompt is refused at once while no server has the newest weights")
{
  for (const bool isGranted : { false, true }) {
    FlowFixture fixture;
    SetUp(fixture, 9s, false);
    if (isGranted) {
      GrantOld(fixture);
    }
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.empty());
    REQUIRE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mRefusal->Reason() == RefusalReason::NoServer);
    CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
    CHECK(fixture.mSink.mRefusal->RetryAfter() == 1s);
    CHECK(fixture.mElapsed < 10ms);
  }
}

// Guards against retries and resumed streams that are placed by the weights
// that were the newest when the request arrived.
TEST_CASE("a repeated send follows weights announced since the request arrived")
{
  FlowFixture fixture;
  SetUp(fixture, 0s);
  fixture.mWeights = WeightHistory();
  // The server with the newest weights would answer later than the others.
  (void)fixture.mPool.Update(fixture.mServers, MonotonicNow());
  ServerQuery load;
  load.mModel = kModel;
  load.mWork = 60000;
  (void)fixture.mPool.Begin(fixture.mServers.back().mId, load, MonotonicNow());
  FakeSend broken = Streaming({});
  broken.mFailure = SendFailure{ SendFault::Broken, false, "broken" };
  fixture.mConfig.mRoutes.front().mKind = RequestKind::Idempotent;
  fixture.mBackend.mScript = { broken, Streaming({ "ok" }) };
  fixture.mBackend.mOnSend = [&] {
    // The daemon was cut off from the table service until now.
    (void)fixture.mWeights.AddVersion(kModel, 2, BootNow() - 60s);
  };
  fixture.Run();
  REQUIRE(fixture.mBackend.mCalls.size() == 2);
  CHECK(fixture.mBackend.mCalls.back().mWeightVersion == 2);
}

// Guards against sending a request again and again to a server that is listed
// with the newest weights and does not have them.
TEST_CASE("a server that denies the newest weights is not tried again")
{
  FlowFixture fixture;
  SetUp(fixture, 60s);
  FakeSend denied;
  denied.mFailure = SendFailure{ SendFault::WrongVersion, true, "denied" };
  fixture.mBackend.mScript = { denied, denied, denied };
  fixture.Run();
  CHECK(fixture.mBackend.mCalls.size() == 1);
  REQUIRE(fixture.mSink.mRefusal);
  CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
  CHECK(fixture.mSink.mRefusal->RetryAfter().has_value());
}
