#include <bilberrytrail/entry/admission.h>
#include <bilberrytrail/entry/request_flow.h>

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/runtime/loop.h>

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

// Most sends per request that servers refuse before running them; without the
// limit a request would be resent endlessly while all servers are loading
// weights.
constexpr std::size_t kMaxRefusedSends = 6;
// Most failed connections per request.
constexpr std::size_t kMaxFailedConnections = 6;
// A request with less time left is not sent.
constexpr Duration kMinTimeLeft = 10ms;
// Connect timeout, as a share of the objective and in bounds: within a region a
// connection opens in a few milliseconds.
constexpr double kConnectTimeShare = 0.5;
constexpr Duration kMinConnectTime = 50ms;
constexpr Duration kMaxConnectTime = 400ms;
// A retryable request is sent to another server when its answer has not begun
// after this multiple of the objective, in bounds.
constexpr double kHeadTimeoutObjectives = 3.0;
constexpr Duration kMinHeadTimeout = 250ms;
constexpr Duration kMaxHeadTimeout = 2500ms;
// When kept KV cache cannot be read within this share of the objective, the
// server gives up the read and processes the prompt itself.
constexpr double kCacheReadShare = 0.6;
// Retry-After of refused callers: a share of the objective, in bounds.
constexpr double kRetryAfterShare = 0.5;
constexpr Duration kMinRetryAfter = 100ms;
constexpr Duration kMaxRetryAfter = 800ms;
// Retry-After while this daemon has no configuration, or one that may be
// outdated.
constexpr Duration kUnknownSiteRetryAfter = 300ms;
// Work of writing one token, in tokens read.
constexpr double kOutputTokenWork = 4;
// Largest answer that is not a stream, and largest event, in bytes: faulty
// servers may send bytes without end.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
constexpr unsigned kFirstNonSuccessStatus = 300;
constexpr unsigned kFirstServerErrorStatus = 500;

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

Duration
ShareOf(Duration aTime, double aShare, Duration aLeast, Duration aMost)
{
  return std::clamp(FromMillis(ToMillis(aTime) * aShare), aLeast, aMost);
}

// Handles one request from its arrival to its end.
class RequestRun
{
public:
  RequestRun(FlowContext& aContext,
             const CallerRequest& aRequest,
             CallerSink& aSink)
    : mContext(aContext)
    , mRequest(aRequest)
    , mSink(aSink)
    , mArrivedAt(MonotonicNow())
    , mDeadline(mArrivedAt)
  {
  }

  void Run();

private:
  // What to do after a send has ended.
  enum class Next : unsigned char
  {
    Send,
    Done
  };

  bool FindRoute();
  bool FindAccount();
  bool SetDeadline();
  void SendUntilAnswered();
  Next SendOnce();
  Next OnFailure(const SendFailure& aFailure);
  Next OnAnswer(BackendAnswer& aAnswer);
  Next RelayWhole(BackendAnswer& aAnswer);
  Next RelayStream(BackendAnswer& aAnswer);
  Next OnStreamBroken(const Error& aError);
  Next EndStream(const std::string& aRest);
  bool ChooseServer();
  // Places the request through a home. Returns nothing when this daemon must
  // choose the server itself, else whether a server was chosen; if not, the
  // request has been refused.
  std::optional<bool> ChooseByHome();
  // Refuses a prompt that could not be answered in time.
  void RefuseLate(Duration aRetryDelay);
  // Refuses a request since the servers have reached their rate limits.
  void RefuseLimited(Duration aRetryDelay);
  // Records whether the server's answer to the current send names a rate limit.
  void ObserveLimit(std::optional<double> aLimit);
  [[nodiscard]] ServerQuery MakeQuery() const;
  [[nodiscard]] BackendCall MakeCall();
  [[nodiscard]] std::string CacheSalt(std::uint64_t aWeightVersion) const;
  // Returns the newest version announced for the prompt's model; 0 when there
  // is none.
  [[nodiscard]] std::uint64_t NewestWeights() const;
  [[nodiscard]] double Work() const noexcept;
  // Returns the rank of the request; 0 is the most urgent.
  [[nodiscard]] unsigned Rank() const noexcept;
  [[nodiscard]] bool MayRetry() const noexcept;
  [[nodiscard]] bool TryRetry();
  [[nodiscard]] Duration TimeLeft() const noexcept;
  [[nodiscard]] Duration HeadTimeout() const noexcept;
  void EndSend(SendOutcome aOutcome);
  // Reports the end of the grant to its home.
  void EndGrant(SendOutcome aOutcome);
  void CutStream(RefusalReason aReason);
  // Refuses the request, or cuts its stream when the stream has begun.
  void Refuse(RefusalReason aReason,
              std::string aText,
              std::optional<Duration> aRetryAfter = std::nullopt);
  void RefuseUnknownSite(std::string aText);
  [[nodiscard]] Duration RetryDelay() const noexcept;
  void NoteDone(unsigned aStatus);
  void NoteCallerLeft();
  [[nodiscard]] SeriesLabels Labels() const;
  // Returns the tokens of the prompt; 0 for a request without one.
  [[nodiscard]] std::uint64_t PromptTokens() const noexcept;

  FlowContext& mContext;
  const CallerRequest& mRequest;
  CallerSink& mSink;
  const Instant mArrivedAt;
  Instant mDeadline;
  std::shared_ptr<const SiteView> mView;
  const Route* mRoute = nullptr;
  const ClientAccount* mAccount = nullptr;
  ServiceId mService;
  AttemptLedger mLedger;
  HttpCancel mCancel;
  ServerQuery mQuery;
  ChosenServer mChoice;
  SendTicket mTicket;
  // When the current send began.
  Instant mSentAt;
  // Ticket of the home's grant for the current send.
  std::optional<std::uint64_t> mGrant;
  // Whether a home chose the server of the current send.
  bool mIsByHome = false;
  std::vector<ServerId> mTried;
  std::size_t mSends = 0;
  // Sends that the servers may have run.
  std::size_t mRuns = 0;
  std::size_t mRefusedSends = 0;
  std::size_t mFailedConnections = 0;
  EventSplitter mEvents;
  bool mStreamHasBegun = false;
  std::optional<Instant> mFirstAt;
};

void
RequestRun::Run()
{
  mView = mContext.mView();
  if (mView == nullptr || mView->mConfig == nullptr) {
    RefuseUnknownSite("This daemon has no configuration yet.");
    return;
  }
  if (!FindRoute() || !FindAccount() || !SetDeadline()) {
    return;
  }
  mSink.OnCallerGone([this] { mCancel.Cancel(); });
  mContext.mRetries.AddRequest(mService, mArrivedAt);
  mContext.mCounts.Add(Labels(), Counter::Requests);
  SendUntilAnswered();
}

bool
RequestRun::FindRoute()
{
  mRoute = mView->mRoutes->Find(mRequest.mHost, mRequest.mPassedOn.mTarget);
  const RouteTarget* target =
    mRoute == nullptr ? nullptr
                      : PickTarget(*mRoute, StableHash64(mRequest.mId.Text()));
  if (target != nullptr) {
    mService = target->mService;
    return true;
  }
  if (mContext.mIsViewFresh()) {
    Refuse(RefusalReason::NoRoute, "No route leads to this path.");
  } else {
    RefuseUnknownSite("The configuration may be older than this route.");
  }
  return false;
}

bool
RequestRun::FindAccount()
{
  if (mRoute->mAnonymous || mView->mAccounts->IsEmpty()) {
    return true;
  }
  mAccount = mView->mAccounts->Find(mRequest.mKey);
  if (mAccount != nullptr) {
    return true;
  }
  if (mContext.mIsViewFresh()) {
    Refuse(RefusalReason::Unauthorized, "No client account has this key.");
  } else {
    RefuseUnknownSite("The configuration may be older than this key.");
  }
  return false;
}

bool
RequestRun::SetDeadline()
{
  const auto waitLimit = mRequest.mWaitLimit.value_or(mRoute->mTimeout);
  mDeadline = mArrivedAt + std::min(waitLimit, mRoute->mTimeout);
  if (TimeLeft() >= kMinTimeLeft) {
    return true;
  }
  Refuse(RefusalReason::DeadlineTooShort, "The deadline leaves no time.");
  return false;
}

Duration
RequestRun::TimeLeft() const noexcept
{
  return mDeadline - MonotonicNow();
}

double
RequestRun::Work() const noexcept
{
  if (!mRequest.mPrompt) {
    return 1;
  }
  const auto& prompt = *mRequest.mPrompt;
  const auto shared = prompt.SharedTokens();
  const auto own =
    prompt.mInputTokens > shared ? prompt.mInputTokens - shared : 0;
  return static_cast<double>(own) +
         kOutputTokenWork *
           std::sqrt(static_cast<double>(prompt.mMaxOutputTokens));
}

unsigned
RequestRun::Rank() const noexcept
{
  const auto rank = mAccount != nullptr && mAccount->mPriority
                      ? *mAccount->mPriority
                      : mRoute->mPriority;
  return std::min<unsigned>(rank, kRanks - 1);
}

std::uint64_t
RequestRun::NewestWeights() const
{
  if (!mRequest.mPrompt) {
    return 0;
  }
  return mView->mWeights.Newest(mRequest.mPrompt->mModel);
}

ServerQuery
RequestRun::MakeQuery() const
{
  ServerQuery query;
  query.mService = mService;
  query.mObjective = mRoute->mObjective;
  query.mRank = Rank();
  query.mTried = mTried;
  query.mWork = Work();
  if (mRequest.mPrompt) {
    const auto& prompt = *mRequest.mPrompt;
    query.mModel = prompt.mModel;
    query.mKind = StableHash64(mRoute->mName);
    query.mMemory = static_cast<double>(prompt.mInputTokens);
    if (const auto* service = mView->FindService(mService)) {
      query.mServerMemory = static_cast<double>(service->mCacheTokens);
    }
    query.mNewestVersion = NewestWeights();
    query.mLeastVersion = mView->mWeights.LeastAllowed(
      prompt.mModel, mContext.mWeightsWithin, MonotonicNow());
    if (const auto* part = prompt.LastSharedPart()) {
      query.mAffinity = StableHash64(part->mId);
      query.mSharedTokens = static_cast<double>(prompt.SharedTokens());
      query.mMissWork = mContext.mCache.MissWork(
        prompt, CacheSalt(query.mNewestVersion), MonotonicNow());
    }
  }
  return query;
}

bool
RequestRun::ChooseServer()
{
  mQuery = MakeQuery();
  mIsByHome = false;
  if (const auto hasServer = ChooseByHome()) {
    return *hasServer;
  }
  const auto choice = mContext.mPool.Choose(mQuery, MonotonicNow());
  if (!choice) {
    if (const auto delay = mContext.mPool.LimitDelay(mQuery, MonotonicNow())) {
      RefuseLimited(*delay);
      return false;
    }
    Refuse(mTried.empty() ? RefusalReason::NoServer : RefusalReason::QueueFull,
           mTried.empty() ? "The service has no server."
                          : "No server of the service can take the request.",
           RetryDelay());
    return false;
  }
  mChoice = *choice;
  const bool isAdmitting = mRequest.mPrompt && mSends == 0;
  if (isAdmitting) {
    const auto wait = RefusePrompt(
      mChoice.mAdmissionTime, mRoute->mObjective, AdmissionSettings());
    if (wait) {
      RefuseLate(*wait);
      return false;
    }
  }
  mContext.mGate.Take(mChoice.mServer, MonotonicNow());
  return true;
}

std::optional<bool>
RequestRun::ChooseByHome()
{
  mGrant.reset();
  if (mContext.mPlacer == nullptr) {
    return std::nullopt;
  }
  const auto reply = mContext.mPlacer->Place(
    mQuery, StableHash64(mRequest.mId.Text()), TimeLeft(), mSends > 0);
  if (!reply) {
    return std::nullopt;
  }
  if (reply->mOutcome == PlacementOutcome::Busy) {
    mChoice = ChosenServer();
    mChoice.mTime = reply->mTime;
    mChoice.mCandidates = reply->mCandidates;
    const AdmissionSettings bounds;
    RefuseLate(
      std::clamp(reply->mTime, bounds.mMinRetryAfter, bounds.mMaxRetryAfter));
    return false;
  }
  if (reply->mOutcome == PlacementOutcome::Limited) {
    RefuseLimited(reply->mTime);
    return false;
  }
  if (reply->mOutcome != PlacementOutcome::Granted) {
    return std::nullopt;
  }
  mGrant = reply->mTicket;
  mIsByHome = true;
  // The home's view of the site may be outdated: check the server against this
  // daemon's own view.
  const auto it =
    std::ranges::find(mView->mServers, reply->mServer, &ServerRecord::mId);
  const bool isUsable = it != mView->mServers.end() &&
                        it->mService == mService && !it->mIsLeaving &&
                        reply->mWeightVersion >= mQuery.mLeastVersion &&
                        std::ranges::find(mTried, it->mId) == mTried.end();
  if (!isUsable) {
    EndGrant(SendOutcome::Abandoned);
    mIsByHome = false;
    return std::nullopt;
  }
  mChoice = { it->mId,        it->mEndpoint,
              it->mZone,      reply->mWeightVersion,
              reply->mReason, reply->mTime,
              reply->mTime,   reply->mCandidates };
  return true;
}

void
RequestRun::RefuseLate(Duration aRetryDelay)
{
  Refuse(RefusalReason::QueueFull,
         "All servers of the service are behind.",
         aRetryDelay);
}

void
RequestRun::RefuseLimited(Duration aRetryDelay)
{
  Refuse(RefusalReason::QueueFull,
         "The servers of the service have reached their rate limits.",
         aRetryDelay);
}

void
RequestRun::ObserveLimit(std::optional<double> aLimit)
{
  mContext.mLimits.Observe(mChoice.mServer, aLimit, mSentAt, MonotonicNow());
}

void
RequestRun::EndGrant(SendOutcome aOutcome)
{
  if (mGrant) {
    mContext.mPlacer->OnEnd(*std::exchange(mGrant, std::nullopt), aOutcome);
  }
}

std::string
RequestRun::CacheSalt(std::uint64_t aWeightVersion) const
{
  std::string salt = "w" + std::to_string(aWeightVersion);
  if (mAccount != nullptr && mAccount->mIsolated) {
    salt += "." + mAccount->mName.Text();
  }
  return salt;
}

BackendCall
RequestRun::MakeCall()
{
  BackendCall call;
  call.mServer = mChoice.mServer;
  call.mEndpoint = mChoice.mEndpoint;
  call.mTimeLeft = TimeLeft();
  call.mConnectTime = ShareOf(
    mRoute->mObjective, kConnectTimeShare, kMinConnectTime, kMaxConnectTime);
  if (mAccount != nullptr) {
    call.mAccount = mAccount->mName;
  }
  if (mRequest.mPrompt) {
    call.mWeightVersion = mChoice.mWeightVersion;
    call.mCacheSalt = CacheSalt(mChoice.mWeightVersion);
    call.mPriority = Rank();
    const auto* service = mView->FindService(mService);
    const auto now = MonotonicNow();
    call.mCache =
      mContext.mCache.Plan(*mRequest.mPrompt,
                           call.mCacheSalt,
                           service == nullptr ? 0 : service->mTokenBytes,
                           now);
    call.mCacheReadDeadlineMs = mContext.mCache.ServersClockMs(
      now + FromMillis(ToMillis(mRoute->mObjective) * kCacheReadShare));
  }
  call.mResumeAfter =
    mEvents.LastId().empty() ? mRequest.mResumeAfter : mEvents.LastId();
  return call;
}

bool
RequestRun::MayRetry() const noexcept
{
  const bool isIdempotent =
    mRoute->mKind == RequestKind::Idempotent || mRoute->mResumable;
  return isIdempotent && mRuns < mRoute->mMaxAttempts;
}

bool
RequestRun::TryRetry()
{
  return TimeLeft() >= kMinTimeLeft &&
         mContext.mRetries.TryRetry(mService, MonotonicNow());
}

// Returns the timeout for the head of the answer. A request that can be retried
// elsewhere does not wait for a silent server until its deadline.
Duration
RequestRun::HeadTimeout() const noexcept
{
  const auto left = std::max(TimeLeft(), kMinTimeLeft);
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

void
RequestRun::SendUntilAnswered()
{
  Next next = Next::Send;
  while (next == Next::Send) {
    if (mCancel.IsCancelled() || mSink.HasCallerLeft()) {
      NoteCallerLeft();
      return;
    }
    if (TimeLeft() < kMinTimeLeft) {
      Refuse(RefusalReason::DeadlinePassed, "The deadline has passed.");
      return;
    }
    if (!ChooseServer()) {
      return;
    }
    next = SendOnce();
  }
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
  mTicket = mContext.mPool.Begin(mChoice.mServer, mQuery, mSentAt);
  const auto headTimeout = HeadTimeout();
  auto answer = mContext.mBackend.Send(call, mRequest, headTimeout, mCancel);
  if (!answer) {
    const auto& failure = answer.error();
    if (failure.mRequestLimit) {
      ObserveLimit(failure.mRequestLimit);
    }
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
  mContext.mPool.OnProgress(mTicket, MonotonicNow());
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
  if (aFailure.mFault == SendFault::Cancelled || mCancel.IsCancelled()) {
    NoteCallerLeft();
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
  } else {
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
    return Next::Send;
  }
  if (aFailure.mNotRun) {
    Refuse(RefusalReason::QueueFull,
           "No server of the service could take the request.",
           RetryDelay());
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
  if (mRoute->mKind == RequestKind::Streaming &&
      status < kFirstNonSuccessStatus) {
    return RelayStream(aAnswer);
  }
  if (mStreamHasBegun) {
    return OnFailure(
      { SendFault::Garbled,
        false,
        "server answered the resumption of a stream with status " +
          std::to_string(status) });
  }
  return RelayWhole(aAnswer);
}

RequestRun::Next
RequestRun::RelayWhole(BackendAnswer& aAnswer)
{
  std::string body;
  while (true) {
    auto piece = aAnswer.Read(std::max(TimeLeft(), kMinTimeLeft));
    if (!piece) {
      return OnFailure({ piece.error().mCode == ErrorCode::Timeout
                           ? SendFault::TimedOut
                           : SendFault::Broken,
                         false,
                         piece.error().mMessage });
    }
    if (!piece.value()) {
      break;
    }
    body += *piece.value();
    if (body.size() > kMaxAnswerBytes) {
      return OnFailure(
        { SendFault::Garbled,
          false,
          "answer exceeds " + std::to_string(kMaxAnswerBytes) + " bytes" });
    }
  }
  const auto status = aAnswer.Head().mStatus;
  const bool isError = status >= kFirstServerErrorStatus;
  EndSend(isError ? SendOutcome::ServerError : SendOutcome::Answered);
  if (isError && MayRetry() && TryRetry()) {
    mTried.push_back(mChoice.mServer);
    LogLine(
      LogEvent::RequestRetried,
      { { "request", mRequest.mId }, { "runs", mRuns }, { "status", status } });
    return Next::Send;
  }
  mFirstAt = MonotonicNow();
  if (mSink.SendWhole(aAnswer.Head(), std::move(body))) {
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
  while (true) {
    auto piece = aAnswer.Read(std::max(TimeLeft(), kMinTimeLeft));
    if (!piece) {
      return OnStreamBroken(piece.error());
    }
    mContext.mPool.OnProgress(mTicket, MonotonicNow());
    if (!piece.value()) {
      EndSend(SendOutcome::Answered);
      return EndStream(mEvents.Rest());
    }
    const auto whole = mEvents.Add(*piece.value());
    if (mEvents.Rest().size() > kMaxEventBytes) {
      return OnStreamBroken(
        Fail(ErrorCode::Corrupt,
             "event exceeds " + std::to_string(kMaxEventBytes) + " bytes"));
    }
    if (whole.empty()) {
      continue;
    }
    mStreamHasBegun = true;
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
  mEvents.DropRest();
  const bool isTimeout = aError.mCode == ErrorCode::Timeout;
  return OnFailure({ isTimeout ? SendFault::TimedOut : SendFault::Broken,
                     false,
                     aError.mMessage });
}

Duration
RequestRun::RetryDelay() const noexcept
{
  return ShareOf(
    mRoute->mObjective, kRetryAfterShare, kMinRetryAfter, kMaxRetryAfter);
}

// The caller already has a part of the stream, so it can only be cut.
void
RequestRun::CutStream(RefusalReason aReason)
{
  mContext.mCounts.Add(Labels(), Counter::Incomplete);
  LogLine(LogEvent::StreamIncomplete,
          { { "request", mRequest.mId },
            { "server", mChoice.mServer },
            { "reason", aReason },
            { "sends", mSends },
            { "tokens", PromptTokens() },
            { "age", MonotonicNow() - mArrivedAt } });
  mSink.Cut();
}

void
RequestRun::Refuse(RefusalReason aReason,
                   std::string aText,
                   std::optional<Duration> aRetryAfter)
{
  if (mStreamHasBegun) {
    CutStream(aReason);
    return;
  }
  const auto refusal =
    Refusal::From(mLedger, aReason, std::move(aText), aRetryAfter);
  mContext.mCounts.Add(Labels(),
                       refusal.GetDisposition() == Disposition::NotRun
                         ? Counter::RefusedNotRun
                         : Counter::RefusedUnknown);
  mContext.mCounts.Add(Labels(), Counter::RefusedTokens, PromptTokens());
  LogLine(LogEvent::RequestRefused,
          { { "request", mRequest.mId },
            { "reason", aReason },
            { "disposition", refusal.GetDisposition() },
            { "route", mRoute == nullptr ? std::string() : mRoute->mName },
            { "account", mAccount == nullptr ? AccountId() : mAccount->mName },
            { "config",
              mView == nullptr || mView->mConfig == nullptr
                ? 0
                : mView->mConfig->mVersion },
            { "sends", mSends },
            { "age", MonotonicNow() - mArrivedAt },
            { "left", TimeLeft() },
            { "server", mChoice.mServer },
            { "candidates", mChoice.mCandidates },
            { "estimate", mChoice.mTime },
            { "tokens", PromptTokens() },
            { "work", static_cast<std::uint64_t>(mQuery.mWork) },
            { "miss_work", static_cast<std::uint64_t>(mQuery.mMissWork) },
            { "return_in", aRetryAfter.value_or(Duration(0)) } });
  mSink.Refuse(refusal);
}

void
RequestRun::RefuseUnknownSite(std::string aText)
{
  Refuse(RefusalReason::PlatformUnavailable,
         std::move(aText),
         kUnknownSiteRetryAfter);
}

SeriesLabels
RequestRun::Labels() const
{
  return { ProductId(mService.Text()),
           mAccount == nullptr ? AccountId() : mAccount->mName,
           mRoute == nullptr ? std::string() : mRoute->mName };
}

std::uint64_t
RequestRun::PromptTokens() const noexcept
{
  return mRequest.mPrompt ? mRequest.mPrompt->mInputTokens : 0;
}

void
RequestRun::NoteDone(unsigned aStatus)
{
  const auto now = MonotonicNow();
  const auto first = mFirstAt.value_or(now) - mArrivedAt;
  mContext.mCounts.Add(Labels(), Counter::Answered);
  mContext.mCounts.Add(Labels(), Counter::PromptTokens, PromptTokens());
  mContext.mTimes.Record(Labels(), Measure::FirstToken, first);
  mContext.mTimes.Record(Labels(), Measure::Total, now - mArrivedAt);
  LogLine(LogEvent::RequestDone,
          { { "request", mRequest.mId },
            { "route", mRoute->mName },
            { "server", mChoice.mServer },
            { "status", aStatus },
            { "weights", mChoice.mWeightVersion },
            { "choice", mChoice.mReason },
            { "by_home", mIsByHome },
            { "sends", mSends },
            { "tokens", PromptTokens() },
            { "estimate", mChoice.mTime },
            { "first", first },
            { "total", now - mArrivedAt } });
}

void
RequestRun::NoteCallerLeft()
{
  LogLine(LogEvent::CallerLeft,
          { { "request", mRequest.mId },
            { "sends", mSends },
            { "tokens", PromptTokens() },
            { "age", MonotonicNow() - mArrivedAt } });
}

} // namespace

void
RequestFlow::Handle(const CallerRequest& aRequest, CallerSink& aSink)
{
  RequestRun(mContext, aRequest, aSink).Run();
}

} // namespace bilberrytrail
