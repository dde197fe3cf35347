#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

// Guards against requests that are passed on shortly before the daemon exits,
// where nobody can answer them any more.
TEST_CASE("a request that comes late in a planned stop is refused as not run")
{
  for (const auto kind : { RequestKind::Idempotent,
                           RequestKind::NonIdempotent,
                           RequestKind::Streaming }) {
    FlowFixture fixture;
    fixture.mConfig.mRoutes.front().mKind = kind;
    fixture.mRefusesNew = true;
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.empty());
    REQUIRE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
    CHECK(fixture.mSink.mRefusal->RetryAfter());
  }
}

// Guards against callers whose connections are closed without an answer at the
// end of a planned stop.
TEST_CASE("a request in progress at the end of a stop gets an honest answer")
{
  struct Row
  {
    RequestKind mKind;
    Duration mHeadTime;
    bool mIsCut;
  };
  for (const Row& row : { Row{ RequestKind::Idempotent, 1s, false },
                          Row{ RequestKind::NonIdempotent, 1s, false },
                          Row{ RequestKind::NonIdempotent, 10ms, false },
                          Row{ RequestKind::Streaming, 1s, false },
                          Row{ RequestKind::Streaming, 10ms, true } }) {
    CAPTURE(row.mKind);
    CAPTURE(row.mIsCut);
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = row.mKind;
    route.mMaxAttempts = 2;
    FakeSend slow;
    slow.mHeadTime = row.mHeadTime;
    slow.mPieceTime = 200ms;
    slow.mPieces = { EventText(1), EventText(2) };
    fixture.mBackend.mScript = { slow };
    fixture.mEndsAllAfter = 300ms;
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == 1);
    CHECK(fixture.mSink.mFinalCount == 1);
    CHECK(fixture.mSink.mIsCut == row.mIsCut);
    CHECK(fixture.mSink.mRefusal.has_value() == !row.mIsCut);
    if (fixture.mSink.mRefusal) {
      CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
    }
  }
}

// A caller that has left gets nothing, and no other answer is counted.
TEST_CASE("a caller that left before the end of a stop is not answered")
{
  FlowFixture fixture;
  FakeSend slow;
  slow.mHeadTime = 1s;
  fixture.mBackend.mScript = { slow };
  fixture.mEndsAllAfter = 300ms;
  fixture.mSink.mHasLeft = false;
  fixture.mBackend.mOnSend = [&] { fixture.mSink.mHasLeft = true; };
  fixture.Run();
  CHECK(fixture.mSink.mFinalCount == 0);
}
