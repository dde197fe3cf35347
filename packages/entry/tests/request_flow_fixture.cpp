#include "request_flow_fixture.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

// Bytes after which an endless answer ends as if complete: reading so far would
// fill the memory of a small VM.
constexpr std::size_t kMostEndlessBytes = 64 * 1024 * 1024;

class FakeAnswer final : public BackendAnswer
{
public:
  FakeAnswer(Loop& aLoop, FakeSend aSend, HttpCancel& aCancel)
    : mLoop(aLoop)
    , mSend(std::move(aSend))
    , mCancel(aCancel)
    , mHead{ mSend.mStatus, mSend.mHeaders }
  {
  }

  [[nodiscard]] const AnswerHead& Head() const noexcept override
  {
    return mHead;
  }
  [[nodiscard]] std::optional<std::uint64_t> WeightVersion()
    const noexcept override
  {
    return std::nullopt;
  }
  [[nodiscard]] std::optional<double> RequestLimit() const noexcept override
  {
    return mSend.mRequestLimit;
  }
  [[nodiscard]] bool IsLeaving() const noexcept override
  {
    return mSend.mIsLeaving;
  }
  [[nodiscard]] std::optional<Duration> Pause() const noexcept override
  {
    return mSend.mPause;
  }
  [[nodiscard]] bool EndsWithConnection() const noexcept override
  {
    return mSend.mEndsWithConnection;
  }
  Result<std::optional<std::string>> Read(Instant aDeadline) override
  {
    const auto timeout = aDeadline - MonotonicNow();
    (void)mLoop.Sleep(std::clamp(
      mSend.mPieceTime, Duration(0), std::max(timeout, Duration(0))));
    if (mCancel.IsCancelled()) {
      return Fail(ErrorCode::Cancelled, "cancelled");
    }
    if (timeout <= Duration(0) || mSend.mPieceTime > timeout) {
      return Fail(ErrorCode::Timeout, "no bytes before the timeout");
    }
    if (mNext < mSend.mPieces.size()) {
      return std::optional(mSend.mPieces[mNext++]);
    }
    if (mSend.mIsEndless) {
      mBytes += mSend.mPieces.back().size();
      // A reader without a limit takes the answer for a complete one here,
      // which the tests detect.
      return mBytes < kMostEndlessBytes ? std::optional(mSend.mPieces.back())
                                        : std::optional<std::string>();
    }
    if (mSend.mIsCut) {
      return Fail(ErrorCode::Unavailable, "answer broke off");
    }
    return std::optional<std::string>();
  }

private:
  Loop& mLoop;
  FakeSend mSend;
  HttpCancel& mCancel;
  AnswerHead mHead;
  std::size_t mNext = 0;
  std::size_t mBytes = 0;
};

} // namespace

Result<std::unique_ptr<BackendAnswer>, SendFailure>
FakeBackend::Send(const BackendCall& aCall,
                  const CallerRequest& /*aRequest*/,
                  Duration aHeadTime,
                  HttpCancel& aCancel)
{
  mCalls.push_back(aCall);
  if (mOnSend) {
    mOnSend();
  }
  FakeSend send;
  send.mPieces = { "extra" };
  if (!mScript.empty()) {
    send = mScript.front();
    mScript.pop_front();
  }
  (void)mLoop.Sleep(std::min(send.mHeadTime, aHeadTime));
  if (aCancel.IsCancelled()) {
    return SendFailure{ SendFault::Cancelled, false, "cancelled" };
  }
  if (send.mHeadTime > aHeadTime) {
    return SendFailure{ SendFault::TimedOut,
                        false,
                        "no head before the timeout" };
  }
  if (send.mFailure) {
    return *send.mFailure;
  }
  return std::make_unique<FakeAnswer>(mLoop, std::move(send), aCancel);
}

ConnectOutcome
FakeBackend::Probe(const Endpoint& /*aEndpoint*/, Duration aTimeout)
{
  ++mProbes;
  auto outcome = mConnects;
  if (!mFirstConnects.empty()) {
    outcome = mFirstConnects.front();
    mFirstConnects.pop_front();
  }
  if (outcome == ConnectOutcome::Silent) {
    (void)mLoop.Sleep(aTimeout);
  }
  return outcome;
}

FlowFixture::FlowFixture()
{
  Route route;
  route.mName = "r";
  route.mHost = "h";
  route.mPrefix = "/";
  route.mTargets = { { ServiceId("s"), 1 } };
  route.mTimeout = 2s;
  route.mObjective = 100ms;
  mConfig.mVersion = 1;
  mConfig.mRoutes = { route };
  ClientAccount account;
  account.mName = AccountId("wick");
  account.mKeys = { "key" };
  mConfig.mAccounts = { account };
  for (int n = 0; n < 4; ++n) {
    ServerRecord server;
    server.mId = ServerId("s" + std::to_string(n));
    server.mService = ServiceId("s");
    server.mZone = ZoneId("z");
    server.mEndpoint = { "10.0.0.1", static_cast<std::uint16_t>(n + 1) };
    server.mModels = { { ModelId("m"), 1 } };
    mServers.push_back(server);
  }
  mRequest.mId = AttemptId("a1");
  mRequest.mHost = "h";
  mRequest.mKey = "key";
  mRequest.mPassedOn.mTarget = "/x";
}

void
FlowFixture::Run(std::optional<Duration> aLeavesAfter)
{
  mView = MakeView(mConfig);
  RequestFlow flow({ mLoop,
                     mBackend,
                     mPool,
                     mRetries,
                     mCache,
                     mTimes,
                     mCounts,
                     10s,
                     [&]() -> std::shared_ptr<const SiteView> {
                       auto current = std::make_shared<SiteView>(*mView);
                       current->mWeights = mWeights;
                       return mHasView ? current : nullptr;
                     },
                     mConfigWithin,
                     [&](Instant aNeeded, Duration aWait) {
                       return AwaitEvidence(aNeeded, aWait);
                     },
                     [&] { return mEvidence; },
                     mLimits,
                     mGate,
                     mParts,
                     mRequests,
                     mCrashes,
                     mAvoided,
                     &mPlacer });
  mRetries.SetDaemons(1, MonotonicNow());
  (void)mPool.Update(mServers, MonotonicNow());
  if (aLeavesAfter) {
    mLoop.Spawn([&] {
      (void)mLoop.Sleep(*aLeavesAfter);
      mSink.mOnCallerGone();
    });
  }
  if (mRefusesNew) {
    flow.RefuseNew();
  }
  if (mEndsAllAfter) {
    mLoop.Spawn([&] {
      (void)mLoop.Sleep(*mEndsAllAfter);
      flow.EndAll();
    });
  }
  mLoop.Spawn([&] {
    const auto begin = MonotonicNow();
    flow.Handle(mRequest, mSink);
    mElapsed = MonotonicNow() - begin;
    mLoop.Stop();
  });
  mLoop.Run();
}

std::shared_ptr<const SiteView>
FlowFixture::MakeView(const SiteConfig& aConfig) const
{
  auto view = std::make_shared<SiteView>();
  view->mConfig = std::make_shared<const SiteConfig>(aConfig);
  view->mRoutes = std::make_shared<const RouteTable>(aConfig.mRoutes);
  view->mAccounts = std::make_shared<const AccountKeys>(aConfig.mAccounts);
  view->mServers = mServers;
  view->mIsConfigUnreadable = mIsConfigUnreadable;
  return view;
}

bool
FlowFixture::AwaitEvidence(Instant aNeeded, Duration aWait)
{
  mNeededEvidence.push_back(aNeeded);
  if (mEvidenceTime > aWait) {
    (void)mLoop.Sleep(aWait);
    return false;
  }
  (void)mLoop.Sleep(mEvidenceTime);
  // The first wait is that before any request, for which the view is new
  // enough.
  if (mConfigWithEvidence && mNeededEvidence.size() > 1) {
    mView = MakeView(*mConfigWithEvidence);
  }
  return mIsFresh;
}

std::string
EventText(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: x\n\n";
}

} // namespace bilberrytrail
