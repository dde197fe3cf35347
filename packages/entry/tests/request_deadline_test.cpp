#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

// Guards against answers that go on without end, fast or a byte now and then,
// past the deadline: their callers never got a final answer.
TEST_CASE("an answer that goes on past the deadline is ended there")
{
  struct Row
  {
    const char* mName;
    RequestKind mKind;
    std::vector<std::string> mPieces;
    Duration mPieceTime;
    bool mIsCut;
  };
  using enum RequestKind;
  const std::vector<Row> rows{
    { "a body, slow", NonIdempotent, { "x" }, 5ms, false },
    { "a body, fast", Idempotent, { "x" }, 100us, false },
    { "bytes before the first event", Streaming, { "x" }, 5ms, false },
    { "one event, slow", Streaming, { EventText(1), "x" }, 5ms, true },
    { "one event, fast", Streaming, { EventText(1), "x" }, 100us, true },
    { "comments, slow", Streaming, { ": x\n\n" }, 5ms, true },
    { "comments, fast", Streaming, { ": x\n\n" }, 100us, true },
    { "parts of a comment", Streaming, { ":" }, 5ms, false },
  };
  for (const auto& row : rows) {
    for (const bool hasWaitLimit : { false, true }) {
      CAPTURE(std::string(row.mName));
      CAPTURE(hasWaitLimit);
      FlowFixture fixture;
      auto& route = fixture.mConfig.mRoutes.front();
      route.mKind = row.mKind;
      route.mMaxAttempts = 1;
      auto deadline = route.mTimeout;
      if (hasWaitLimit) {
        deadline = 700ms;
        fixture.mRequest.mWaitLimit = deadline;
      }
      FakeSend send;
      send.mPieces = row.mPieces;
      send.mIsEndless = true;
      send.mPieceTime = row.mPieceTime;
      send.mHeadTime = 1ms;
      fixture.mBackend.mScript = { send };
      fixture.Run();
      CHECK(fixture.mElapsed >= deadline);
      CHECK(fixture.mElapsed <= deadline + 50ms);
      CHECK(fixture.mSink.mFinalCount == 1);
      CHECK(fixture.mSink.mIsCut == row.mIsCut);
      CHECK(fixture.mSink.mRefusal.has_value() != row.mIsCut);
    }
  }
}
