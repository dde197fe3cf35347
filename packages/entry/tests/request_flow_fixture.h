#pragma once

#include <bilberrytrail/entry/request_flow.h>
#include <bilberrytrail/runtime/loop.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// The scripted reaction of a fake server to one send.
struct FakeSend
{
  std::optional<SendFailure> mFailure;
  unsigned mStatus = 200;
  HttpHeaders mHeaders;
  std::vector<std::string> mPieces;
  // The answer breaks off after its pieces.
  bool mIsCut = false;
  // Only the end of the connection ends the answer.
  bool mEndsWithConnection = false;
  // The last piece is repeated endlessly.
  bool mIsEndless = false;
  // The rate limit that the answer names.
  std::optional<double> mRequestLimit;
  // The answer says that its server is leaving.
  bool mIsLeaving = false;
  // The time for which the server wants no requests.
  std::optional<Duration> mPause;
  // Time to the head of the answer, and before each piece.
  Duration mHeadTime = 10ms;
  Duration mPieceTime = 10ms;
};

// Answers sends by a script and records the calls. Sends after the end of the
// script are answered with "extra".
class FakeBackend final : public BackendPort
{
public:
  explicit FakeBackend(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  Result<std::unique_ptr<BackendAnswer>, SendFailure> Send(
    const BackendCall& aCall,
    const CallerRequest& aRequest,
    Duration aHeadTime,
    HttpCancel& aCancel) override;
  ConnectOutcome Probe(const Endpoint& aEndpoint, Duration aTimeout) override;
  void Forget(const Endpoint& /*aEndpoint*/) override {}

  // What becomes of new connections to servers, and the number of those opened
  // to check a server.
  ConnectOutcome mConnects = ConnectOutcome::Accepted;
  std::size_t mProbes = 0;
  // What becomes of the first of these connections, if it differs.
  std::deque<ConnectOutcome> mFirstConnects;

  std::deque<FakeSend> mScript;
  std::vector<BackendCall> mCalls;
  // Called at each send; may be empty.
  std::function<void()> mOnSend;

private:
  Loop& mLoop;
};

// Records the answer that a caller gets.
class FakeSink final : public CallerSink
{
public:
  void OnCallerGone(const std::function<void()>& aGone) override
  {
    mOnCallerGone = aGone;
  }
  [[nodiscard]] bool HasCallerLeft() override { return mHasLeft; }
  void Refuse(const Refusal& aRefusal) override
  {
    mRefusal = aRefusal;
    ++mFinalCount;
  }
  Result<void> SendWhole(AnswerHead aHead, std::string aBody) override
  {
    mStatus = aHead.mStatus;
    mBody = std::move(aBody);
    ++mFinalCount;
    return Ok();
  }
  Result<void> Begin(AnswerHead aHead) override
  {
    mStatus = aHead.mStatus;
    return Ok();
  }
  Result<void> Write(std::string_view aBytes) override
  {
    mBody += aBytes;
    return Ok();
  }
  Result<void> End() override
  {
    ++mFinalCount;
    return Ok();
  }
  void Cut() override
  {
    mIsCut = true;
    ++mFinalCount;
  }

  std::function<void()> mOnCallerGone;
  // The connection is closed, but mOnCallerGone was not called yet.
  bool mHasLeft = false;
  std::optional<Refusal> mRefusal;
  unsigned mStatus = 0;
  std::string mBody;
  bool mIsCut = false;
  // Number of final answers of any kind: one for each request, or none when its
  // caller has left.
  int mFinalCount = 0;
};

// Answers placement requests with mReply and records the reports.
class FakePlacer final : public Placer
{
public:
  std::optional<PlacementReply> Place(const ServerQuery& /*aQuery*/,
                                      std::uint64_t /*aSpread*/,
                                      Duration /*aTimeLeft*/,
                                      bool /*aMustPlace*/) override
  {
    if (mOnPlace) {
      mOnPlace();
    }
    return mReply;
  }
  void OnBegun(std::uint64_t /*aTicket*/) override { ++mBegun; }
  void OnEnd(std::uint64_t /*aTicket*/, SendOutcome aOutcome) override
  {
    mOutcomes.push_back(aOutcome);
  }

  std::optional<PlacementReply> mReply;
  std::function<void()> mOnPlace;
  int mBegun = 0;
  std::vector<SendOutcome> mOutcomes;
};

// Runs one request through the flow, in virtual time.
class FlowFixture
{
public:
  FlowFixture();

  // Handles the request and returns when it has ended. If aLeavesAfter is
  // given, the caller leaves after that time.
  void Run(std::optional<Duration> aLeavesAfter = std::nullopt);

  Loop mLoop{ LoopTime::Virtual };
  FakeBackend mBackend{ mLoop };
  ServerLimits mLimits;
  RateGate mGate{ mLimits };
  PartQuarantine mParts;
  PartQuarantine mRequests{ { .mKind = QuarantinedKind::Request } };
  CrashWatch mCrashes{ mLoop, mBackend, mParts, mRequests };
  AvoidedServers mAvoided;
  ServerPool mPool{ ZoneId("z"), ServerPoolSettings(), &mGate, &mAvoided };
  RetryMeter mRetries{ { 0.2, 1000, 10s, 0.8 }, MonotonicNow() - 20s };
  CacheDirectory mCache;
  HistogramRegistry mTimes{ 16 };
  CounterRegistry mCounts{ 16 };
  SiteConfig mConfig;
  std::vector<ServerRecord> mServers;
  WeightHistory mWeights;
  bool mHasView = true;
  Duration mConfigWithin = 2s;
  // Whether evidence shows what is in force, the time that it takes, and a
  // configuration that comes with it.
  bool mIsFresh = true;
  Duration mEvidenceTime{};
  std::optional<SiteConfig> mConfigWithEvidence;
  SiteEvidence mEvidence;
  bool mIsConfigUnreadable = false;
  // The times for which evidence was asked for.
  std::vector<Instant> mNeededEvidence;
  CallerRequest mRequest;
  FakeSink mSink;
  FakePlacer mPlacer;
  // The daemon refuses new requests before its stop.
  bool mRefusesNew = false;
  // The daemon stops after this time.
  std::optional<Duration> mEndsAllAfter;
  Duration mElapsed{};

private:
  [[nodiscard]] std::shared_ptr<const SiteView> MakeView(
    const SiteConfig& aConfig) const;
  bool AwaitEvidence(Instant aNeeded, Duration aWait);

  std::shared_ptr<const SiteView> mView;
};

// Returns the text of an event with this id.
[[nodiscard]] std::string
EventText(int aId);

} // namespace bilberrytrail
