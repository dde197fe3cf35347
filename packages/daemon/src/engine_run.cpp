#include "engine_run.h"

#include "queue_decision.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail {

namespace {

// An engine that sends nothing for so long within an answer counts as failed.
constexpr Duration kStallTime = 5s;
constexpr Duration kCancelTimeout = 1s;
// Tokens after which the decoding speed is learnt.
constexpr std::uint32_t kSpeedSample = 16;

EnginePriority
PriorityOf(WorkClass aClass)
{
  return IsShortWork(aClass) ? EnginePriority::High : EnginePriority::Normal;
}

} // namespace

EngineRun::EngineRun(ThreadContext& aThread,
                     KeptCache& aCache,
                     HomedServerPtr aServer,
                     const HomeRequest& aRequest,
                     FrameSink& aSink)
  : mThread(aThread)
  , mServer(std::move(aServer))
  , mRequest(aRequest)
  , mSink(aSink)
  , mDeadline(MonotonicNow() + aRequest.mTimeLeft)
  , mPrefix(aThread, aCache, mServer, aRequest)
  , mAnswer(AttemptId(RandomToken()))
{
}

void
EngineRun::Execute()
{
  mPlace = mServer->Queue().Join(mThread.GetLoop(), MakeEntry());
  mPrefix.Start();
  if (!AwaitGrant()) {
    return;
  }
  while (RunAttempt() == StepEnd::Paused) {
    mPlace->ConfirmPaused();
    if (!AwaitResume()) {
      return;
    }
  }
}

QueueEntry
EngineRun::MakeEntry() const
{
  QueueEntry entry;
  entry.mAccount = mRequest.mAccount;
  entry.mClass = mRequest.mClass;
  entry.mCostTokens = mRequest.mCostTokens;
  const double answer = mRequest.mGenerate.mMaxTokens;
  entry.mService = mServer->EstimateService(
    std::max(0.0, mRequest.mCostTokens - answer), answer);
  entry.mDeadline = mDeadline;
  return entry;
}

bool
EngineRun::AwaitGrant()
{
  const auto decision =
    AwaitDecision<GrantAction>(*mPlace, mSink, mThread.GetLoop());
  return decision && !EndIfRefused(*decision);
}

bool
EngineRun::AwaitResume()
{
  const auto decision =
    AwaitDecision<ResumeAction>(*mPlace, mSink, mThread.GetLoop());
  return decision && !EndIfRefused(*decision) &&
         mAnswer.BeginAttempt(AttemptId(RandomToken())).has_value();
}

GenerateRequest
EngineRun::NextAttempt() const
{
  GenerateRequest generate = mRequest.mGenerate;
  generate.mAttempt = mAnswer.Attempt();
  generate.mPriority = PriorityOf(mRequest.mClass);
  generate.mBlocks.resize(mPrefix.UsableBlocks());
  generate.mResumeText += mAnswer.Text();
  generate.mStartPosition += mAnswer.NextPosition();
  return generate;
}

EngineRun::StepEnd
EngineRun::RunAttempt()
{
  auto& engine = mThread.EngineAt(mServer->Vm().mEndpoint);
  mPrefix.Await(mDeadline);
  const auto now = MonotonicNow();
  if (now >= mDeadline) {
    EndNotRun(RefusalReason::DeadlinePassed, "the deadline has passed");
    return StepEnd::Finished;
  }
  mSink.NoteSent();
  const auto guard = WatchReceiver();
  auto stream = engine.Generate(NextAttempt(), mDeadline - now);
  if (!stream && !mSink.IsOpen()) {
    return StepEnd::Finished;
  }
  if (!stream) {
    const CallError& error = stream.error();
    mServer->NoteRefusal(MonotonicNow());
    if (error.mDisposition == CallDisposition::NotRun) {
      EndNotRun(RefusalReason::ServerFailed, error.mError.mMessage);
    } else {
      EndBroken(RefusalReason::ServerFailed, error.mError.mMessage);
    }
    return StepEnd::Finished;
  }
  mServer->NoteReachable();
  return Relay(*stream.value(), now);
}

EngineRun::StepEnd
EngineRun::Relay(GenerateStream& aStream, Instant aSentAt)
{
  auto& engine = mThread.EngineAt(mServer->Vm().mEndpoint);
  const GenerateHead head = aStream.Head();
  if (head.mVersion != mRequest.mGenerate.mVersion) {
    (void)engine.Cancel(mAnswer.Attempt(), kCancelTimeout);
    EndBroken(RefusalReason::ServerFailed,
              "the server answered with another weight version");
    return StepEnd::Finished;
  }
  mPrefix.OnHead(head);
  if (!mAccepted) {
    mAccepted = true;
    (void)mSink.Write({ .mKind = FrameKind::Head,
                        .mAttempt = mRequest.mGenerate.mAttempt,
                        .mHead = head });
  }
  while (true) {
    const auto left = mDeadline - MonotonicNow();
    auto chunk =
      aStream.Next(mTokens == 0 ? std::max<Duration>(left, 1ms) : kStallTime);
    if (!chunk) {
      mAnswer.StreamClosed();
      if (!mSink.IsOpen()) {
        // Cancelled, as nobody wants the answer any more.
        return StepEnd::Finished;
      }
      mServer->NoteRefusal(MonotonicNow());
      EndBroken(RefusalReason::ServerFailed, chunk.error().mMessage);
      return StepEnd::Finished;
    }
    if (!RelayChunk(chunk.value())) {
      (void)engine.Cancel(mAnswer.Attempt(), kCancelTimeout);
      return StepEnd::Finished;
    }
    if (mAnswer.State() == AnswerState::Complete) {
      return StepEnd::Finished;
    }
    if (mTokens == 1) {
      Learn(head, aSentAt);
    }
    if (IsPauseWanted()) {
      (void)engine.Cancel(mAnswer.Attempt(), kCancelTimeout);
      mAnswer.StreamClosed();
      return StepEnd::Paused;
    }
  }
}

RunWatch::Guard
EngineRun::WatchReceiver()
{
  return { mThread.Runs(),
           mSink,
           [&thread = mThread,
            endpoint = mServer->Vm().mEndpoint,
            attempt = mAnswer.Attempt()] {
             (void)thread.EngineAt(endpoint).Cancel(attempt, kCancelTimeout);
           } };
}

bool
EngineRun::RelayChunk(const GenerateChunk& aChunk)
{
  const std::uint32_t start = mRequest.mGenerate.mStartPosition;
  if (aChunk.mPosition < start) {
    return true;
  }
  GenerateChunk local = aChunk;
  local.mPosition -= start;
  HomeFrame frame;
  frame.mAttempt = mRequest.mGenerate.mAttempt;
  frame.mPosition = aChunk.mPosition;
  switch (mAnswer.Accept(local)) {
    case ChunkVerdict::Appended:
      ++mTokens;
      frame.mKind = FrameKind::Chunk;
      frame.mText = aChunk.mText;
      break;
    case ChunkVerdict::End:
      frame.mKind = FrameKind::End;
      break;
    case ChunkVerdict::Duplicate:
    case ChunkVerdict::Foreign:
      return true;
    case ChunkVerdict::Gap:
    case ChunkVerdict::Contradiction:
      EndBroken(RefusalReason::ServerFailed, "the answer has a gap");
      return false;
  }
  if (mTokens % kSpeedSample == 0 && mTokens > 0) {
    const auto now = MonotonicNow();
    mServer->LearnDecode((now - mFirstTokenAt) / mTokens);
  }
  return mSink.Write(frame).has_value() && mSink.IsOpen();
}

void
EngineRun::Learn(const GenerateHead& aHead, Instant aSentAt)
{
  mFirstTokenAt = MonotonicNow();
  mPrefix.OnFirstToken();
  mServer->LearnPrefill(static_cast<double>(aHead.mPromptTokens) -
                          aHead.mCachedTokens,
                        mFirstTokenAt - aSentAt);
}

bool
EngineRun::IsPauseWanted()
{
  const auto action = mPlace->Next(Duration::zero());
  return action.has_value() && std::holds_alternative<PauseAction>(*action);
}

void
EngineRun::EndNotRun(RefusalReason aReason,
                     std::string aText,
                     Duration aRetryAfter)
{
  if (mAccepted) {
    EndBroken(aReason, std::move(aText));
    return;
  }
  (void)mSink.Write(MakeNotRunFrame(
    mRequest.mGenerate.mAttempt, aReason, std::move(aText), aRetryAfter));
}

void
EngineRun::EndBroken(RefusalReason aReason, std::string aText)
{
  (void)mSink.Write(
    MakeBrokenFrame(mRequest.mGenerate.mAttempt, aReason, std::move(aText)));
}

} // namespace bilberrytrail
