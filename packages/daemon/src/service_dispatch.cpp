#include "dispatch.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/orders/claim_row.h>

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
  [[nodiscard]] const std::optional<ServiceAnswer>& Answer() const noexcept
  {
    return mAnswer;
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
  std::optional<ServiceAnswer> mAnswer;
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
      const auto result = RunAtHome(aContext, mParts.mHomes, request, sink);
      if (sink.Answer()) {
        SendAnswer(aContext, *sink.Answer());
        return std::nullopt;
      }
      last = sink.End();
      if (!result && result.error().mSent == SendState::NotSent) {
        last.mNotRun = aContext.mLedger.MarkRejected(attempt).has_value();
        last.mReason = RefusalReason::Draining;
        last.mText = "the server's home could not be reached";
      }
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

  static HomeRequest MakeRequest(RequestContext& aContext,
                                 const ServerChoice& aChoice)
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
      request.mClaimRowKey =
        ClaimRowKey(aContext.mAccount.mProduct,
                    aContext.mAccount.mAccount,
                    IdempotencyKey(service.mIdempotencyKey));
    }
    return request;
  }

  bool MayRetry(RequestContext& aContext,
                const AttemptEnd& aLast,
                const std::set<ServerId>& aTried)
  {
    if (aLast.mNotRun && aLast.mReason != RefusalReason::Conflict) {
      return aContext.mDeadline > MonotonicNow() &&
             aLast.mReason != RefusalReason::PlatformUnavailable;
    }
    RetryQuery query;
    query.mIdempotent = aContext.mService->mRepeatable;
    query.mCostTokens = aContext.mEstimate.CostTokens();
    query.mDeadline = aContext.mDeadline;
    query.mTried.assign(aTried.begin(), aTried.end());
    query.mCandidates = aContext.mView->UsableServers(
      aContext.mAccount.mProduct,
      VmRole::Service,
      aContext.mProduct->mServices.at(aContext.mService->mService).mGroup);
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

  static void SendAnswer(RequestContext& aContext, const ServiceAnswer& aAnswer)
  {
    HttpResponse response;
    response.mStatus = aAnswer.mStatus;
    response.mHeaders.push_back({ "Content-Type", aAnswer.mContentType });
    response.mBody = aAnswer.mBody;
    (void)aContext.mResponder.Send(std::move(response));
  }

  DispatchParts mParts;
};

} // namespace

std::unique_ptr<RequestFilter>
MakeServiceDispatcher(const DispatchParts& aParts)
{
  return std::make_unique<ServiceDispatcher>(aParts);
}

} // namespace bilberrytrail
