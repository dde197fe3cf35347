#include "request_flow_fixture.h"

#include <doctest/doctest.h>

#include <array>

using namespace bilberrytrail;

namespace {

AccountId
Caller()
{
  return AccountId("wick");
}

// Puts the request of the fixture into quarantine.
void
QuarantineRequest(FlowFixture& aFixture, const CallerRequest& aRequest)
{
  const auto now = MonotonicNow();
  const std::vector keys{ MakeRequestKey(aRequest, Caller()) };
  for (std::uint64_t n = 1; n <= 3; ++n) {
    aFixture.mRequests.ServerDied(
      DeathId(n), keys, now - Duration(2s) / n, now);
  }
}

FakeSend
BrokenSend()
{
  FakeSend send;
  send.mFailure = SendFailure{ SendFault::Broken, false, "test" };
  return send;
}

} // namespace

// Guards against sending a request that crashes servers once more, and against
// refusing others of the same caller and path.
TEST_CASE("only the request in quarantine is refused, at once and unsent")
{
  struct Row
  {
    const char* mName;
    void (*mChange)(CallerRequest&);
    bool mIsRefused;
  };
  const std::vector<Row> rows{
    { "the same", [](CallerRequest&) {}, true },
    { "another id",
      [](CallerRequest& aRequest) { aRequest.mId = AttemptId("a2"); },
      true },
    { "another body",
      [](CallerRequest& aRequest) { aRequest.mBody = "other"; },
      false },
    { "another query",
      [](CallerRequest& aRequest) { aRequest.mPassedOn.mTarget = "/x?y"; },
      false },
    { "another method",
      [](CallerRequest& aRequest) { aRequest.mPassedOn.mMethod = "PUT"; },
      false },
    { "another prompt",
      [](CallerRequest& aRequest) {
        aRequest.mPrompt.emplace();
        aRequest.mPrompt->mModel = ModelId("m");
      },
      false },
  };
  for (const auto& row : rows) {
    for (const auto kind : { RequestKind::NonIdempotent,
                             RequestKind::Idempotent,
                             RequestKind::Streaming }) {
      CAPTURE(std::string(row.mName));
      CAPTURE(std::string(ToName(kind)));
      FlowFixture fixture;
      fixture.mConfig.mRoutes.front().mKind = kind;
      fixture.mRequest.mBody = "body";
      FakeSend answer;
      answer.mPieces = { EventText(1) };
      fixture.mBackend.mScript = { answer };
      QuarantineRequest(fixture, fixture.mRequest);
      row.mChange(fixture.mRequest);
      fixture.Run();
      CHECK(fixture.mBackend.mCalls.empty() == row.mIsRefused);
      CHECK(fixture.mSink.mRefusal.has_value() == row.mIsRefused);
      if (fixture.mSink.mRefusal) {
        CHECK(fixture.mSink.mRefusal->Reason() == RefusalReason::Quarantined);
        CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
      }
    }
  }
}

// Guards against retries that crash all servers of a service in a moment, which
// then counts as a single death.
TEST_CASE("a request that lost two servers waits for the verdict")
{
  FlowFixture fixture;
  auto& route = fixture.mConfig.mRoutes.front();
  route.mKind = RequestKind::Idempotent;
  route.mMaxAttempts = 4;
  fixture.mBackend.mConnects = ConnectOutcome::Refused;
  std::vector<Instant> sentAt;
  fixture.mBackend.mOnSend = [&] { sentAt.push_back(MonotonicNow()); };
  fixture.mBackend.mScript = { BrokenSend(), BrokenSend(), BrokenSend() };
  fixture.Run();
  REQUIRE(sentAt.size() == 4);
  CHECK(sentAt[1] - sentAt[0] < CrashWatch::kVerdictTime);
  CHECK(sentAt[2] - sentAt[1] >= PartQuarantineSettings().mCoincidence);
  CHECK(sentAt[3] - sentAt[2] >= PartQuarantineSettings().mCoincidence);
  CHECK_FALSE(
    fixture.mRequests.IsSuspect(MakeRequestKey(fixture.mRequest, Caller())));
}

// Guards against a death at which so many requests waited that the one that
// caused it is lost among them.
TEST_CASE("the requests sent last, and earlier suspects, answer for a death")
{
  FlowFixture fixture;
  fixture.mBackend.mConnects = ConnectOutcome::Refused;
  const auto start = MonotonicNow();
  const auto breakOne = [&](std::uint64_t aRequest, Instant aSentAt) {
    const auto& server = fixture.mServers.front();
    fixture.mCrashes.OnLost(
      { server.mId, server.mStartedAtMs, server.mEndpoint },
      { {}, PartKey(aRequest), aSentAt },
      SendLoss::Broken);
  };
  const auto breakAll = [&](std::uint64_t aFirst, std::uint64_t aEnd) {
    for (std::uint64_t n = aFirst; n < aEnd; ++n) {
      breakOne(n, start + n * 1ms);
    }
    (void)fixture.mLoop.Sleep(100ms);
    ++fixture.mServers.front().mStartedAtMs;
  };
  fixture.mLoop.Spawn([&] {
    breakAll(0, 20);
    CHECK_FALSE(fixture.mRequests.IsSuspect(PartKey(11)));
    CHECK(fixture.mRequests.IsSuspect(PartKey(12)));
    CHECK(fixture.mRequests.size() == 8);
    // The request that was sent first this time was suspect before.
    breakOne(12, start);
    breakAll(13, 20);
    fixture.mRequests.AnswerWentOn(std::vector{ PartKey(13) }, MonotonicNow());
    for (const auto& it : fixture.mRequests.Recent(MonotonicNow())) {
      if (it.mPart != PartKey(13)) {
        CHECK(it.mDeaths.size() == 2);
      }
    }
    // It answers for a third death, although others were sent last.
    breakOne(12, start);
    breakAll(100, 120);
    CHECK_FALSE(fixture.mRequests.IsSuspect(PartKey(111)));
    CHECK(fixture.mRequests.IsSuspect(PartKey(112)));
    const std::array suspect{ PartKey(12) };
    CHECK(fixture.mRequests.QuarantineTime(
      suspect, MonotonicNow() + PartQuarantineSettings().mClearTime));
    fixture.mLoop.Stop();
  });
  fixture.mLoop.Run();
}
