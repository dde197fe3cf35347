#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

FakeSend
Streaming(std::vector<std::string> aPieces, std::string aType = {})
{
  FakeSend send;
  send.mPieces = std::move(aPieces);
  if (!aType.empty()) {
    send.mHeaders = { { "Content-Type", std::move(aType) } };
  }
  return send;
}

void
SetStreaming(FlowFixture& aFixture, bool aIsResumable)
{
  auto& route = aFixture.mConfig.mRoutes.front();
  route.mKind = RequestKind::Streaming;
  route.mResumable = aIsResumable;
  route.mMaxAttempts = 2;
}

} // namespace

// Guards against a stream that ends inside an event and reaches the caller as a
// complete one.
TEST_CASE("a stream that ends inside an event has been broken off")
{
  struct Row
  {
    std::string mType;
    std::string mRest;
    bool mIsBroken;
  };
  for (const Row& row : { Row{ "", "id: 2\nda", true },
                          Row{ "text/event-stream", "id: 2\n", true },
                          Row{ "Text/Event-Stream; charset=utf-8", "i", true },
                          Row{ "", ": so far\r\nid: 2\r\n", true },
                          Row{ "", "\n", false },
                          Row{ "", ": the end", false },
                          Row{ "application/json", "{}", false } }) {
    for (const bool isResumable : { false, true }) {
      CAPTURE(row.mRest);
      CAPTURE(isResumable);
      FlowFixture fixture;
      SetStreaming(fixture, isResumable);
      fixture.mBackend.mScript = { Streaming({ EventText(1), row.mRest },
                                             row.mType),
                                   Streaming({ EventText(2) }) };
      fixture.Run();
      const bool isResumed = row.mIsBroken && isResumable;
      CHECK(fixture.mSink.mFinalCount == 1);
      CHECK(fixture.mSink.mIsCut == (row.mIsBroken && !isResumable));
      const auto end = row.mIsBroken ? std::string() : row.mRest;
      CHECK(fixture.mSink.mBody ==
            EventText(1) + (isResumed ? EventText(2) : end));
      REQUIRE(fixture.mBackend.mCalls.size() == (isResumed ? 2 : 1));
      CHECK(fixture.mBackend.mCalls.back().mResumeAfter ==
            (isResumed ? "1" : ""));
    }
  }
}
