#pragma once

#include <bilberrytrail/entry/request_flow.h>
#include <bilberrytrail/runtime/loop.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// What a fake server does with one send.
struct FakeSend
{
  std::optional<SendFailure> mFailure;
  unsigned mStatus = 200;
  std::vector<std::string> mPieces;
  // The answer breaks off behind its pieces.
  bool mIsCut = false;
  // The last piece comes again and again.
  bool mIsEndless = false;
  // Time to the head of the answer, and before each piece.
  Duration mHeadTime = 10ms;
  Duration mPieceTime = 10ms;
};

// Answers sends by a script and keeps what was sent. A send beyond the script
// is answered with "extra".
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
  void Forget(const Endpoint& /*aEndpoint*/) override {}

  std::deque<FakeSend> mScript;
  std::vector<BackendCall> mCalls;

private:
  Loop& mLoop;
};

// Keeps the answer that a caller gets.
class FakeSink final : public CallerSink
{
public:
  void OnCallerGone(const std::function<void()>& aGone) override
  {
    mGone = aGone;
  }
  [[nodiscard]] bool HasCallerLeft() override { return mHasLeft; }
  void Refuse(const Refusal& aRefusal) override
  {
    mRefusal = aRefusal;
    ++mFinals;
  }
  Result<void> SendWhole(AnswerHead aHead, std::string aBody) override
  {
    mStatus = aHead.mStatus;
    mBody = std::move(aBody);
    ++mFinals;
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
    ++mFinals;
    return Ok();
  }
  void Cut() override
  {
    mIsCut = true;
    ++mFinals;
  }

  std::function<void()> mGone;
  // The connection is closed, which mGone did not tell yet.
  bool mHasLeft = false;
  std::optional<Refusal> mRefusal;
  unsigned mStatus = 0;
  std::string mBody;
  bool mIsCut = false;
  // Final answers of any kind; each request gets one, or its caller has left.
  int mFinals = 0;
};

// Places requests by a script and keeps what it is told.
class FakePlacer final : public Placer
{
public:
  std::optional<PlacementReply> Place(const ServerQuery& /*aQuery*/,
                                      std::uint64_t /*aSpread*/,
                                      Duration /*aTimeLeft*/,
                                      bool /*aMustPlace*/) override
  {
    return mReply;
  }
  void OnBegun(std::uint64_t /*aTicket*/) override { ++mBegun; }
  void OnEnd(std::uint64_t /*aTicket*/, SendOutcome aEnd) override
  {
    mEnds.push_back(aEnd);
  }

  std::optional<PlacementReply> mReply;
  int mBegun = 0;
  std::vector<SendOutcome> mEnds;
};

// One request on its way through the flow, in virtual time.
class FlowFixture
{
public:
  FlowFixture();

  // Sends the request and returns when it has ended; the caller leaves after
  // the time, if one is given.
  void Run(std::optional<Duration> aLeavesAfter = std::nullopt);

  Loop mLoop{ LoopTime::Virtual };
  FakeBackend mBackend{ mLoop };
  ServerPool mPool{ ZoneId("z"), ServerPoolSettings() };
  RetryMeter mRetries{ { 0.2, 1000, 10s, 0.8 }, MonotonicNow() - 20s };
  CacheDirectory mCache;
  HistogramRegistry mTimes{ 16 };
  CounterRegistry mCounts{ 16 };
  SiteConfig mConfig;
  std::vector<ServerRecord> mServers;
  WeightHistory mWeights;
  bool mHasView = true;
  bool mIsFresh = true;
  CallerRequest mRequest;
  FakeSink mSink;
  FakePlacer mPlacer;
  Duration mTook{};
};

// Returns a stream's event.
[[nodiscard]] std::string
EventText(int aId);

} // namespace bilberrytrail
