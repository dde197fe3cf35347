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

// Guards against an earlier refusal that a server writes once more on a kept
// connection, where it would count for the later send of the same request.
TEST_CASE("a request sent to the same address again is marked as a repeat")
{
  for (const bool isSameServer : { false, true }) {
    CAPTURE(isSameServer);
    FlowFixture fixture;
    if (isSameServer) {
      fixture.mServers.resize(1);
    }
    (void)fixture.mWeights.AddVersion(ModelId("m"), 2, BootNow());
    fixture.mRequest.mPrompt = Prompt{ ModelId("m"), { { "a", 10 } }, 10, 5 };
    FakeSend refusing;
    refusing.mFailure = SendFailure{
      isSameServer ? SendFault::WrongVersion : SendFault::Full, true, "refused"
    };
    fixture.mBackend.mScript = { refusing, Streaming({ "ok" }) };
    fixture.Run();
    CHECK(fixture.mSink.mBody == "ok");
    REQUIRE(fixture.mBackend.mCalls.size() == 2);
    CHECK_FALSE(fixture.mBackend.mCalls[0].mIsRepeat);
    CHECK(fixture.mBackend.mCalls[1].mIsRepeat == isSameServer);
  }
}

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

// Guards against the text of an error in the middle of a caller's stream, and
// against a stream that such an answer ends as complete.
TEST_CASE("a begun stream goes on only with events of another server")
{
  struct Row
  {
    unsigned mStatus;
    std::string mType;
    std::string mBody;
  };
  for (const Row& row : { Row{ 200, "text/html", "<p>no</p>\n\n" },
                          Row{ 200, "application/problem+json", "{}" },
                          Row{ 200, "", "Internal error" },
                          Row{ 204, "", "" },
                          Row{ 302, "", "" },
                          Row{ 404, "text/event-stream", EventText(2) },
                          Row{ 500, "text/plain", "no\n\n" } }) {
    for (const bool hasBegun : { false, true }) {
      CAPTURE(row.mStatus);
      CAPTURE(row.mType);
      CAPTURE(hasBegun);
      FlowFixture fixture;
      SetStreaming(fixture, true);
      auto first = Streaming({ hasBegun ? EventText(1) : "id: 1\n" });
      first.mIsCut = true;
      auto second = Streaming({ row.mBody }, row.mType);
      second.mStatus = row.mStatus;
      fixture.mBackend.mScript = { first, second };
      fixture.Run();
      CHECK(fixture.mBackend.mCalls.size() == 2);
      CHECK(fixture.mSink.mFinalCount == 1);
      CHECK(fixture.mSink.mIsCut == hasBegun);
      if (hasBegun) {
        CHECK(fixture.mSink.mBody == EventText(1));
        CHECK_FALSE(fixture.mSink.mRefusal);
      } else if (!fixture.mSink.mRefusal) {
        // The caller got nothing yet, so the second answer is the whole one.
        CHECK(fixture.mSink.mStatus == row.mStatus);
        CHECK(fixture.mSink.mBody == row.mBody);
      }
    }
  }
}

// Guards against a resumed stream that begins again: the caller would get
// events twice or out of order.
TEST_CASE("a resumed stream must follow the last event that the caller has")
{
  struct Row
  {
    std::string mBefore;
    std::string mAfter;
    bool mIsTaken;
  };
  const std::string before = EventText(1) + EventText(2);
  for (const Row& row :
       { Row{ before, EventText(3), true },
         Row{ before, ": ping\n\n" + EventText(3), true },
         Row{ before, "weights: 3\r\nid: 3\r\ndata: x\r\n\r\n", true },
         Row{ before, EventText(1) + EventText(2) + EventText(3), false },
         Row{ before, ": ping\n\n" + EventText(2), false },
         Row{ before, "error: gone\n\n", false },
         Row{ before, "data: x\n\n" + EventText(3), false },
         Row{ EventText(9), EventText(10), true },
         Row{ "id: b\n\n", "id: a\n\n", true },
         Row{ "id: b\n\n", "id: b\n\n", false },
         Row{ "data: x\n\n", "data: x\n\n", false } }) {
    CAPTURE(row.mBefore);
    CAPTURE(row.mAfter);
    FlowFixture fixture;
    SetStreaming(fixture, true);
    auto first = Streaming({ row.mBefore });
    first.mIsCut = true;
    fixture.mBackend.mScript = { first, Streaming({ row.mAfter }) };
    fixture.Run();
    CHECK(fixture.mSink.mFinalCount == 1);
    CHECK(fixture.mSink.mIsCut != row.mIsTaken);
    CHECK(fixture.mSink.mBody ==
          row.mBefore + (row.mIsTaken ? row.mAfter : std::string()));
  }
}

// Guards against a third server that is told to go on after an event which the
// caller never got.
TEST_CASE("events out of order do not move the place of the next resumption")
{
  FlowFixture fixture;
  SetStreaming(fixture, true);
  fixture.mConfig.mRoutes.front().mMaxAttempts = 3;
  auto first = Streaming({ EventText(1) + EventText(2) });
  first.mIsCut = true;
  fixture.mBackend.mScript = { first,
                               Streaming({ EventText(1) }),
                               Streaming({ EventText(3) }) };
  fixture.Run();
  REQUIRE(fixture.mBackend.mCalls.size() == 3);
  CHECK(fixture.mBackend.mCalls[2].mResumeAfter == "2");
  CHECK(fixture.mSink.mBody == EventText(1) + EventText(2) + EventText(3));
}
