#include "dispatch.h"
#include "hedged_run.h"
#include "known_sink.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/orders/claim_row.h>
#include <bilberrytrail/traffic/typical_time.h>

#include <map>

namespace bilberrytrail {

namespace {

constexpr Duration kServiceRetry = 1s;
// Longest wait for a server that takes work.
constexpr Duration kNoServerPatience = 2s;

// Takes the frames of one attempt at a service call.
class ServiceSink final : public FrameSink
{
public:
  ServiceSink(RequestContext& aContext, AttemptId aAttempt)
    : mContext(aContext)
    , mAttempt(std::move(aAttempt))
  {
  }

  [[nodiscard]] const AttemptEnd& End() const noexcept { return mEnd; }
  [[nodiscard]] const std::optional<ServiceResponse>& Answer() const noexcept
  {
    return mAnswer;
  }
  // The home never saw the attempt.
  void NoteNotSent()
  {
    mEnd.TakeUnreachable(mContext.mLedger.MarkRejected(mAttempt).has_value());
  }

  [[nodiscard]] bool IsOpen() noexcept override
  {
    return mContext.mResponder.IsPeerOpen();
  }

  Result<void> Write(const HomeFrame& aFrame) override
  {
    if (aFrame.mAttempt != mAttempt) {
      return Ok();
    }
    switch (aFrame.mKind) {
      case FrameKind::Answer:
        mAnswer = aFrame.mAnswer;
        return mContext.mLedger.MarkFinished(mAttempt);
      case FrameKind::NotRun:
        mEnd.mNotRun = mContext.mLedger.MarkRejected(mAttempt).has_value();
        [[fallthrough]];
      case FrameKind::Broken:
        mEnd.Take(aFrame);
        return Ok();
      case FrameKind::Head:
      case FrameKind::Chunk:
      case FrameKind::End:
        return Fail(ErrorCode::Corrupt, "unexpected frame");
    }
    return Ok();
  }

private:
  RequestContext& mContext;
  AttemptId mAttempt;
  AttemptEnd mEnd;
  std::optional<ServiceResponse> mAnswer;
};

HomeRequest
MakeRequest(RequestContext& aContext, const ServerChoice& aChoice)
{
  const ServiceRequest& service = *aContext.mService;
  HomeRequest request;
  request.mTarget = HomeTarget::Service;
  request.mServer = aChoice.mServer;
  request.mIsUnasked = aChoice.mIsUnasked;
  request.mProduct = aContext.mAccount.mProduct;
  request.mAccount = aContext.mAccount.mAccount;
  request.mClass = aContext.mEstimate.mClass;
  request.mTimeLeft =
    std::max<Duration>(aContext.mDeadline - MonotonicNow(), 1ms);
  request.mCostTokens = aContext.mEstimate.CostTokens();
  request.mCall.mAttempt = AttemptId(RandomToken());
  request.mCall.mMethod = aContext.mHttp.mMethod;
  request.mCall.mPath = service.mPath;
  request.mCall.mContentType =
    std::string(FindHeader(aContext.mHttp.mHeaders, "Content-Type"));
  request.mCall.mBody = aContext.mHttp.mBody;
  if (!service.mRepeatable) {
    request.mClaimRowKey = ClaimRowKey(aContext.mAccount.mProduct,
                                       aContext.mAccount.mAccount,
                                       IdempotencyKey(service.mIdempotencyKey));
  }
  return request;
}

std::vector<ServerId>
CandidatesOf(const RequestContext& aContext)
{
  return aContext.mRouting->UsableServers(
    aContext.mAccount.mProduct, VmRole::Service, aContext.ServiceGroup());
}

RetryQuery
MakeRetryQuery(const RequestContext& aContext, const std::set<ServerId>& aTried)
{
  RetryQuery query;
  query.mIdempotent = aContext.mService->mRepeatable;
  query.mCostTokens = aContext.mEstimate.CostTokens();
  query.mDeadline = aContext.mDeadline;
  query.mTried.assign(aTried.begin(), aTried.end());
  return query;
}

// The second attempt of a repeatable call.
class ServiceHedge final : public HedgeOwner
{
public:
  ServiceHedge(RequestContext& aContext,
               ServerLocator& aLocator,
               std::set<ServerId>& aTried)
    : mContext(aContext)
    , mLocator(aLocator)
    , mTried(aTried)
  {
  }

  [[nodiscard]] std::optional<ServiceSink>& Sink() noexcept { return mSink; }

  [[nodiscard]] std::vector<ServerId> Candidates() const override
  {
    return CandidatesOf(mContext);
  }

  [[nodiscard]] std::optional<HomeRequest> MakeHedge() override
  {
    const auto choice = mLocator.Choose(mContext, PromptBlocks(), mTried);
    if (!choice) {
      return std::nullopt;
    }
    mTried.insert(choice->mServer);
    auto request = MakeRequest(mContext, *choice);
    mSink.emplace(mContext, request.mCall.mAttempt);
    return request;
  }

  [[nodiscard]] FrameSink& HedgeSink() override { return *mSink; }
  void OnHedgeWins() override {}

private:
  RequestContext& mContext;
  ServerLocator& mLocator;
  std::set<ServerId>& mTried;
  std::optional<ServiceSink> mSink;
};

class ServiceDispatcher final : public RequestFilter
{
public:
  explicit ServiceDispatcher(const DispatchParts& aParts)
    : mParts(aParts)
  {
  }

  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    if (!aContext.mService) {
      return std::nullopt;
    }
    mParts.mBudget.AddRequest(aContext.mEstimate.CostTokens());
    mParts.mHedges.NoteRequest(aContext.mEstimate.CostTokens());
    std::set<ServerId> tried;
    AttemptEnd last;
    while (true) {
      const auto choice = AwaitChoice(aContext, tried);
      if (!choice) {
        return GiveUp(aContext, tried.empty() ? NoServer() : last);
      }
      if (!aContext.mResponder.IsPeerOpen()) {
        return GiveUp(aContext, last);
      }
      tried.insert(choice->mServer);
      auto request = MakeRequest(aContext, *choice);
      const AttemptId attempt = request.mCall.mAttempt;
      if (!aContext.mLedger.Open(attempt) ||
          !aContext.mLedger.MarkSent(attempt)) {
        return GiveUp(aContext, last);
      }
      ServiceSink sink(aContext, attempt);
      ServiceHedge hedge(aContext, mParts.mLocator, tried);
      const auto end =
        RunTimed(aContext, std::move(request), sink, hedge, tried);
      if (const auto* answer = AnswerOf(end, sink, hedge)) {
        SendAnswer(aContext, *answer);
        return std::nullopt;
      }
      last = TakeEnd(end, sink, hedge);
      if (last.mIsSentBack) {
        tried.erase(choice->mServer);
      }
      if (last.IsHomeLost()) {
        tried.erase(choice->mServer);
        (void)aContext.mThread.GetLoop().Sleep(kHomeLostPause);
      }
      if (!MayRetry(aContext, last, tried)) {
        return GiveUp(aContext, last);
      }
      aContext.mRetries += last.mIsSentBack ? 0 : 1;
    }
  }

private:
  // Runs the call, hedged when it is late, and learns how long it took.
  HedgedEnd RunTimed(RequestContext& aContext,
                     HomeRequest aRequest,
                     ServiceSink& aSink,
                     ServiceHedge& aHedge,
                     const std::set<ServerId>& aTried)
  {
    KnownSink known(aContext, aRequest, aSink);
    auto& typical = mTypical[aContext.mService->mService];
    const auto begin = MonotonicNow();
    HedgeQuery query{ aContext.mEstimate.mClass,
                      MakeRetryQuery(aContext, aTried),
                      begin,
                      typical.Mean().value_or(Duration()) };
    query.mRequest.mIdempotent &= typical.Mean().has_value();
    const auto end = RunHedged(aContext,
                               mParts.mHomes,
                               mParts.mHedges,
                               query,
                               std::move(aRequest),
                               known,
                               aHedge);
    known.Finish();
    if (AnswerOf(end, aSink, aHedge) != nullptr) {
      typical.Add(MonotonicNow() - begin);
    }
    return end;
  }

  static const ServiceResponse* AnswerOf(const HedgedEnd& aEnd,
                                         const ServiceSink& aSink,
                                         ServiceHedge& aHedge)
  {
    const auto& answer =
      aEnd.mLane == RaceLane::Hedge ? aHedge.Sink()->Answer() : aSink.Answer();
    return answer ? &*answer : nullptr;
  }

  // Returns the end of the call: of two attempts that of the one that may have
  // run.
  static AttemptEnd TakeEnd(const HedgedEnd& aEnd,
                            ServiceSink& aSink,
                            ServiceHedge& aHedge)
  {
    if (aEnd.mNotSent[0]) {
      aSink.NoteNotSent();
    }
    if (aEnd.mNotSent[1]) {
      aHedge.Sink()->NoteNotSent();
    }
    return aEnd.mHasHedge && aSink.End().mNotRun ? aHedge.Sink()->End()
                                                 : aSink.End();
  }

  // Waits a moment for a server, as its home may just change.
  std::optional<ServerChoice> AwaitChoice(RequestContext& aContext,
                                          const std::set<ServerId>& aTried)
  {
    const auto end =
      std::min(aContext.mDeadline, MonotonicNow() + kNoServerPatience);
    while (true) {
      aContext.mRouting = mParts.mHomes.View();
      auto choice = mParts.mLocator.Choose(aContext, PromptBlocks(), aTried);
      const bool isLast =
        !aTried.empty() && !ServerLocator::HasOther(aContext, aTried);
      if (choice || isLast || MonotonicNow() >= end ||
          !aContext.mResponder.IsPeerOpen() ||
          !aContext.mThread.GetLoop().Sleep(kHomeLostPause)) {
        return choice;
      }
    }
  }

  static AttemptEnd NoServer()
  {
    return { false,
             RefusalReason::NoServer,
             "no server of the service takes work now",
             kServiceRetry };
  }

  bool MayRetry(RequestContext& aContext,
                const AttemptEnd& aLast,
                const std::set<ServerId>& aTried)
  {
    if (aLast.mNotRun && aLast.mReason != RefusalReason::Conflict) {
      return aContext.mDeadline > MonotonicNow() &&
             aLast.mReason != RefusalReason::PlatformUnavailable;
    }
    auto query = MakeRetryQuery(aContext, aTried);
    query.mCandidates = CandidatesOf(aContext);
    return mParts.mRetries.Decide(query, MonotonicNow()).mVerdict ==
           RetryVerdict::Retry;
  }

  static std::optional<Refusal> GiveUp(RequestContext& aContext,
                                       const AttemptEnd& aLast)
  {
    const auto retryAfter = aLast.mReason == RefusalReason::Conflict
                              ? std::optional<Duration>()
                              : std::max(aLast.mRetryAfter, kServiceRetry);
    return aContext.Refuse(aLast.CallerReason(), aLast.mText, retryAfter);
  }

  static void SendAnswer(RequestContext& aContext,
                         const ServiceResponse& aAnswer)
  {
    HttpResponse response;
    response.mStatus = aAnswer.mStatus;
    response.mHeaders.push_back({ "Content-Type", aAnswer.mContentType });
    response.mBody = aAnswer.mBody;
    (void)aContext.mResponder.Send(std::move(response));
  }

  DispatchParts mParts;
  // Times of repeatable calls by service.
  std::map<std::string, TypicalTime> mTypical;
};

} // namespace

std::unique_ptr<RequestFilter>
MakeServiceDispatcher(const DispatchParts& aParts)
{
  return std::make_unique<ServiceDispatcher>(aParts);
}

} // namespace bilberrytrail
