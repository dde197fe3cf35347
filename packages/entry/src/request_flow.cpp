#include <bilberrytrail/entry/admission.h>
#include <bilberrytrail/entry/request_flow.h>

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/runtime/loop.h>

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

// Sends that servers refused before running, for one request; a bound against
// endless rounds while all servers load.
constexpr std::size_t kMaxRefusedSends = 6;
// Connections that did not open, for one request.
constexpr std::size_t kMaxFailedConnections = 6;
// Time left below which a request is not sent any more.
constexpr Duration kMinTimeLeft = 10ms;
// Longest time to connect, as a share of the objective and in bounds: inside a
// region a connection opens in a few milliseconds.
constexpr double kConnectShare = 0.5;
constexpr Duration kMinConnectTime = 50ms;
constexpr Duration kMaxConnectTime = 400ms;
// A request that may run again is sent elsewhere when its answer has not begun
// after this multiple of the objective, within bounds.
constexpr double kPatienceObjectives = 3.0;
constexpr Duration kMinPatience = 250ms;
constexpr Duration kMaxPatience = 2500ms;
// Kept KV cache that is not read within this share of the objective is given
// up, and the prompt is read instead.
constexpr double kCacheReadShare = 0.6;
// What refused callers are told to wait: a share of the objective, in bounds.
constexpr double kReturnShare = 0.5;
constexpr Duration kMinReturn = 100ms;
constexpr Duration kMaxReturn = 800ms;
// The same while this daemon does not know the site well enough.
constexpr Duration kUnknownSiteReturn = 300ms;
// Work of a token that is written, in tokens that are read.
constexpr double kOutputTokenWork = 4;
// Largest answer that is not a stream, and largest event, in bytes; servers in
// trouble send bytes without end.
constexpr std::size_t kMaxAnswerBytes = 8 * 1024 * 1024;
constexpr std::size_t kMaxEventBytes = 1024 * 1024;
constexpr unsigned kFirstNotSuccess = 300;
constexpr unsigned kFirstServerError = 500;

SendOutcome
EndOf(const SendFailure& aFailure)
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

// One request on its way.
class RequestRun
{
public:
  RequestRun(FlowContext& aParts,
             const CallerRequest& aRequest,
             CallerSink& aSink)
    : mParts(aParts)
    , mRequest(aRequest)
    , mSink(aSink)
    , mArrivedAt(MonotonicNow())
    , mDeadline(mArrivedAt)
  {
  }

  void Run();

private:
  // What comes after a failed or refused send.
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
  // Takes the server that a home places the request at. Returns nothing when
  // this daemon must choose by itself, else whether there is a server.
  std::optional<bool> ChooseByHome();
  // Refuses a prompt whose answer would be late.
  void RefuseLate(Duration aReturnIn);
  [[nodiscard]] ServerQuery MakeQuery() const;
  [[nodiscard]] BackendCall MakeCall();
  [[nodiscard]] std::string CacheSalt(std::uint64_t aWeightVersion) const;
  // Returns the newest weights of the prompt's model; 0 when none are named.
  [[nodiscard]] std::uint64_t NewestWeights() const;
  [[nodiscard]] double Work() const noexcept;
  // Returns how urgent the request is; 0 is the most urgent.
  [[nodiscard]] unsigned Rank() const noexcept;
  [[nodiscard]] bool MayRepeat() const noexcept;
  [[nodiscard]] bool TryRepeat();
  [[nodiscard]] Duration TimeLeft() const noexcept;
  [[nodiscard]] Duration HeadTime() const noexcept;
  void EndSend(SendOutcome aEnd);
  // Tells the home how its grant ended.
  void EndGrant(SendOutcome aEnd);
  void CutStream(RefusalReason aReason);
  // Refuses the request, or cuts its stream when that has begun.
  void Refuse(RefusalReason aReason,
              std::string aText,
              std::optional<Duration> aRetryAfter = std::nullopt);
  void RefuseUnknownSite(std::string aText);
  [[nodiscard]] Duration ReturnTime() const noexcept;
  void NoteDone(unsigned aStatus);
  void NoteCallerLeft();
  [[nodiscard]] SeriesLabels Labels() const;

  FlowContext& mParts;
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
  // The home's grant of the send that is under way.
  std::optional<std::uint64_t> mGrant;
  std::vector<ServerId> mTried;
  std::size_t mSends = 0;
  // Sends that may have run.
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
  mView = mParts.mView();
  if (mView == nullptr || mView->mConfig == nullptr) {
    RefuseUnknownSite("This daemon has no configuration yet.");
    return;
  }
  if (!FindRoute() || !FindAccount() || !SetDeadline()) {
    return;
  }
  mSink.OnCallerGone([this] { mCancel.Cancel(); });
  mParts.mRetries.AddRequest(mService, mArrivedAt);
  mParts.mCounts.Add(Labels(), Counter::Requests);
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
  if (mParts.mIsViewFresh()) {
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
  if (mParts.mIsViewFresh()) {
    Refuse(RefusalReason::Unauthorized, "No client account has this key.");
  } else {
    RefuseUnknownSite("The configuration may be older than this key.");
  }
  return false;
}

bool
RequestRun::SetDeadline()
{
  const auto patience = mRequest.mWaitLimit.value_or(mRoute->mTimeout);
  mDeadline = mArrivedAt + std::min(patience, mRoute->mTimeout);
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
      prompt.mModel, mParts.mWeightsWithin, MonotonicNow());
    if (const auto* part = prompt.LastSharedPart()) {
      query.mAffinity = StableHash64(part->mId);
      query.mSharedTokens = static_cast<double>(prompt.SharedTokens());
      query.mMissWork = mParts.mCache.MissWork(
        prompt, CacheSalt(query.mNewestVersion), MonotonicNow());
    }
  }
  return query;
}

bool
RequestRun::ChooseServer()
{
  mQuery = MakeQuery();
  if (const auto hasServer = ChooseByHome()) {
    return *hasServer;
  }
  const auto choice = mParts.mPool.Choose(mQuery, MonotonicNow());
  if (!choice) {
    Refuse(mTried.empty() ? RefusalReason::NoServer : RefusalReason::QueueFull,
           mTried.empty() ? "The service has no server."
                          : "No server of the service can take the request.",
           ReturnTime());
    return false;
  }
  mChoice = *choice;
  if (!mRequest.mPrompt || mSends > 0) {
    return true;
  }
  if (const auto wait =
        RefusePrompt(mChoice.mTime, mRoute->mObjective, AdmissionSettings())) {
    RefuseLate(*wait);
    return false;
  }
  return true;
}

std::optional<bool>
RequestRun::ChooseByHome()
{
  mGrant.reset();
  if (mParts.mPlacer == nullptr) {
    return std::nullopt;
  }
  const auto reply = mParts.mPlacer->Place(
    mQuery, StableHash64(mRequest.mId.Text()), TimeLeft(), mSends > 0);
  if (!reply) {
    return std::nullopt;
  }
  if (reply->mOutcome == PlacementOutcome::Busy) {
    mChoice = ChosenServer();
    mChoice.mTime = reply->mTime;
    mChoice.mCandidates = reply->mCandidates;
    const AdmissionSettings bounds;
    RefuseLate(std::clamp(reply->mTime, bounds.mMinReturn, bounds.mMaxReturn));
    return false;
  }
  if (reply->mOutcome != PlacementOutcome::Granted) {
    return std::nullopt;
  }
  mGrant = reply->mTicket;
  // What the rules ask for does not rest on the home's view of the site.
  const auto it =
    std::ranges::find(mView->mServers, reply->mServer, &ServerRecord::mId);
  const bool isUsable = it != mView->mServers.end() &&
                        it->mService == mService && !it->mIsLeaving &&
                        reply->mWeightVersion >= mQuery.mLeastVersion &&
                        std::ranges::find(mTried, it->mId) == mTried.end();
  if (!isUsable) {
    EndGrant(SendOutcome::Abandoned);
    return std::nullopt;
  }
  mChoice = { it->mId,           it->mEndpoint,
              it->mZone,         reply->mWeightVersion,
              reply->mReason,    reply->mTime,
              reply->mCandidates };
  return true;
}

void
RequestRun::RefuseLate(Duration aReturnIn)
{
  Refuse(RefusalReason::QueueFull,
         "All servers of the service are behind.",
         aReturnIn);
}

void
RequestRun::EndGrant(SendOutcome aEnd)
{
  if (mGrant) {
    mParts.mPlacer->OnEnd(*std::exchange(mGrant, std::nullopt), aEnd);
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
    mRoute->mObjective, kConnectShare, kMinConnectTime, kMaxConnectTime);
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
      mParts.mCache.Plan(*mRequest.mPrompt,
                         call.mCacheSalt,
                         service == nullptr ? 0 : service->mTokenBytes,
                         now);
    call.mCacheReadDeadlineMs = mParts.mCache.ServersClockMs(
      now + FromMillis(ToMillis(mRoute->mObjective) * kCacheReadShare));
  }
  call.mResumeAfter =
    mEvents.LastId().empty() ? mRequest.mResumeAfter : mEvents.LastId();
  return call;
}

bool
RequestRun::MayRepeat() const noexcept
{
  const bool isIdempotent =
    mRoute->mKind == RequestKind::Idempotent || mRoute->mResumable;
  return isIdempotent && mRuns < mRoute->mMaxAttempts;
}

bool
RequestRun::TryRepeat()
{
  return TimeLeft() >= kMinTimeLeft &&
         mParts.mRetries.TryRepeat(mService, MonotonicNow());
}

// A request that can run elsewhere is not left with a server that is silent.
Duration
RequestRun::HeadTime() const noexcept
{
  const auto left = std::max(TimeLeft(), kMinTimeLeft);
  const bool isLast = mRuns + 1 >= mRoute->mMaxAttempts;
  if (!MayRepeat() || isLast) {
    return left;
  }
  return std::min(
    left,
    ShareOf(
      mRoute->mObjective, kPatienceObjectives, kMinPatience, kMaxPatience));
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
  mTicket = mParts.mPool.Begin(mChoice.mServer, mQuery, MonotonicNow());
  const auto headTime = HeadTime();
  auto answer = mParts.mBackend.Send(call, mRequest, headTime, mCancel);
  if (!answer) {
    const auto& failure = answer.error();
    if (failure.mNotRun) {
      (void)mLedger.MarkRejected(attempt);
    } else {
      ++mRuns;
    }
    return OnFailure(failure);
  }
  ++mRuns;
  (void)mLedger.MarkAccepted(attempt);
  mParts.mPool.OnProgress(mTicket, MonotonicNow());
  if (mGrant) {
    mParts.mPlacer->OnBegun(*mGrant);
  }
  const auto next = OnAnswer(*answer.value());
  if (next == Next::Done) {
    (void)mLedger.MarkFinished(attempt);
  }
  return next;
}

void
RequestRun::EndSend(SendOutcome aEnd)
{
  EndGrant(aEnd);
  const auto change = mParts.mPool.End(mTicket, aEnd, MonotonicNow());
  if (change) {
    LogLine(change->mEjected ? LogEvent::ServerEjected
                             : LogEvent::ServerReturned,
            { { "server", change->mServer },
              { "cause", change->mCause },
              { "for", change->mFor } });
  }
}

RequestRun::Next
RequestRun::OnFailure(const SendFailure& aFailure)
{
  EndSend(EndOf(aFailure));
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
    mParts.mPool.DenyVersion(mChoice.mServer,
                             mRequest.mPrompt->mModel,
                             mChoice.mWeightVersion,
                             NewestWeights());
  } else {
    mTried.push_back(mChoice.mServer);
  }
  if (aFailure.mFault == SendFault::Full &&
      mChoice.mWeightVersion < NewestWeights()) {
    mParts.mPool.ExpectLoading(mChoice.mServer, MonotonicNow());
  }
  if (aFailure.mFault == SendFault::NoConnection) {
    mParts.mBackend.Forget(mChoice.mEndpoint);
    if (++mFailedConnections < kMaxFailedConnections) {
      return Next::Send;
    }
  } else if (aFailure.mNotRun) {
    if (++mRefusedSends < kMaxRefusedSends && TryRepeat()) {
      return Next::Send;
    }
  } else if (MayRepeat() && TryRepeat()) {
    LogLine(LogEvent::RequestRetried,
            { { "request", mRequest.mId }, { "runs", mRuns } });
    mParts.mCounts.Add(Labels(), Counter::Retries);
    return Next::Send;
  }
  if (aFailure.mNotRun) {
    Refuse(RefusalReason::QueueFull,
           "No server of the service could take the request.",
           ReturnTime());
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
    mParts.mPool.ObserveVersion(
      mChoice.mServer, mRequest.mPrompt->mModel, *aAnswer.WeightVersion());
  }
  const auto status = aAnswer.Head().mStatus;
  if (mRoute->mKind == RequestKind::Streaming && status < kFirstNotSuccess) {
    return RelayStream(aAnswer);
  }
  if (mStreamHasBegun) {
    return OnFailure({ SendFault::Garbled, false, "stream not resumed" });
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
      return OnFailure({ SendFault::Garbled, false, "too long an answer" });
    }
  }
  const auto status = aAnswer.Head().mStatus;
  const bool isError = status >= kFirstServerError;
  EndSend(isError ? SendOutcome::ServerError : SendOutcome::Answered);
  if (isError && MayRepeat() && TryRepeat()) {
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
    mParts.mPool.OnProgress(mTicket, MonotonicNow());
    if (!piece.value()) {
      EndSend(SendOutcome::Answered);
      return EndStream(mEvents.Rest());
    }
    const auto whole = mEvents.Add(*piece.value());
    if (mEvents.Rest().size() > kMaxEventBytes) {
      return OnStreamBroken(Fail(ErrorCode::Corrupt, "too long an event"));
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
  const bool isTime = aError.mCode == ErrorCode::Timeout;
  return OnFailure({ isTime ? SendFault::TimedOut : SendFault::Broken,
                     false,
                     aError.mMessage });
}

Duration
RequestRun::ReturnTime() const noexcept
{
  return ShareOf(mRoute->mObjective, kReturnShare, kMinReturn, kMaxReturn);
}

// A stream of which the caller has a part can only end short.
void
RequestRun::CutStream(RefusalReason aReason)
{
  mParts.mCounts.Add(Labels(), Counter::Incomplete);
  LogLine(LogEvent::StreamIncomplete,
          { { "request", mRequest.mId },
            { "server", mChoice.mServer },
            { "reason", aReason },
            { "sends", mSends },
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
  mParts.mCounts.Add(Labels(),
                     refusal.GetDisposition() == Disposition::NotRun
                       ? Counter::RefusedNotRun
                       : Counter::RefusedUnknown);
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
            { "return_in", aRetryAfter.value_or(Duration(0)) } });
  mSink.Refuse(refusal);
}

void
RequestRun::RefuseUnknownSite(std::string aText)
{
  Refuse(
    RefusalReason::PlatformUnavailable, std::move(aText), kUnknownSiteReturn);
}

SeriesLabels
RequestRun::Labels() const
{
  return { ProductId(mService.Text()),
           mAccount == nullptr ? AccountId() : mAccount->mName,
           mRoute == nullptr ? std::string() : mRoute->mName };
}

void
RequestRun::NoteDone(unsigned aStatus)
{
  const auto now = MonotonicNow();
  const auto first = mFirstAt.value_or(now) - mArrivedAt;
  mParts.mCounts.Add(Labels(), Counter::Answered);
  mParts.mTimes.Record(Labels(), Measure::FirstToken, first);
  mParts.mTimes.Record(Labels(), Measure::Total, now - mArrivedAt);
  LogLine(LogEvent::RequestDone,
          { { "request", mRequest.mId },
            { "route", mRoute->mName },
            { "server", mChoice.mServer },
            { "status", aStatus },
            { "weights", mChoice.mWeightVersion },
            { "choice", mChoice.mReason },
            { "sends", mSends },
            { "first", first },
            { "total", now - mArrivedAt } });
}

void
RequestRun::NoteCallerLeft()
{
  LogLine(LogEvent::CallerLeft,
          { { "request", mRequest.mId },
            { "sends", mSends },
            { "age", MonotonicNow() - mArrivedAt } });
}

} // namespace

void
RequestFlow::Handle(const CallerRequest& aRequest, CallerSink& aSink)
{
  RequestRun(mParts, aRequest, aSink).Run();
}

} // namespace bilberrytrail
