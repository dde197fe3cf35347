#include "request_flow_fixture.h"

#include <bilberrytrail/runtime/memory_budget.h>

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

// Guards against unfinished events, of one stream or of many, that fill the
// memory.
TEST_CASE("a stream whose event is too large for the memory is broken off")
{
  struct Row
  {
    std::size_t mEventBytes;
    std::size_t mBudgetBytes;
    bool mIsComplete;
  };
  for (const Row& row : { Row{ 200'000, 2'000'000, true },
                          Row{ 200'000, 200'000, false },
                          Row{ 2'000'000, 1'000'000'000, false } }) {
    CAPTURE(row.mEventBytes);
    FlowFixture fixture;
    SetStreaming(fixture, 1);
    fixture.mLoop.SetMessageMemory(
      std::make_shared<MemoryBudget>(row.mBudgetBytes));
    fixture.mBackend.mScript = { Answering(
      { EventText(1), "data: " + std::string(row.mEventBytes, 'x'), "\n\n" },
      false) };
    fixture.Run();
    CHECK(IsComplete(fixture.mSink) == row.mIsComplete);
    CHECK(fixture.mLoop.MessageMemory()->UsedBytes() == 0);
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

// Guards against an answer that is passed on as complete although its server
// crashed, or its host was lost: the connections of a process that ends look
// closed by it, so that a body without length or chunks seems to end there.
TEST_CASE("an answer that ends with its connection and its server is broken")
{
  struct Row
  {
    bool mIsStream;
    bool mEndsWithConnection;
    ConnectOutcome mConnects;
    bool mIsComplete;
  };
  constexpr auto kAccepted = ConnectOutcome::Accepted;
  constexpr auto kRefused = ConnectOutcome::Refused;
  constexpr auto kSilent = ConnectOutcome::Silent;
  for (const Row& row : { Row{ true, true, kRefused, false },
                          Row{ true, true, kSilent, false },
                          Row{ true, true, kAccepted, true },
                          Row{ true, false, kRefused, true },
                          Row{ true, false, kSilent, true },
                          Row{ false, true, kRefused, false },
                          Row{ false, true, kSilent, false },
                          Row{ false, true, kAccepted, true },
                          Row{ false, false, kRefused, true },
                          Row{ false, false, kSilent, true } }) {
    CAPTURE(row.mIsStream);
    CAPTURE(row.mEndsWithConnection);
    CAPTURE(std::string(ToName(row.mConnects)));
    FlowFixture fixture;
    if (row.mIsStream) {
      SetStreaming(fixture, 1);
    }
    fixture.mBackend.mConnects = row.mConnects;
    fixture.mBackend.mScript = { Answering({ EventText(1) },
                                           row.mEndsWithConnection) };
    fixture.Run();
    CHECK(IsComplete(fixture.mSink) == row.mIsComplete);
  }
}

// Guards against the same at a route whose answers may be repeated, where the
// caller can still get a whole one.
TEST_CASE("an answer that ends with its server is read from another one")
{
  for (const bool isStream : { false, true }) {
    CAPTURE(isStream);
    FlowFixture fixture;
    SetStreaming(fixture, 2);
    if (!isStream) {
      fixture.mConfig.mRoutes.front().mKind = RequestKind::Idempotent;
    }
    fixture.mBackend.mConnects = ConnectOutcome::Refused;
    fixture.mBackend.mScript = { Answering({ EventText(1) }, true),
                                 Answering({ EventText(2) }, false) };
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == 2);
    CHECK(IsComplete(fixture.mSink));
    CHECK(fixture.mSink.mBody ==
          (isStream ? EventText(1) : std::string()) + EventText(2));
  }
}
