#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

FakeSend
Answering(std::vector<std::string> aPieces, bool aEndsWithConnection)
{
  FakeSend send;
  send.mPieces = std::move(aPieces);
  send.mEndsWithConnection = aEndsWithConnection;
  return send;
}

void
SetStreaming(FlowFixture& aFixture, std::size_t aMaxAttempts)
{
  auto& route = aFixture.mConfig.mRoutes.front();
  route.mKind = RequestKind::Streaming;
  route.mResumable = aMaxAttempts > 1;
  route.mMaxAttempts = aMaxAttempts;
}

// Returns whether the caller was told that its answer is complete.
bool
IsComplete(const FakeSink& aSink)
{
  CHECK(aSink.mFinalCount == 1);
  return !aSink.mIsCut && !aSink.mRefusal;
}

} // namespace

// Guards against an empty stream that reaches the caller as a complete one: its
// server closed the connection between the head and the first event.
TEST_CASE("a stream that ends with its connection has at least one event")
{
  struct Row
  {
    std::vector<std::string> mPieces;
    bool mEndsWithConnection;
    bool mIsComplete;
  };
  for (const Row& row : { Row{ {}, true, false },
                          Row{ { "\n" }, true, false },
                          Row{ { ": ping\n\n" }, true, false },
                          Row{ { ": ping\n\n", ": ping\n\n" }, true, false },
                          Row{ { EventText(1) }, true, true },
                          Row{ { "data: x\r\n\r\n" }, true, true },
                          Row{ {}, false, true } }) {
    CAPTURE(row.mPieces.size());
    CAPTURE(row.mEndsWithConnection);
    FlowFixture fixture;
    SetStreaming(fixture, 1);
    fixture.mBackend.mScript = { Answering(row.mPieces,
                                           row.mEndsWithConnection) };
    fixture.Run();
    CHECK(IsComplete(fixture.mSink) == row.mIsComplete);
    if (fixture.mSink.mRefusal) {
      CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
    }
  }
}

// Guards against the same end at a retry and at a resumption, where the events
// of earlier servers must not stand in for those of this one.
TEST_CASE("a resumed stream that ends with its connection has another event")
{
  for (const bool hasBegun : { false, true }) {
    CAPTURE(hasBegun);
    FlowFixture fixture;
    SetStreaming(fixture, 3);
    auto first = Answering({ hasBegun ? EventText(1) : "id" }, false);
    first.mIsCut = true;
    const auto second = hasBegun ? EventText(2) : EventText(1);
    fixture.mBackend.mScript = { first,
                                 Answering({}, true),
                                 Answering({ second }, true) };
    fixture.Run();
    REQUIRE(fixture.mBackend.mCalls.size() == 3);
    CHECK(IsComplete(fixture.mSink));
    CHECK(fixture.mSink.mBody == (hasBegun ? EventText(1) : "") + second);
  }
}
