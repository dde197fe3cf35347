#include "hedged_run.h"

#include "dispatch.h"

namespace bilberrytrail {

namespace {

// Longest time between two looks at a run that is not hedged any more.
constexpr Duration kLongWait = 3600s;

constexpr std::size_t
IndexOf(RaceAttempt aLane)
{
  return static_cast<std::size_t>(aLane);
}

bool
IsPiece(FrameKind aKind)
{
  return aKind == FrameKind::Chunk || aKind == FrameKind::End ||
         aKind == FrameKind::Answer;
}

// What the fibers of both attempts share. The loser's fiber may outlive the
// request: it then finds itself detached from it.
class HedgedState : public std::enable_shared_from_this<HedgedState>
{
public:
  HedgedState(RequestContext& aContext, HomeService& aHomes, HedgeOwner& aOwner)
    : mThread(aContext.mThread)
    , mHomes(aHomes)
    , mChanged(aContext.mThread.GetLoop())
    , mOwner(&aOwner)
  {
  }

  [[nodiscard]] HedgeRace& Race() noexcept { return mRace; }
  [[nodiscard]] Event& Changed() noexcept { return mChanged; }
  // Returns whether an attempt is at its home.
  [[nodiscard]] bool IsRunning() const noexcept { return mRunning > 0; }
  // Writes what became of the attempts.
  void Describe(HedgedEnd& aEnd) const
  {
    aEnd.mLane = mRace.FinalAttempt().value_or(RaceAttempt::First);
    aEnd.mHasHedge = mRace.HasHedge();
    aEnd.mNotSent = mNotSent;
    aEnd.mEnded = mEnded;
  }

  void Start(RaceAttempt aLane,
             ControlViewPtr aView,
             HomeRequest aRequest,
             FrameSink& aSink);
  // The request has ended: nothing more reaches it.
  void Detach()
  {
    mOwner = nullptr;
    mSinks = {};
  }

  [[nodiscard]] FrameSink* SinkOf(RaceAttempt aLane) const
  {
    return mRace.IsLoser(aLane) ? nullptr : mSinks.at(IndexOf(aLane));
  }
  [[nodiscard]] Result<void> Take(RaceAttempt aLane,
                                  const AttemptId& aAttempt,
                                  const HomeFrame& aFrame);

private:
  ThreadContext& mThread;
  HomeService& mHomes;
  Event mChanged;
  HedgeOwner* mOwner;
  HedgeRace mRace;
  std::array<FrameSink*, 2> mSinks{};
  std::array<bool, 2> mNotSent{};
  std::array<bool, 2> mEnded{};
  int mRunning = 0;
};

// Takes the frames of one attempt.
class LaneSink final : public FrameSink
{
public:
  LaneSink(HedgedState& aState, RaceAttempt aLane, AttemptId aAttempt)
    : mState(aState)
    , mLane(aLane)
    , mAttempt(std::move(aAttempt))
  {
  }

  [[nodiscard]] bool IsOpen() noexcept override
  {
    auto* sink = mState.SinkOf(mLane);
    return sink != nullptr && sink->IsOpen();
  }
  [[nodiscard]] bool IsAbandoned() noexcept override
  {
    return mState.SinkOf(mLane) == nullptr;
  }
  Result<void> Write(const HomeFrame& aFrame) override
  {
    return mState.Take(mLane, mAttempt, aFrame);
  }

private:
  HedgedState& mState;
  RaceAttempt mLane;
  AttemptId mAttempt;
};

void
HedgedState::Start(RaceAttempt aLane,
                   ControlViewPtr aView,
                   HomeRequest aRequest,
                   FrameSink& aSink)
{
  mSinks.at(IndexOf(aLane)) = &aSink;
  mThread.GetLoop().Spawn([self = shared_from_this(),
                           aLane,
                           view = std::move(aView),
                           request = std::move(aRequest)] {
    ++self->mRunning;
    LaneSink sink(*self, aLane, AttemptOf(request));
    const auto result =
      RunAtHome(self->mThread, *view, self->mHomes, request, sink);
    self->mNotSent.at(IndexOf(aLane)) =
      !result && result.error().mSent == SendState::NotSent;
    --self->mRunning;
    self->mEnded.at(IndexOf(aLane)) = !self->mRace.IsLoser(aLane);
    self->mRace.End(aLane);
    self->mChanged.Notify();
  });
}

Result<void>
HedgedState::Take(RaceAttempt aLane,
                  const AttemptId& aAttempt,
                  const HomeFrame& aFrame)
{
  if (aFrame.mAttempt != aAttempt) {
    return Ok();
  }
  const bool wasDecided = mRace.Winner().has_value();
  if (IsPiece(aFrame.mKind) && mOwner != nullptr && mRace.AcceptChunk(aLane) &&
      !wasDecided) {
    if (aLane == RaceAttempt::Hedge) {
      mOwner->OnHedgeWins();
    }
    mChanged.Notify();
  }
  auto* sink = SinkOf(aLane);
  if (sink == nullptr) {
    return Fail(ErrorCode::Unavailable, "another attempt has answered");
  }
  return sink->Write(aFrame);
}

// Waits until the hedge is due; false when it is not to be sent.
bool
AwaitHedge(HedgedState& aState, Loop& aLoop, Instant aAt)
{
  while (!aState.Race().Winner() && !aState.Race().FinalAttempt()) {
    const auto left = aAt - MonotonicNow();
    if (left <= Duration::zero()) {
      return !aLoop.IsStopping();
    }
    (void)aState.Changed().Wait(left);
    if (aLoop.IsStopping()) {
      return false;
    }
  }
  return false;
}

// Sends the hedge when the policy grants it.
void
SendHedge(HedgedState& aState,
          RequestContext& aContext,
          HedgePolicy& aPolicy,
          HedgeQuery aQuery,
          HedgeOwner& aOwner)
{
  aQuery.mRequest.mCandidates = aOwner.Candidates();
  if (!aContext.mResponder.IsPeerOpen() ||
      aPolicy.Hedge(aQuery, MonotonicNow()).empty()) {
    return;
  }
  auto request = aOwner.MakeHedge();
  if (request) {
    const AttemptId attempt = AttemptOf(*request);
    if (!aContext.mResponder.IsPeerOpen() || !aState.Race().AddHedge() ||
        !aContext.mLedger.Open(attempt) ||
        !aContext.mLedger.MarkSent(attempt)) {
      return;
    }
    ++aContext.mHedges;
    aState.Start(RaceAttempt::Hedge,
                 aContext.mRouting,
                 std::move(*request),
                 aOwner.HedgeSink());
  }
}

// Waits until the race is decided. When the loop stops, the runs that have
// started end by themselves.
void
AwaitEnd(HedgedState& aState, Loop& aLoop)
{
  while (!aState.Race().FinalAttempt()) {
    if (!aLoop.IsStopping()) {
      (void)aState.Changed().Wait(kLongWait);
    } else if (aState.IsRunning()) {
      Loop::Yield();
    } else {
      return;
    }
  }
}

} // namespace

HedgedEnd
RunHedged(RequestContext& aContext,
          HomeService& aHomes,
          HedgePolicy& aPolicy,
          const HedgeQuery& aQuery,
          HomeRequest aRequest,
          FrameSink& aSink,
          HedgeOwner& aOwner)
{
  auto& loop = aContext.mThread.GetLoop();
  HedgedEnd end;
  const auto at = aPolicy.HedgeAt(aQuery);
  if (!at) {
    const auto result =
      RunAtHome(aContext.mThread, *aContext.mRouting, aHomes, aRequest, aSink);
    end.mNotSent[0] = !result && result.error().mSent == SendState::NotSent;
    return end;
  }
  const auto state = std::make_shared<HedgedState>(aContext, aHomes, aOwner);
  state->Start(
    RaceAttempt::First, aContext.mRouting, std::move(aRequest), aSink);
  if (AwaitHedge(*state, loop, *at)) {
    SendHedge(*state, aContext, aPolicy, aQuery, aOwner);
  }
  AwaitEnd(*state, loop);
  state->Detach();
  state->Describe(end);
  return end;
}

} // namespace bilberrytrail
