#include "quarantine_gate.h"

namespace bilberrytrail {

namespace {

constexpr Duration kTurnCheck = 20ms;
// Longest wait of a suspect for its turn on one server.
constexpr Duration kTurnPatience = 3s;
constexpr Duration kTurnRetry = 1s;
constexpr Duration kStateTimeout = 500ms;
constexpr Duration kStatePause = 10ms;
constexpr int kStateTries = 10;

} // namespace

QuarantineGate::QuarantineGate(ThreadContext& aThread,
                               QuarantineService& aQuarantine,
                               HomedServerPtr aServer,
                               const HomeRequest& aRequest,
                               FrameSink& aSink)
  : mThread(aThread)
  , mQuarantine(aQuarantine)
  , mServer(std::move(aServer))
  , mRequest(aRequest)
  , mSink(aSink)
{
  const auto fingerprint = ReadFingerprint(aRequest.mFingerprint);
  mHasFingerprint = fingerprint.has_value();
  mRun = { fingerprint.value_or(Fingerprint()),
           { aRequest.mProduct, aRequest.mAccount },
           aRequest.mServer,
           0 };
}

QuarantineGate::~QuarantineGate()
{
  EndRun(RunOutcome::Inconclusive);
}

bool
QuarantineGate::AwaitTurn()
{
  if (!mHasFingerprint) {
    return true;
  }
  const auto end = MonotonicNow() + std::min(kTurnPatience, mRequest.mTimeLeft);
  while (true) {
    switch (mQuarantine.Start(mThread, mRun.mFingerprint, mRun.mServer)) {
      case StartVerdict::Start:
        mIsStarted = true;
        return true;
      case StartVerdict::Refuse:
        Refuse(RefusalReason::Quarantined,
               std::string(kConvictedText),
               mQuarantine.Remaining(mRun.mFingerprint));
        return false;
      case StartVerdict::ServerBusy:
      case StartVerdict::RerunElsewhere:
        break;
    }
    if (MonotonicNow() >= end) {
      Refuse(RefusalReason::QueueFull,
             "a backend server died under this request, and others that were "
             "on it run first",
             kTurnRetry);
      return false;
    }
    if (!mSink.IsOpen() || !mThread.GetLoop().Sleep(kTurnCheck)) {
      return false;
    }
  }
}

void
QuarantineGate::Refuse(RefusalReason aReason,
                       std::string aText,
                       Duration aRetryAfter)
{
  (void)mSink.Write({ .mKind = FrameKind::NotRun,
                      .mAttempt = mRequest.mGenerate.mAttempt,
                      .mText = std::move(aText),
                      .mReason = aReason,
                      .mRetryAfter = aRetryAfter });
}

Result<void>
QuarantineGate::Write(const HomeFrame& aFrame)
{
  switch (aFrame.mKind) {
    case FrameKind::End:
      EndRun(RunOutcome::Clean);
      break;
    case FrameKind::Broken:
      CheckDeath();
      EndRun(RunOutcome::Inconclusive);
      break;
    case FrameKind::NotRun:
      EndRun(RunOutcome::Inconclusive);
      break;
    case FrameKind::Head:
    case FrameKind::Chunk:
    case FrameKind::Answer:
      break;
  }
  return mSink.Write(aFrame);
}

void
QuarantineGate::NoteSent()
{
  if (!mHasFingerprint || mIsSent) {
    return;
  }
  const auto state = mServer->State();
  mRun.mIncarnation = state ? state->mIncarnation : 0;
  mQuarantine.AddRunning(mRun);
  mIsSent = true;
}

void
QuarantineGate::CheckDeath()
{
  if (!mIsSent) {
    return;
  }
  auto& engine = mThread.EngineAt(mServer->Vm().mEndpoint);
  // The sockets of a process that dies close one after the other: a cut
  // connection says neither that the server is dead nor that it lives.
  for (int n = 0; n < kStateTries; ++n) {
    const auto state = engine.ReadState(kStateTimeout);
    if (state && state.value().mIncarnation == mRun.mIncarnation) {
      return;
    }
    if (state || state.error().mFate == CallFate::NotRun) {
      mQuarantine.OnDeath(mThread, mRun.mServer, mRun.mIncarnation);
      return;
    }
    if (state.error().mError.mCode != ErrorCode::Unavailable ||
        !mThread.GetLoop().Sleep(kStatePause)) {
      return;
    }
  }
}

void
QuarantineGate::EndRun(RunOutcome aEnd)
{
  if (mIsSent) {
    mIsSent = false;
    mQuarantine.RemoveRunning(mRun);
  }
  if (mIsStarted) {
    mIsStarted = false;
    mQuarantine.End(mThread, mRun.mFingerprint, mRun.mServer, aEnd);
  }
}

} // namespace bilberrytrail
