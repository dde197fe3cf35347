#include "request_flow_fixture.h"

#include <bilberrytrail/runtime/memory_budget.h>

#include <doctest/doctest.h>

#include <set>

using namespace bilberrytrail;

namespace {

FakeSend
Failing(SendFault aFault, bool aIsNotRun)
{
  FakeSend send;
  send.mFailure = SendFailure{ aFault, aIsNotRun, "scripted failure" };
  return send;
}

FakeSend
Answering(unsigned aStatus, std::string aBody)
{
  FakeSend send;
  send.mStatus = aStatus;
  send.mPieces = { std::move(aBody) };
  return send;
}

FakeSend
Streaming(std::vector<std::string> aPieces, bool aIsCut)
{
  FakeSend send;
  send.mPieces = std::move(aPieces);
  send.mIsCut = aIsCut;
  return send;
}

} // namespace

TEST_CASE("unknown routes and keys get Retry-After unless the view is fresh")
{
  enum class View : unsigned char
  {
    None,
    Fresh,
    Old,
    // The row of the configuration can't be read.
    Unreadable
  };
  struct Row
  {
    View mView;
    const char* mPath;
    const char* mKey;
    RefusalReason mReason;
  };
  using enum RefusalReason;
  for (const Row& row :
       { Row{ View::None, "/x", "key", PlatformUnavailable },
         Row{ View::Fresh, "y", "key", NoRoute },
         Row{ View::Old, "y", "key", PlatformUnavailable },
         Row{ View::Unreadable, "y", "", PlatformUnavailable },
         Row{ View::Fresh, "/x", "other", Unauthorized },
         Row{ View::Old, "/x", "", PlatformUnavailable },
         Row{ View::Unreadable, "/x", "", PlatformUnavailable } }) {
    CAPTURE(static_cast<int>(row.mView));
    CAPTURE(std::string(row.mPath));
    FlowFixture fixture;
    fixture.mHasView = row.mView != View::None;
    fixture.mIsFresh = row.mView != View::Old;
    fixture.mIsConfigUnreadable = row.mView == View::Unreadable;
    fixture.mRequest.mPassedOn.mTarget = row.mPath;
    fixture.mRequest.mKey = row.mKey;
    fixture.Run();
    REQUIRE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mRefusal->Reason() == row.mReason);
    CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
    CHECK(fixture.mSink.mRefusal->RetryAfter().has_value() ==
          (row.mReason == PlatformUnavailable));
    CHECK(fixture.mBackend.mCalls.empty());
    CHECK(fixture.mSink.mFinalCount == 1);
  }
}

// Combines every failure of the first send with every kind of route: a request
// must not run twice unless the route allows it, and a refusal must not claim
// that a request which may have run did not run.
TEST_CASE("a send is retried if it did not run or if the route allows a rerun")
{
  struct Fault
  {
    SendFault mFault;
    bool mIsNotRun;
  };
  struct Kind
  {
    RequestKind mKind;
    bool mIsResumable;
    unsigned mAttempts;
    bool mMayRunAgain;
  };
  for (const Fault& fault : { Fault{ SendFault::NoConnection, true },
                              Fault{ SendFault::Full, true },
                              Fault{ SendFault::WrongServer, true },
                              Fault{ SendFault::Broken, false },
                              Fault{ SendFault::Garbled, false } }) {
    for (const Kind& kind :
         { Kind{ RequestKind::Idempotent, false, 2, true },
           Kind{ RequestKind::Idempotent, false, 1, false },
           Kind{ RequestKind::NonIdempotent, false, 2, false },
           Kind{ RequestKind::Streaming, false, 2, false },
           Kind{ RequestKind::Streaming, true, 2, true } }) {
      CAPTURE(fault.mFault);
      CAPTURE(kind.mKind);
      CAPTURE(kind.mAttempts);
      FlowFixture fixture;
      auto& route = fixture.mConfig.mRoutes.front();
      route.mKind = kind.mKind;
      route.mResumable = kind.mIsResumable;
      route.mMaxAttempts = kind.mAttempts;
      fixture.mBackend.mScript = { Failing(fault.mFault, fault.mIsNotRun),
                                   Answering(200, EventText(1)) };
      fixture.Run();
      const bool isRepeated = fault.mIsNotRun || kind.mMayRunAgain;
      CHECK(fixture.mBackend.mCalls.size() == (isRepeated ? 2 : 1));
      CHECK(fixture.mSink.mFinalCount == 1);
      if (isRepeated) {
        CHECK(fixture.mSink.mBody == EventText(1));
        CHECK(fixture.mBackend.mCalls[0].mServer !=
              fixture.mBackend.mCalls[1].mServer);
      } else {
        REQUIRE(fixture.mSink.mRefusal);
        CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
      }
    }
  }
}

TEST_CASE("a request that all servers refuse is refused at once as not run")
{
  FlowFixture fixture;
  for (int n = 0; n < 10; ++n) {
    fixture.mBackend.mScript.push_back(Failing(SendFault::Full, true));
  }
  fixture.Run();
  REQUIRE(fixture.mSink.mRefusal);
  CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
  CHECK(fixture.mSink.mRefusal->RetryAfter().has_value());
  CHECK(fixture.mElapsed < 200ms);
  // Each server was tried at most once.
  std::set<ServerId> servers;
  for (const auto& it : fixture.mBackend.mCalls) {
    CHECK(servers.insert(it.mServer).second);
  }
}

TEST_CASE("refused retries do not hide that an earlier send may have run")
{
  FlowFixture fixture;
  auto& route = fixture.mConfig.mRoutes.front();
  route.mKind = RequestKind::Idempotent;
  route.mMaxAttempts = 2;
  fixture.mBackend.mScript = { Failing(SendFault::Broken, false) };
  for (int n = 0; n < 6; ++n) {
    fixture.mBackend.mScript.push_back(Failing(SendFault::Full, true));
  }
  fixture.Run();
  REQUIRE(fixture.mSink.mRefusal);
  CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
}

TEST_CASE("an idempotent request is rerun after an error within its attempts")
{
  for (const unsigned attempts : { 1U, 2U }) {
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = RequestKind::Idempotent;
    route.mMaxAttempts = attempts;
    fixture.mBackend.mScript = { Answering(500, "no"), Answering(200, "yes") };
    fixture.Run();
    CHECK(fixture.mSink.mStatus == (attempts == 1 ? 500 : 200));
    CHECK(fixture.mSink.mBody == (attempts == 1 ? "no" : "yes"));
  }
}

TEST_CASE("an idempotent request is retried elsewhere if its server is silent")
{
  FlowFixture fixture;
  auto& route = fixture.mConfig.mRoutes.front();
  route.mKind = RequestKind::Idempotent;
  route.mMaxAttempts = 2;
  FakeSend silent;
  silent.mHeadTime = std::chrono::hours(1);
  fixture.mBackend.mScript = { silent, Answering(200, "yes") };
  fixture.Run();
  CHECK(fixture.mSink.mBody == "yes");
  CHECK(fixture.mElapsed < 500ms);
}

TEST_CASE("a request that may not be retried waits until its deadline")
{
  for (const bool isCallersDeadline : { false, true }) {
    FlowFixture fixture;
    if (isCallersDeadline) {
      fixture.mRequest.mWaitLimit = 700ms;
    }
    FakeSend silent;
    silent.mHeadTime = std::chrono::hours(1);
    fixture.mBackend.mScript = { silent };
    fixture.Run();
    REQUIRE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mRefusal->Reason() == RefusalReason::DeadlinePassed);
    CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
    CHECK(fixture.mElapsed == (isCallersDeadline ? 700ms : 2s));
    CHECK(fixture.mBackend.mCalls.front().mTimeLeft <= fixture.mElapsed);
  }
}

TEST_CASE(
  "a broken stream resumes at another server after its last whole event")
{
  FlowFixture fixture;
  auto& route = fixture.mConfig.mRoutes.front();
  route.mKind = RequestKind::Streaming;
  route.mResumable = true;
  route.mMaxAttempts = 2;
  fixture.mBackend.mScript = {
    Streaming({ EventText(1), EventText(2) + "id: 3\nda" }, true),
    Streaming({ EventText(3), EventText(4) }, false)
  };
  fixture.Run();
  REQUIRE(fixture.mBackend.mCalls.size() == 2);
  CHECK(fixture.mBackend.mCalls[1].mResumeAfter == "2");
  CHECK(fixture.mSink.mBody ==
        EventText(1) + EventText(2) + EventText(3) + EventText(4));
  CHECK_FALSE(fixture.mSink.mIsCut);
}

TEST_CASE("a broken stream that cannot be resumed never ends as complete")
{
  struct Row
  {
    bool mIsResumable;
    bool mHasBegun;
    unsigned mSecondStatus;
  };
  for (const Row& row : { Row{ false, true, 200 },
                          Row{ false, false, 200 },
                          Row{ true, true, 500 } }) {
    CAPTURE(row.mHasBegun);
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = RequestKind::Streaming;
    route.mResumable = row.mIsResumable;
    route.mMaxAttempts = 2;
    fixture.mBackend.mScript = {
      Streaming({ row.mHasBegun ? EventText(1) : "id: 1\n" }, true),
      Answering(row.mSecondStatus, "no")
    };
    fixture.Run();
    CHECK(fixture.mSink.mFinalCount == 1);
    CHECK(fixture.mSink.mIsCut == row.mHasBegun);
    CHECK(fixture.mSink.mRefusal.has_value() != row.mHasBegun);
    CHECK(fixture.mSink.mBody == (row.mHasBegun ? EventText(1) : ""));
  }
}

// Resuming the stream fails because no server takes it, or because the deadline
// has passed.
TEST_CASE("a stream that has begun is never followed by a refusal")
{
  for (const bool isTimeOver : { false, true }) {
    CAPTURE(isTimeOver);
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = RequestKind::Streaming;
    route.mResumable = true;
    route.mMaxAttempts = 9;
    auto cut = Streaming({ EventText(1) }, true);
    if (isTimeOver) {
      cut.mPieceTime = 997ms;
    }
    fixture.mBackend.mScript = { cut };
    for (int n = 0; n < 6; ++n) {
      fixture.mBackend.mScript.push_back(Failing(SendFault::Full, true));
    }
    fixture.Run();
    CHECK(fixture.mSink.mFinalCount == 1);
    CHECK(fixture.mSink.mIsCut);
    CHECK_FALSE(fixture.mSink.mRefusal);
    CHECK(fixture.mSink.mBody == EventText(1));
  }
}

TEST_CASE("no retry is sent and no answer given after the caller has left")
{
  FlowFixture fixture;
  auto& route = fixture.mConfig.mRoutes.front();
  route.mKind = RequestKind::Idempotent;
  route.mMaxAttempts = 3;
  FakeSend slow = Answering(200, "late");
  slow.mHeadTime = 200ms;
  fixture.mBackend.mScript = { slow };
  fixture.Run(50ms);
  CHECK(fixture.mBackend.mCalls.size() == 1);
  CHECK(fixture.mSink.mFinalCount == 0);
}

// The home's view of the site may be outdated, so the rules for a choice must
// not depend on it.
TEST_CASE("a home's choice is used only if this daemon's own view allows it")
{
  struct Row
  {
    const char* mName;
    std::optional<PlacementOutcome> mOutcome;
    const char* mServer;
    std::uint64_t mVersion;
    // Whether the request goes to the home's server, or is refused.
    bool mIsTaken;
    bool mIsRefused;
  };
  for (const Row& row :
       { Row{ "silent", std::nullopt, "", 0, false, false },
         Row{ "granted", PlacementOutcome::Granted, "s2", 3, true, false },
         Row{ "gone", PlacementOutcome::Granted, "s77", 3, false, false },
         Row{ "leaving", PlacementOutcome::Granted, "s1", 3, false, false },
         Row{ "old weights", PlacementOutcome::Granted, "s2", 2, false, false },
         Row{ "no server", PlacementOutcome::NoServer, "", 0, false, false },
         Row{ "busy", PlacementOutcome::Busy, "", 0, false, true },
         Row{ "limited", PlacementOutcome::Limited, "", 0, false, true } }) {
    CAPTURE(row.mName);
    FlowFixture fixture;
    for (auto& it : fixture.mServers) {
      it.mModels = { { ModelId("m"), 3 } };
      it.mIsLeaving = it.mId == ServerId("s1");
    }
    (void)fixture.mWeights.AddVersion(ModelId("m"), 3, BootNow() - 60s);
    fixture.mRequest.mPrompt = Prompt{ ModelId("m"), { { "a", 10 } }, 10, 5 };
    fixture.mBackend.mScript = { Answering(200, "ok") };
    if (row.mOutcome) {
      PlacementReply reply;
      reply.mTicket = 9;
      reply.mOutcome = *row.mOutcome;
      reply.mServer = ServerId(row.mServer);
      reply.mWeightVersion = row.mVersion;
      reply.mTime = 400ms;
      fixture.mPlacer.mReply = reply;
    }
    fixture.Run();
    const auto& calls = fixture.mBackend.mCalls;
    CHECK(calls.size() == (row.mIsRefused ? 0 : 1));
    CHECK(fixture.mSink.mFinalCount == 1);
    const auto& outcomes = fixture.mPlacer.mOutcomes;
    if (row.mIsTaken) {
      CHECK(calls.front().mServer == ServerId(row.mServer));
      CHECK(fixture.mPlacer.mBegun == 1);
      CHECK(outcomes == std::vector{ SendOutcome::Answered });
    } else if (!row.mIsRefused) {
      CHECK(calls.front().mServer != ServerId("s1"));
      CHECK(calls.front().mWeightVersion == 3);
      const bool wasGranted = row.mOutcome == PlacementOutcome::Granted;
      CHECK(outcomes == (wasGranted ? std::vector{ SendOutcome::Abandoned }
                                    : std::vector<SendOutcome>()));
    } else {
      REQUIRE(fixture.mSink.mRefusal);
      CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::NotRun);
      CHECK(fixture.mSink.mRefusal->RetryAfter() == 400ms);
    }
  }
}

// A daemon that is short of processor time starts requests seconds late. The
// caller's connection may have closed by then without OnCallerGone having been
// called.
TEST_CASE("a request is not sent when its caller left while it was queued")
{
  for (const bool hasLeft : { false, true }) {
    FlowFixture fixture;
    fixture.mSink.mHasLeft = hasLeft;
    fixture.mBackend.mScript = { Answering(200, "ok") };
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.size() == (hasLeft ? 0 : 1));
    CHECK(fixture.mSink.mFinalCount == (hasLeft ? 0 : 1));
  }
}

// A faulty server sends bytes without end that are no answer. The daemon must
// abort it long before its memory is full.
TEST_CASE("an endless answer is aborted and never ends as complete")
{
  struct Row
  {
    RequestKind mKind;
    // Sent before the endless bytes.
    std::vector<std::string> mPieces;
  };
  for (const Row& row : { Row{ RequestKind::Idempotent, {} },
                          Row{ RequestKind::NonIdempotent, {} },
                          Row{ RequestKind::Streaming, {} },
                          Row{ RequestKind::Streaming, { EventText(1) } } }) {
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = row.mKind;
    route.mMaxAttempts = 1;
    // Large enough not to end the answer before its own bounds do.
    fixture.mLoop.SetMessageMemory(
      std::make_shared<MemoryBudget>(1024 * 1024 * 1024));
    FakeSend send = Answering(200, "");
    send.mPieces = row.mPieces;
    send.mPieces.emplace_back(64 * 1024, 'x');
    send.mIsEndless = true;
    send.mPieceTime = 100us;
    fixture.mBackend.mScript = { send };
    fixture.Run();
    CHECK(fixture.mSink.mFinalCount == 1);
    const bool hasBegun = !row.mPieces.empty();
    CHECK(fixture.mSink.mIsCut == hasBegun);
    CHECK(fixture.mSink.mRefusal.has_value() != hasBegun);
    CHECK(fixture.mSink.mBody == (hasBegun ? EventText(1) : ""));
  }
}

TEST_CASE("the cache salt separates weight versions and isolated accounts")
{
  struct Row
  {
    bool mIsIsolated;
    std::uint64_t mVersion;
    const char* mSalt;
  };
  for (const Row& row : { Row{ false, 1, "w1" },
                          Row{ false, 4, "w4" },
                          Row{ true, 4, "w4.wick" } }) {
    FlowFixture fixture;
    fixture.mConfig.mAccounts.front().mIsolated = row.mIsIsolated;
    for (auto& it : fixture.mServers) {
      it.mModels = { { ModelId("m"), row.mVersion } };
    }
    fixture.mRequest.mPrompt = Prompt{ ModelId("m"), { { "a", 10 } }, 10, 5 };
    fixture.Run();
    REQUIRE(fixture.mBackend.mCalls.size() == 1);
    CHECK(fixture.mBackend.mCalls[0].mCacheSalt == row.mSalt);
    CHECK(fixture.mBackend.mCalls[0].mWeightVersion == row.mVersion);
    CHECK(fixture.mBackend.mCalls[0].mAccount == AccountId("wick"));
  }
}

TEST_CASE("an account's priority overrides the route's priority")
{
  for (const bool hasOwn : { false, true }) {
    FlowFixture fixture;
    fixture.mConfig.mRoutes.front().mPriority = 2;
    if (hasOwn) {
      fixture.mConfig.mAccounts.front().mPriority = 12;
    }
    fixture.mRequest.mPrompt = Prompt{ ModelId("m"), { { "a", 10 } }, 10, 5 };
    fixture.Run();
    CHECK(fixture.mBackend.mCalls.front().mPriority ==
          std::optional<unsigned>(hasOwn ? 9 : 2));
  }
}

// Guards against a server's 503 without its statement that it has not run the
// request: callers send an order once more after it.
TEST_CASE("a status that promises not run is passed on only when that is safe")
{
  struct Row
  {
    RequestKind mKind;
    unsigned mStatus;
    bool mIsPassedOn;
  };
  using enum RequestKind;
  for (const Row& row : { Row{ NonIdempotent, 503, false },
                          Row{ NonIdempotent, 429, false },
                          Row{ NonIdempotent, 408, false },
                          Row{ NonIdempotent, 500, true },
                          Row{ NonIdempotent, 404, true },
                          Row{ Streaming, 503, false },
                          Row{ Idempotent, 503, true } }) {
    CAPTURE(row.mStatus);
    FlowFixture fixture;
    auto& route = fixture.mConfig.mRoutes.front();
    route.mKind = row.mKind;
    route.mMaxAttempts = 1;
    fixture.mBackend.mScript = { Answering(row.mStatus, "no") };
    fixture.Run();
    CHECK(fixture.mSink.mFinalCount == 1);
    CHECK(fixture.mSink.mRefusal.has_value() != row.mIsPassedOn);
    if (fixture.mSink.mRefusal) {
      CHECK(fixture.mSink.mRefusal->GetDisposition() == Disposition::Unknown);
    } else {
      CHECK(fixture.mSink.mStatus == row.mStatus);
    }
  }
}
