#include "request_flow_fixture.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

Prompt
MakePrompt()
{
  Prompt prompt;
  prompt.mModel = ModelId("m");
  prompt.mParts = { { "common", 10 }, { "deadly", 10 }, { "own", 10 } };
  prompt.mInputTokens = 30;
  return prompt;
}

// Puts the part "deadly" into quarantine.
void
QuarantinePart(FlowFixture& aFixture)
{
  const auto now = MonotonicNow();
  const std::vector parts{ MakePartKey(ModelId("m"), "deadly") };
  for (std::uint64_t n = 1; n <= 3; ++n) {
    aFixture.mParts.ServerDied(DeathId(n), parts, now - Duration(2s) / n, now);
  }
}

} // namespace

// Guards against sending prompts to servers that they crash.
TEST_CASE("a prompt with a part in quarantine is refused at once, unsent")
{
  struct Row
  {
    const char* mName;
    const char* mPart;
    bool mIsRefused;
    // The news come with the home's reply.
    bool mIsLate;
  };
  for (const Row& row : { Row{ "known before", "deadly", true, false },
                          Row{ "known from the home", "deadly", true, true },
                          Row{ "another part", "sound", false, false },
                          Row{ "another part, late", "sound", false, true } }) {
    CAPTURE(std::string(row.mName));
    FlowFixture fixture;
    fixture.mRequest.mPrompt = MakePrompt();
    fixture.mRequest.mPrompt->mParts[1].mId = row.mPart;
    PlacementReply reply;
    reply.mOutcome = PlacementOutcome::Granted;
    reply.mServer = fixture.mServers[0].mId;
    reply.mWeightVersion = 1;
    fixture.mPlacer.mReply = reply;
    if (row.mIsLate) {
      fixture.mPlacer.mOnPlace = [&] { QuarantinePart(fixture); };
    } else {
      QuarantinePart(fixture);
    }
    fixture.Run();
    CHECK(fixture.mSink.mRefusal.has_value() == row.mIsRefused);
    CHECK(fixture.mBackend.mCalls.empty() == row.mIsRefused);
    CHECK(fixture.mElapsed < 100ms);
    if (fixture.mSink.mRefusal) {
      const auto& refusal = *fixture.mSink.mRefusal;
      CHECK(refusal.Reason() == RefusalReason::Quarantined);
      CHECK(refusal.GetDisposition() == Disposition::NotRun);
      CHECK(refusal.RetryAfter().value_or(0s) > 500s);
    }
    if (row.mIsLate && row.mIsRefused) {
      CHECK(fixture.mPlacer.mOutcomes == std::vector{ SendOutcome::Abandoned });
    }
  }
}

// Guards against retries and resumed streams that carry the part on.
TEST_CASE("a retry with a part in quarantine is not sent")
{
  for (const bool isStream : { false, true }) {
    CAPTURE(isStream);
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = isStream ? RequestKind::Streaming : RequestKind::Idempotent;
    route.mResumable = isStream;
    route.mMaxAttempts = 4;
    fixture.mRequest.mPrompt = MakePrompt();
    FakeSend cut;
    cut.mHeadTime = 50ms;
    cut.mPieces = { EventText(1) };
    cut.mIsCut = true;
    fixture.mBackend.mScript = { cut, cut, cut, cut };
    fixture.mLoop.Spawn([&] {
      (void)fixture.mLoop.Sleep(20ms);
      QuarantinePart(fixture);
    });
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == 1);
    CHECK(fixture.mSink.mFinalCount == 1);
    CHECK(fixture.mSink.mIsCut == isStream);
    if (!isStream) {
      REQUIRE(fixture.mSink.mRefusal);
      CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
    }
  }
}

// Guards against taking lost connections for servers that ended, and against
// suspecting prompts whose servers had already begun to answer.
TEST_CASE("only servers that refuse or ignore connections count as ended")
{
  struct Row
  {
    const char* mName;
    SendFault mFault;
    ConnectOutcome mConnects;
    std::size_t mSuspects;
  };
  constexpr auto kAccepted = ConnectOutcome::Accepted;
  constexpr auto kRefused = ConnectOutcome::Refused;
  constexpr auto kSilent = ConnectOutcome::Silent;
  for (const Row& row :
       { Row{ "ended", SendFault::Broken, kRefused, 2 },
         Row{ "connection reset", SendFault::Broken, kAccepted, 0 },
         Row{ "host lost power", SendFault::TimedOut, kSilent, 2 },
         Row{ "ended without a reset", SendFault::TimedOut, kRefused, 2 },
         Row{ "slow", SendFault::TimedOut, kAccepted, 0 },
         Row{ "not told", SendFault::TimedOut, ConnectOutcome::Unknown, 0 },
         Row{ "garbled", SendFault::Garbled, kRefused, 0 },
         Row{ "refused", SendFault::NoConnection, kRefused, 0 } }) {
    CAPTURE(std::string(row.mName));
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = RequestKind::Idempotent;
    route.mMaxAttempts = 2;
    fixture.mRequest.mPrompt = MakePrompt();
    fixture.mBackend.mConnects = row.mConnects;
    FakeSend broken;
    broken.mFailure = SendFailure{ row.mFault, false, "test" };
    FakeSend later;
    later.mStatus = 404;
    later.mPieces = { "x" };
    later.mHeadTime = 1s;
    fixture.mBackend.mScript = { broken, later };
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == 2);
    CHECK(fixture.mParts.size() == row.mSuspects);
  }
}

TEST_CASE("a stream that went on before its server ended is not suspected")
{
  for (const bool hasGoneOn : { false, true }) {
    CAPTURE(hasGoneOn);
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = RequestKind::Streaming;
    route.mResumable = true;
    route.mMaxAttempts = 2;
    fixture.mRequest.mPrompt = MakePrompt();
    fixture.mBackend.mConnects = ConnectOutcome::Refused;
    FakeSend cut;
    cut.mPieces = { EventText(1), EventText(2) };
    cut.mPieceTime = hasGoneOn ? 400ms : 10ms;
    cut.mIsCut = true;
    FakeSend later;
    later.mHeadTime = 100ms;
    later.mFailure = SendFailure{ SendFault::TimedOut, false, "test" };
    fixture.mBackend.mScript = { cut, later };
    fixture.Run();
    CHECK(fixture.mParts.size() == (hasGoneOn ? 0 : 2));
  }
}
