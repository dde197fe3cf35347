#include "completion_sink.h"
#include "dispatch.h"
#include "hedged_run.h"
#include "known_sink.h"
#include "version_choice.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail {

namespace {

// Pause before the servers are asked again when none can serve.
constexpr Duration kNoServerPause = 50ms;
// Longest wait for a server that serves the version.
constexpr Duration kNoServerPatience = 10s;
constexpr Duration kNoServerRetry = 1s;

// One completion from the choice of a server to the end of its answer.
class CompletionRun : public HedgeOwner
{
public:
  CompletionRun(RequestContext& aContext, const DispatchParts& aParts)
    : mContext(aContext)
    , mParts(aParts)
    , mInForce(aContext.mVersion)
    , mAnswer(AttemptId(RandomToken()))
    , mWriter(aContext, "cmpl-" + mAnswer.Attempt().Text())
  {
  }

  std::optional<Refusal> Execute();

  [[nodiscard]] std::vector<ServerId> Candidates() const override
  {
    return mContext.mRouting->UsableServers(
      mContext.mAccount.mProduct, VmRole::Engine, {});
  }
  [[nodiscard]] std::optional<HomeRequest> MakeHedge() override;
  [[nodiscard]] FrameSink& HedgeSink() override { return *mHedgeSink; }
  void OnHedgeWins() override;

private:
  [[nodiscard]] std::optional<ServerChoice> AwaitChoice();
  [[nodiscard]] std::optional<ServerChoice> ChooseServer();
  // Chooses among the servers of one weight version.
  [[nodiscard]] std::optional<ServerChoice> ChooseFor(
    const VersionId& aVersion);
  void UseVersion(const VersionId& aVersion);
  [[nodiscard]] HomeRequest MakeRequest(const ServerChoice& aChoice) const;
  [[nodiscard]] RetryQuery MakeRetryQuery() const;
  // Runs one attempt; true when the request has ended.
  [[nodiscard]] bool RunAttempt(const ServerChoice& aChoice);
  // Takes what the attempt and its hedge have come to.
  void TakeEnd(const HedgedEnd& aEnd, CompletionSink& aSink);
  [[nodiscard]] bool MayRetry();
  [[nodiscard]] std::optional<Refusal> Finish();
  [[nodiscard]] std::optional<Refusal> GiveUp();
  [[nodiscard]] Duration TimeLeft() const
  {
    return mContext.mDeadline - MonotonicNow();
  }

  RequestContext& mContext;
  const DispatchParts& mParts;
  // Weight version of the model by the release in force at admission.
  VersionId mInForce;
  PromptBlocks mBlocks;
  // The blocks are those of the context's weight version.
  bool mIsCut = false;
  AnswerAssembler mAnswer;
  AnswerWriter mWriter;
  // Servers that are not chosen now: those that refused since the last attempt
  // that ran, and those on which an attempt ran and broke.
  std::set<ServerId> mTried;
  std::set<ServerId> mBroken;
  ServerId mLastServer;
  AttemptEnd mLast;
  // The hedge of the present attempt.
  ServerId mHedgeServer;
  AttemptId mHedgeAttempt;
  std::optional<CompletionSink> mHedgeSink;
  bool mIsCallerGone = false;
};

std::optional<Refusal>
CompletionRun::Execute()
{
  mParts.mBudget.AddRequest(mContext.mEstimate.CostTokens());
  mParts.mHedges.NoteRequest(mContext.mEstimate.CostTokens());
  while (true) {
    const auto choice = AwaitChoice();
    if (!choice) {
      return GiveUp();
    }
    if (!mContext.mResponder.IsPeerOpen()) {
      mContext.mResponder.Abort();
      return std::nullopt;
    }
    if (RunAttempt(*choice)) {
      return Finish();
    }
    if (!MayRetry()) {
      return GiveUp();
    }
    mContext.mRetries += mLast.mIsSentBack ? 0 : 1;
  }
}

void
CompletionRun::UseVersion(const VersionId& aVersion)
{
  if (mIsCut && mContext.mVersion == aVersion) {
    return;
  }
  const CompletionRequest& request = *mContext.mCompletion;
  mContext.mVersion = aVersion;
  mIsCut = true;
  const PromptScope scope{ mContext.mAccount.mProduct,
                           mContext.mAccount.mAccount,
                           request.mModel,
                           aVersion,
                           request.mAdapter };
  mBlocks =
    SplitPrompt(scope,
                request.mPrompt,
                mParts.mSettings.mSiteKey,
                static_cast<std::uint32_t>(mParts.mSettings.mBlockBytes));
}

std::optional<ServerChoice>
CompletionRun::ChooseFor(const VersionId& aVersion)
{
  UseVersion(aVersion);
  return mParts.mLocator.Choose(mContext, mBlocks, mTried);
}

std::optional<ServerChoice>
CompletionRun::ChooseServer()
{
  if (mAnswer.NextPosition() > 0) {
    return ChooseFor(mContext.mVersion);
  }
  auto choice = ChooseFor(mInForce);
  const VersionId other = mParts.mLocator.ServedInstead();
  if (other.IsEmpty() || (choice && !IsSlowStart(*choice))) {
    return choice;
  }
  auto instead = ChooseFor(other);
  if (instead && (!choice || IsWorthOldVersion(*choice, *instead))) {
    return instead;
  }
  UseVersion(mInForce);
  return choice;
}

std::optional<ServerChoice>
CompletionRun::AwaitChoice()
{
  const auto end =
    std::min(mContext.mDeadline, MonotonicNow() + kNoServerPatience);
  while (true) {
    mContext.mRouting = mParts.mHomes.View();
    auto choice = ChooseServer();
    if (choice) {
      return choice;
    }
    if (!mTried.empty() && !ServerLocator::HasOther(mContext, mTried)) {
      return std::nullopt;
    }
    if (MonotonicNow() >= end || !mContext.mResponder.IsPeerOpen() ||
        !mContext.mThread.GetLoop().Sleep(kNoServerPause)) {
      mLast = { false,
                RefusalReason::NoServer,
                "no server serves the model's version now",
                kNoServerRetry };
      return std::nullopt;
    }
  }
}

HomeRequest
CompletionRun::MakeRequest(const ServerChoice& aChoice) const
{
  const CompletionRequest& completion = *mContext.mCompletion;
  HomeRequest request;
  request.mTarget = HomeTarget::Engine;
  request.mServer = aChoice.mServer;
  request.mProduct = mContext.mAccount.mProduct;
  request.mAccount = mContext.mAccount.mAccount;
  request.mClass = mContext.mEstimate.mClass;
  request.mFingerprint = ToText(mContext.mFingerprint);
  request.mTimeLeft = std::max<Duration>(TimeLeft(), 1ms);
  request.mCostTokens = mContext.mEstimate.CostTokens();
  request.mIsUnasked = aChoice.mIsUnasked;
  GenerateRequest& generate = request.mGenerate;
  generate.mAttempt = mAnswer.Attempt();
  generate.mModel = completion.mModel;
  generate.mVersion = mContext.mVersion;
  generate.mAdapter = completion.mAdapter;
  generate.mPrompt = completion.mPrompt;
  generate.mBlocks = mBlocks.mBlocks;
  generate.mBlockBytes = mBlocks.mBlockBytes;
  generate.mMaxTokens = completion.mMaxTokens;
  generate.mResumeText = mAnswer.Text();
  generate.mStartPosition = mAnswer.NextPosition();
  for (const auto& it : aChoice.mPlan.mImports) {
    request.mImports.push_back(it.mCopy);
  }
  return request;
}

bool
CompletionRun::RunAttempt(const ServerChoice& aChoice)
{
  mTried.insert(aChoice.mServer);
  mLastServer = aChoice.mServer;
  const AttemptId attempt = mAnswer.Attempt();
  if (!mContext.mLedger.Open(attempt) || !mContext.mLedger.MarkSent(attempt)) {
    return false;
  }
  CompletionSink sink(mContext, mAnswer, mWriter, attempt);
  auto request = MakeRequest(aChoice);
  KnownSink known(mContext, request, sink);
  const HedgeQuery query{ mContext.mEstimate.mClass,
                          MakeRetryQuery(),
                          MonotonicNow(),
                          aChoice.mPlan.mTimeToFirstToken };
  const auto end = RunHedged(mContext,
                             mParts.mHomes,
                             mParts.mHedges,
                             query,
                             std::move(request),
                             known,
                             *this);
  known.Finish();
  TakeEnd(end, sink);
  if (mAnswer.State() == AnswerState::Open) {
    mAnswer.StreamClosed();
  }
  return mAnswer.State() == AnswerState::Complete || mIsCallerGone;
}

void
CompletionRun::TakeEnd(const HedgedEnd& aEnd, CompletionSink& aSink)
{
  if (aEnd.mNotSent[0]) {
    aSink.NoteNotSent();
  }
  if (!aEnd.mHasHedge) {
    mLast = aSink.End();
    mIsCallerGone = aSink.IsCallerGone();
    return;
  }
  if (aEnd.mNotSent[1]) {
    mHedgeSink->NoteNotSent();
  }
  mIsCallerGone = aSink.IsCallerGone() || mHedgeSink->IsCallerGone();
  if (aEnd.mEnded[0] && !aSink.End().mNotRun) {
    mBroken.insert(mLastServer);
  }
  if (aEnd.mEnded[1] && !mHedgeSink->End().mNotRun) {
    mBroken.insert(mHedgeServer);
  }
  // An attempt that may have run counts before one that did not.
  const bool isHedge =
    mAnswer.Attempt() == mHedgeAttempt || aSink.End().mNotRun;
  mLast = isHedge ? mHedgeSink->End() : aSink.End();
  mLastServer = isHedge ? mHedgeServer : mLastServer;
}

std::optional<HomeRequest>
CompletionRun::MakeHedge()
{
  const auto choice = mParts.mLocator.Choose(mContext, mBlocks, mTried);
  if (!choice) {
    return std::nullopt;
  }
  mHedgeServer = choice->mServer;
  mHedgeAttempt = AttemptId(RandomToken());
  mHedgeSink.emplace(mContext, mAnswer, mWriter, mHedgeAttempt);
  auto request = MakeRequest(*choice);
  request.mGenerate.mAttempt = mHedgeAttempt;
  mTried.insert(mHedgeServer);
  return request;
}

void
CompletionRun::OnHedgeWins()
{
  mAnswer.StreamClosed();
  (void)mAnswer.BeginAttempt(mHedgeAttempt);
}

RetryQuery
CompletionRun::MakeRetryQuery() const
{
  RetryQuery query;
  query.mIdempotent = true;
  query.mCostTokens = mContext.mEstimate.CostTokens();
  query.mDeadline = mContext.mDeadline;
  query.mTried.assign(mTried.begin(), mTried.end());
  return query;
}

bool
CompletionRun::MayRetry()
{
  if (mLast.mReason == RefusalReason::Quarantined) {
    return false;
  }
  const auto& quarantine = mParts.mHomes.GetQuarantine();
  if (quarantine.Verdict(mContext.mFingerprint) ==
      QuarantineVerdict::Convicted) {
    mLast = { false,
              RefusalReason::Quarantined,
              std::string(kConvictedText),
              quarantine.Remaining(mContext.mFingerprint) };
    return false;
  }
  if (mAnswer.State() != AnswerState::Cut ||
      !mAnswer.BeginAttempt(AttemptId(RandomToken()))) {
    return false;
  }
  if (mLast.mNotRun) {
    // Nothing ran: another server costs no extra work.
    if (mLast.mIsSentBack) {
      mTried.erase(mLastServer);
    }
    if (mLast.IsHomeLost()) {
      mTried.erase(mLastServer);
      (void)mContext.mThread.GetLoop().Sleep(kHomeLostPause);
    }
    return TimeLeft() > Duration::zero();
  }
  // A server that refused before may take work by now.
  mBroken.insert(mLastServer);
  mTried = mBroken;
  mContext.mRouting = mParts.mHomes.View();
  RetryQuery query = MakeRetryQuery();
  query.mCandidates = Candidates();
  return mParts.mRetries.Decide(query, MonotonicNow()).mVerdict ==
         RetryVerdict::Retry;
}

std::optional<Refusal>
CompletionRun::Finish()
{
  const auto answer = mAnswer.Finish();
  if (!answer) {
    mContext.mIncomplete = true;
    mContext.mResponder.Abort();
    return std::nullopt;
  }
  const ObservedWork observed{ static_cast<std::uint32_t>(
                                 mContext.mEstimate.mPromptTokens),
                               mAnswer.NextPosition() };
  mParts.mEstimator.Learn(mContext.mShape, mContext.mEstimate.mClass, observed);
  (void)mWriter.Finish(answer.value().Text(), mAnswer.NextPosition());
  return std::nullopt;
}

std::optional<Refusal>
CompletionRun::GiveUp()
{
  const auto retryAfter = mLast.mRetryAfter > Duration::zero()
                            ? std::optional(mLast.mRetryAfter)
                            : std::optional<Duration>(kNoServerRetry);
  if (!mWriter.HasBegun()) {
    return mContext.Refuse(mLast.CallerReason(), mLast.mText, retryAfter);
  }
  mWriter.Break(Refusal::Incomplete(mContext.mLedger,
                                    RefusalReason::AnswerCut,
                                    "the answer was cut: " + mLast.mText,
                                    retryAfter));
  return std::nullopt;
}

class CompletionDispatcher final : public RequestFilter
{
public:
  explicit CompletionDispatcher(const DispatchParts& aParts)
    : mParts(aParts)
  {
  }

  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    if (!aContext.mCompletion) {
      return std::nullopt;
    }
    return CompletionRun(aContext, mParts).Execute();
  }

private:
  DispatchParts mParts;
};

} // namespace

std::unique_ptr<RequestFilter>
MakeCompletionDispatcher(const DispatchParts& aParts)
{
  return std::make_unique<CompletionDispatcher>(aParts);
}

} // namespace bilberrytrail
