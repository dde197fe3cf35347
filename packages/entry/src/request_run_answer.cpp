#include "request_run.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/runtime/memory_budget.h>

#include <algorithm>
#include <array>
#include <cctype>

// Sends of a request, retries, and the answers that are relayed.

namespace bilberrytrail {

namespace {

// Most sends per request that servers refuse before running them; without the
// limit a request would be resent endlessly while all servers are loading
// weights.
constexpr std::size_t kMaxRefusedSends = 6;
// Most failed connections per request.
constexpr std::size_t kMaxFailedConnections = 6;
// A retryable request is sent to another server when its answer has not begun
// after this multiple of the objective, in bounds.
constexpr double kHeadTimeoutObjectives = 3.0;
constexpr Duration kMinHeadTimeout = 250ms;
constexpr Duration kMaxHeadTimeout = 2500ms;
// Largest answer that is not a stream, and largest event, in bytes: faulty
// servers may send bytes without end.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
// Memory for the rest of an event, which grows by doubling.
constexpr std::size_t kRestCopies = 2;
constexpr unsigned kNoContent = 204;
constexpr const char* kEndedWithServer =
  "answer without length or chunks ends with its server";

SendOutcome
OutcomeOf(const SendFailure& aFailure)
{
  switch (aFailure.mFault) {
    case SendFault::NoConnection:
      return SendOutcome::NoConnection;
    case SendFault::Full:
      return SendOutcome::Full;
    case SendFault::WrongServer:
      return SendOutcome::WrongServer;
    case SendFault::WrongVersion:
      return SendOutcome::WrongVersion;
    case SendFault::Broken:
    case SendFault::Garbled:
    case SendFault::TimedOut:
      return SendOutcome::Broken;
    case SendFault::Cancelled:
      return SendOutcome::Abandoned;
  }
  return SendOutcome::Abandoned;
}

// Returns whether callers take the status for a promise that the request has
// not run and never will. A server that makes it says so in a header as well.
bool
PromisesNotRun(unsigned aStatus)
{
  constexpr std::array kStatuses{ 408U, 421U, 429U, 503U };
  return std::ranges::find(kStatuses, aStatus) != kStatuses.end();
}

// Streaming routes answer with events; only a content type tells otherwise.
bool
IsEventStream(const AnswerHead& aHead)
{
  constexpr std::string_view kEventStream = "text/event-stream";
  const auto type = FindHeader(aHead.mHeaders, "Content-Type");
  return type.empty() ||
         std::ranges::equal(type.substr(0, kEventStream.size()),
                            kEventStream,
                            [](unsigned char aLeft, unsigned char aRight) {
                              return std::tolower(aLeft) == aRight;
                            });
}

} // namespace

void
RequestRun::ObserveLimit(std::optional<double> aLimit)
{
  mContext.mLimits.Observe(mChoice.mServer, aLimit, mSentAt, MonotonicNow());
}

void
RequestRun::ObserveAvoidance(bool aIsLeaving, std::optional<Duration> aPause)
{
  if (!aIsLeaving && !aPause) {
    return;
  }
  const auto& id = mChoice.mServer;
  const auto& servers = mContext.mView()->mServers;
  const auto it = std::ranges::find(servers, id, &ServerRecord::mId);
  const auto startedAtMs =
    it == servers.end() ? std::nullopt : std::optional(it->mStartedAtMs);
  if (aIsLeaving) {
    mContext.mAvoided.AddLeaving(
      id, startedAtMs, MonotonicNow(), UnixMillisNow());
  }
  if (aPause) {
    mContext.mAvoided.AddPause(
      id, startedAtMs, *aPause, MonotonicNow(), UnixMillisNow());
  }
}

bool
RequestRun::IsIdempotent() const noexcept
{
  return mRoute->mKind == RequestKind::Idempotent || mRoute->mResumable;
}

bool
RequestRun::MayRetry() const noexcept
{
  // A stream whose events have no ids can't be resumed after them.
  const bool isLost = mStreamHasBegun && mEvents.LastId().empty();
  return IsIdempotent() && !isLost && mRuns < mRoute->mMaxAttempts;
}

bool
RequestRun::TryRetry()
{
  return TimeLeft() >= kMinTimeLeft &&
         mContext.mRetries.TryRetry(mService, MonotonicNow());
}

Duration
RequestRun::BeginTimeLeft() const noexcept
{
  return std::max(std::min(TimeLeft(), mBeginBy - MonotonicNow()),
                  kMinTimeLeft);
}

// Returns the timeout for the head of the answer. A request that can be retried
// elsewhere does not wait for a silent server until its deadline.
Duration
RequestRun::HeadTimeout() const noexcept
{
  const auto left = BeginTimeLeft();
  const bool isLast = mRuns + 1 >= mRoute->mMaxAttempts;
  if (!MayRetry() || isLast) {
    return left;
  }
  return std::min(left,
                  ShareOf(mRoute->mObjective,
                          kHeadTimeoutObjectives,
                          kMinHeadTimeout,
                          kMaxHeadTimeout));
}

RequestRun::Next
RequestRun::SendOnce()
{
  const AttemptId attempt(std::to_string(++mSends));
  if (!mLedger.Open(attempt) || !mLedger.MarkSent(attempt)) {
    Refuse(RefusalReason::ServerFailed, "The request was ended before.");
    return Next::Done;
  }
  auto call = MakeCall();
  mSentAt = MonotonicNow();
  mAnswerBegunAt.reset();
  mHasAnswerGoneOn = false;
  mTicket = mContext.mPool.Begin(mChoice.mServer, mQuery, mSentAt);
  mWatched.emplace(
    mContext.mCrashes,
    ServerStart{ mChoice.mServer, mChoice.mStartedAtMs, mChoice.mEndpoint },
    [this] { return Trace(); });
  const auto headTimeout = HeadTimeout();
  auto answer = mContext.mBackend.Send(call, mRequest, headTimeout, mCancel);
  if (!answer) {
    const auto& failure = answer.error();
    if (failure.mRequestLimit) {
      ObserveLimit(failure.mRequestLimit);
    }
    ObserveAvoidance(failure.mIsLeaving, failure.mPause);
    if (failure.mNotRun) {
      (void)mLedger.MarkRejected(attempt);
    } else {
      ++mRuns;
    }
    return OnFailure(failure);
  }
  ++mRuns;
  (void)mLedger.MarkAccepted(attempt);
  const auto limit = answer.value()->RequestLimit();
  // An error may come from a part of the server that knows no limits.
  if (limit || answer.value()->Head().mStatus < kFirstServerErrorStatus) {
    ObserveLimit(limit);
  }
  ObserveAvoidance(answer.value()->IsLeaving(), answer.value()->Pause());
  NoteProgress();
  if (mGrant) {
    mContext.mPlacer->OnBegun(*mGrant);
  }
  const auto next = OnAnswer(*answer.value());
  if (next == Next::Done) {
    (void)mLedger.MarkFinished(attempt);
  }
  return next;
}

void
RequestRun::NoteProgress()
{
  mContext.mPool.OnProgress(mTicket, MonotonicNow());
  mWatched->OnHeard();
}

void
RequestRun::EndSend(SendOutcome aOutcome)
{
  EndGrant(aOutcome);
  const auto change = mContext.mPool.End(mTicket, aOutcome, MonotonicNow());
  if (change) {
    LogLine(change->mEjected ? LogEvent::ServerEjected
                             : LogEvent::ServerReturned,
            { { "server", change->mServer },
              { "cause", change->mCause },
              { "for", change->mEjectionTime } });
  }
}

RequestRun::Next
RequestRun::OnFailure(const SendFailure& aFailure)
{
  EndSend(OutcomeOf(aFailure));
  if (aFailure.mFault == SendFault::TimedOut && mRequest.mPrompt &&
      MonotonicNow() >= mBeginBy && TimeLeft() > kMinTimeLeft) {
    LogLine(LogEvent::OldWeightsCutOff,
            { { "request", mRequest.mId },
              { "server", mChoice.mServer },
              { "weights", mChoice.mWeightVersion },
              { "newest", NewestWeights() },
              { "waited", MonotonicNow() - mSentAt },
              { "by_home", mIsByHome } });
  }
  NoteFailure(aFailure.mFault);
  if (aFailure.mFault == SendFault::Cancelled || mCancel.IsCancelled()) {
    EndCancelled();
    return Next::Done;
  }
  LogLine(LogEvent::SendFailed,
          { { "request", mRequest.mId },
            { "server", mChoice.mServer },
            { "fault", aFailure.mFault },
            { "not_run", aFailure.mNotRun },
            { "weights", mChoice.mWeightVersion },
            { "choice", mChoice.mReason },
            { "age", MonotonicNow() - mArrivedAt },
            { "detail", aFailure.mDetail } });
  if (aFailure.mFault == SendFault::WrongVersion && mRequest.mPrompt) {
    mContext.mPool.DenyVersion(mChoice.mServer,
                               mRequest.mPrompt->mModel,
                               mChoice.mWeightVersion,
                               NewestWeights());
  }
  // A server that denies older weights has probably loaded the newest ones.
  const bool mayHaveNewest = aFailure.mFault == SendFault::WrongVersion &&
                             mChoice.mWeightVersion < NewestWeights();
  if (!mayHaveNewest) {
    mTried.push_back(mChoice.mServer);
  }
  if (aFailure.mFault == SendFault::Full &&
      mChoice.mWeightVersion < NewestWeights()) {
    mContext.mPool.ExpectLoading(mChoice.mServer, MonotonicNow());
  }
  if (aFailure.mFault == SendFault::NoConnection) {
    mContext.mBackend.Forget(mChoice.mEndpoint);
    if (++mFailedConnections < kMaxFailedConnections) {
      return Next::Send;
    }
  } else if (aFailure.mNotRun) {
    if (++mRefusedSends < kMaxRefusedSends && TryRetry()) {
      return Next::Send;
    }
  } else if (MayRetry() && TryRetry()) {
    LogLine(LogEvent::RequestRetried,
            { { "request", mRequest.mId }, { "runs", mRuns } });
    mContext.mCounts.Add(Labels(), Counter::Retries);
    if (aFailure.mFault == SendFault::Broken) {
      AwaitVerdict();
    }
    return Next::Send;
  }
  if (aFailure.mNotRun) {
    Refuse(RefusalReason::QueueFull,
           "No server of the service could take the request.",
           PauseDelay().value_or(RetryDelay()));
  } else {
    Refuse(aFailure.mFault == SendFault::TimedOut
             ? RefusalReason::DeadlinePassed
             : RefusalReason::ServerFailed,
           "The server's answer was lost.");
  }
  return Next::Done;
}

RequestRun::Next
RequestRun::OnAnswer(BackendAnswer& aAnswer)
{
  if (mRequest.mPrompt && aAnswer.WeightVersion()) {
    mContext.mPool.ObserveVersion(
      mChoice.mServer, mRequest.mPrompt->mModel, *aAnswer.WeightVersion());
  }
  const auto status = aAnswer.Head().mStatus;
  const bool isSuccess = status < kFirstNonSuccessStatus;
  if (mStreamHasBegun &&
      (!isSuccess || status == kNoContent || !IsEventStream(aAnswer.Head()))) {
    return OnFailure(
      { SendFault::Garbled,
        false,
        "server answered the resumption of a stream with status " +
          std::to_string(status) });
  }
  return mRoute->mKind == RequestKind::Streaming && isSuccess
           ? RelayStream(aAnswer)
           : RelayWhole(aAnswer);
}

RequestRun::Next
RequestRun::RelayWhole(BackendAnswer& aAnswer)
{
  NoteOldWeights();
  BodyBuffer body(mContext.mLoop.MessageMemory(), kMaxAnswerBytes);
  while (true) {
    auto piece = aAnswer.Read(mDeadline);
    if (!piece) {
      return OnFailure({ piece.error().mCode == ErrorCode::Timeout
                           ? SendFault::TimedOut
                           : SendFault::Broken,
                         false,
                         piece.error().mMessage });
    }
    mWatched->OnHeard();
    if (!piece.value()) {
      break;
    }
    if (auto ok = body.Append(*piece.value()); !ok) {
      return OnFailure({ SendFault::Garbled, false, ok.error().mMessage });
    }
  }
  if (HasEndedWithServer(aAnswer)) {
    return OnFailure({ SendFault::Broken, false, kEndedWithServer });
  }
  const auto status = aAnswer.Head().mStatus;
  const bool isError = status >= kFirstServerErrorStatus;
  EndSend(isError ? SendOutcome::ServerError : SendOutcome::Answered);
  if (status < kFirstNonSuccessStatus) {
    NoteAnswerGoesOn(true);
  }
  if (isError && MayRetry() && TryRetry()) {
    mTried.push_back(mChoice.mServer);
    LogLine(
      LogEvent::RequestRetried,
      { { "request", mRequest.mId }, { "runs", mRuns }, { "status", status } });
    return Next::Send;
  }
  if (!IsIdempotent() && PromisesNotRun(status)) {
    Refuse(RefusalReason::ServerFailed,
           "The server turned the request away, but may have run it.");
    return Next::Done;
  }
  mFirstAt = MonotonicNow();
  if (mSink.SendWhole(aAnswer.Head(), body.Take())) {
    NoteDone(status);
  } else {
    NoteCallerLeft();
  }
  return Next::Done;
}

RequestRun::Next
RequestRun::RelayStream(BackendAnswer& aAnswer)
{
  if (!mStreamHasBegun && !mSink.Begin(aAnswer.Head())) {
    EndSend(SendOutcome::Abandoned);
    NoteCallerLeft();
    return Next::Done;
  }
  bool hasBegun = false;
  MemoryHold memory(mContext.mLoop.MessageMemory());
  while (true) {
    auto piece =
      aAnswer.Read(hasBegun ? mDeadline : std::min(mBeginBy, mDeadline));
    if (!piece) {
      return OnStreamBroken(piece.error());
    }
    if (!std::exchange(hasBegun, true)) {
      NoteOldWeights();
    }
    NoteProgress();
    if (!piece.value()) {
      if (const auto* fault = EndFault(aAnswer)) {
        return OnStreamBroken(Fail(ErrorCode::Corrupt, fault));
      }
      EndSend(SendOutcome::Answered);
      NoteAnswerGoesOn(true);
      return EndStream(mEvents.Rest());
    }
    const auto whole = mEvents.Add(*piece.value());
    if (mEvents.Rest().size() > kMaxEventBytes) {
      return OnStreamBroken(
        Fail(ErrorCode::Corrupt,
             "event exceeds " + std::to_string(kMaxEventBytes) + " bytes"));
    }
    if (!memory.Resize(kRestCopies * mEvents.Rest().size())) {
      return OnStreamBroken(
        Fail(ErrorCode::Exhausted, "too many bytes of events in progress"));
    }
    if (mEvents.IsOutOfOrder()) {
      return OnStreamBroken(Fail(
        ErrorCode::Corrupt, "resumed stream does not follow the last event"));
    }
    if (whole.empty()) {
      continue;
    }
    mStreamHasBegun = true;
    NoteAnswerGoesOn(false);
    if (!mFirstAt) {
      mFirstAt = MonotonicNow();
    }
    if (!mSink.Write(whole)) {
      EndSend(SendOutcome::Abandoned);
      NoteCallerLeft();
      return Next::Done;
    }
  }
}

// The connections of a process that ends look closed by it.
bool
RequestRun::HasEndedWithServer(const BackendAnswer& aAnswer)
{
  return aAnswer.EndsWithConnection() &&
         mContext.mCrashes.HasEnded(mChoice.mEndpoint);
}

const char*
RequestRun::EndFault(const BackendAnswer& aAnswer)
{
  if (IsEventStream(aAnswer.Head())) {
    if (mEvents.IsInsideEvent()) {
      return "stream ends within an event";
    }
    // Without a length or chunks, this end looks the same when the server
    // closes the connection before it has sent anything.
    if (aAnswer.EndsWithConnection() && !mEvents.HasEvent()) {
      return "connection ends before the first event";
    }
  }
  return HasEndedWithServer(aAnswer) ? kEndedWithServer : nullptr;
}

RequestRun::Next
RequestRun::EndStream(const std::string& aRest)
{
  mFirstAt = mFirstAt.value_or(MonotonicNow());
  const bool isSent =
    (aRest.empty() || mSink.Write(aRest)) && mSink.End().has_value();
  if (isSent) {
    NoteDone(200);
  } else {
    NoteCallerLeft();
  }
  return Next::Done;
}

RequestRun::Next
RequestRun::OnStreamBroken(const Error& aError)
{
  mEvents.Resume();
  const bool isTimeout = aError.mCode == ErrorCode::Timeout;
  return OnFailure({ isTimeout ? SendFault::TimedOut : SendFault::Broken,
                     false,
                     aError.mMessage });
}

} // namespace bilberrytrail
