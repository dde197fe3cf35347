#include <bilberrytrail/orders/claim.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail {

namespace {

constexpr unsigned kStatusBadGateway = 502;

RecordedAnswer
ToRecordable(const RecordedAnswer& aAnswer)
{
  RecordedAnswer kept = aAnswer;
  if (kept.mBody.size() > kMaxRecordedBodyBytes) {
    kept.mBody.clear();
    kept.mBodyOmitted = true;
  }
  return kept;
}

} // namespace

ClaimedCall::ClaimedCall(ClaimRequest aRequest, const ClaimLimits& aLimits)
  : mRequest(std::move(aRequest))
  , mLimits(aLimits)
  , mNextDelay(aLimits.mOutcomeRetryDelay)
{
}

bool
ClaimedCall::IsFinished() const noexcept
{
  return mPhase == Phase::Finished;
}

ClaimActions
ClaimedCall::Start(Instant /*aNow*/)
{
  mPhase = Phase::Reading;
  ClaimAction action;
  action.mKind = ClaimActionKind::ReadRow;
  action.mWrite.mKey = mRequest.mRowKey;
  return { action };
}

ClaimActions
ClaimedCall::OnRowRead(const CallResult<std::optional<TableRow>>& aRow,
                       Instant aNow)
{
  if (mPhase != Phase::Reading && mPhase != Phase::ReadingBack) {
    return {};
  }
  if (!aRow) {
    if (mPhase == Phase::Reading) {
      return Finish(ClaimVerdict::RefuseNotRun,
                    "the table service cannot be reached");
    }
    return RecordNotRun("the claim could not be confirmed", true);
  }
  const auto& row = aRow.value();
  return row ? EvaluateRow(*row, aNow) : WriteClaim(0, aNow);
}

ClaimActions
ClaimedCall::OnClaimWritten(const CallResult<CommitOutcome>& aOutcome,
                            Instant aNow)
{
  if (mPhase != Phase::Claiming) {
    return {};
  }
  if (!aOutcome && aOutcome.error().mDisposition == CallDisposition::NotRun &&
      mClaimWrites == 1) {
    return Finish(ClaimVerdict::RefuseNotRun,
                  "the table service cannot be reached");
  }
  if (!aOutcome) {
    auto actions = Start(aNow);
    mPhase = Phase::ReadingBack;
    return actions;
  }
  if (aOutcome.value().mCommitted) {
    return BecomeReady(mVersion + 1);
  }
  for (const auto& row : aOutcome.value().mCurrent) {
    if (row.mKey == mRequest.mRowKey) {
      return row.mVersion == 0 ? WriteClaim(0, aNow) : EvaluateRow(row, aNow);
    }
  }
  return RecordNotRun("the claim conflicted with another write", true);
}

ClaimActions
ClaimedCall::EvaluateRow(const TableRow& aRow, Instant aNow)
{
  const auto row = DecodeClaimRow(aRow.mValue);
  if (!row) {
    return Finish(ClaimVerdict::RefuseUnknown, row.error().mMessage);
  }
  const bool isOurs = row.value().mAttempt == mRequest.mAttempt;
  if (isOurs && row.value().mState == ClaimState::Claimed) {
    return BecomeReady(aRow.mVersion);
  }
  return EvaluateOtherAttempt(row.value(), aRow.mVersion, aNow);
}

ClaimActions
ClaimedCall::EvaluateOtherAttempt(const ClaimRow& aRow,
                                  std::uint64_t aVersion,
                                  Instant aNow)
{
  if (aRow.mCallHash != mRequest.mCallHash) {
    return Finish(ClaimVerdict::RefuseConflict,
                  "the Idempotency-Key was used for another call");
  }
  switch (aRow.mState) {
    case ClaimState::Claimed:
      return Finish(ClaimVerdict::RefuseUnknown,
                    "the call was begun before; its outcome is not known");
    case ClaimState::NotRun:
      return WriteClaim(aVersion, aNow);
    case ClaimState::Answered:
      break;
  }
  if (aRow.mAnswer.mBodyOmitted) {
    return Finish(ClaimVerdict::RefuseUnknown,
                  "the call ran; its answer was too large to be kept");
  }
  return Finish(ClaimVerdict::AnswerRecorded, {}, aRow.mAnswer);
}

ClaimActions
ClaimedCall::WriteClaim(std::uint64_t aVersion, Instant aNow)
{
  if (mClaimWrites >= mLimits.mMaxClaimWrites || aNow >= mRequest.mDeadline) {
    if (mClaimWrites == 0) {
      return Finish(ClaimVerdict::RefuseNotRun, "the deadline has passed");
    }
    mVersion = aVersion;
    return RecordNotRun("the claim could not be written in time", true);
  }
  mPhase = Phase::Claiming;
  mVersion = aVersion;
  ++mClaimWrites;
  mClaimedAt = aNow;
  return { MakeWrite(
    ClaimActionKind::WriteClaim, ClaimState::Claimed, aVersion) };
}

ClaimActions
ClaimedCall::BecomeReady(std::uint64_t aVersion)
{
  mPhase = Phase::Ready;
  mVersion = aVersion;
  ClaimAction action;
  action.mKind = ClaimActionKind::Invoke;
  return { action };
}

bool
ClaimedCall::BeginSend(Instant aNow)
{
  if (mPhase != Phase::Ready) {
    return false;
  }
  const bool isValid = aNow - mClaimedAt < mLimits.mClaimValidity;
  if (!isValid || aNow >= mRequest.mDeadline) {
    mPhase = Phase::Expired;
    return false;
  }
  mPhase = Phase::Running;
  ++mSends;
  return true;
}

ClaimActions
ClaimedCall::OnSendSkipped(Instant /*aNow*/)
{
  if (mPhase != Phase::Ready && mPhase != Phase::Expired) {
    return {};
  }
  return RecordNotRun("the claim or the deadline ran out before the send",
                      false);
}

ClaimActions
ClaimedCall::OnServiceResult(const CallResult<RecordedAnswer>& aResult,
                             Instant aNow)
{
  if (mPhase != Phase::Running) {
    return {};
  }
  if (!aResult && aResult.error().mDisposition == CallDisposition::Unknown) {
    return Finish(ClaimVerdict::RefuseUnknown,
                  "the service's answer was lost; the call may have run");
  }
  if (!aResult && aResult.error().mDisposition == CallDisposition::NotRun) {
    if (mSends < mLimits.mMaxSends && aNow < mRequest.mDeadline) {
      return BecomeReady(mVersion);
    }
    return RecordNotRun("the service did not run the call", false);
  }
  RecordedAnswer answer;
  if (aResult) {
    answer = aResult.value();
  } else {
    answer.mStatus = kStatusBadGateway;
    answer.mContentType = "text/plain";
    answer.mBody = aResult.error().mError.mMessage;
  }
  mPhase = Phase::Recording;
  mOutcome = ClaimState::Answered;
  mAnswer = ToRecordable(answer);
  auto actions = NextOutcomeWrite(mVersion);
  actions.push_back(Answer(ClaimVerdict::Proceed, {}, std::move(answer)));
  return actions;
}

ClaimActions
ClaimedCall::OnOutcomeWritten(const CallResult<CommitOutcome>& aOutcome,
                              Instant /*aNow*/)
{
  if (mPhase != Phase::Recording) {
    return {};
  }
  auto actions = CheckOutcomeWrite(aOutcome);
  if (!mIsAnswered) {
    actions.push_back(Answer(ClaimVerdict::RefuseNotRun, mRefusalMessage));
  }
  return actions;
}

ClaimActions
ClaimedCall::CheckOutcomeWrite(const CallResult<CommitOutcome>& aOutcome)
{
  if (!aOutcome) {
    return NextOutcomeWrite(mVersion);
  }
  for (const auto& current : aOutcome.value().mCurrent) {
    if (current.mKey != mRequest.mRowKey || current.mVersion == 0) {
      continue;
    }
    const auto row = DecodeClaimRow(current.mValue);
    if (row && row.value().mAttempt == mRequest.mAttempt &&
        row.value().mState == ClaimState::Claimed) {
      return NextOutcomeWrite(current.mVersion);
    }
  }
  mPhase = Phase::Finished;
  return {};
}

ClaimActions
ClaimedCall::Finish(ClaimVerdict aVerdict,
                    std::string aMessage,
                    RecordedAnswer aAnswer)
{
  mPhase = Phase::Finished;
  return { Answer(aVerdict, std::move(aMessage), std::move(aAnswer)) };
}

ClaimActions
ClaimedCall::RecordNotRun(std::string aMessage, bool aAnswerNow)
{
  mPhase = Phase::Recording;
  mOutcome = ClaimState::NotRun;
  auto actions = NextOutcomeWrite(mVersion);
  if (aAnswerNow) {
    actions.push_back(Answer(ClaimVerdict::RefuseNotRun, std::move(aMessage)));
  } else {
    mRefusalMessage = std::move(aMessage);
  }
  return actions;
}

ClaimActions
ClaimedCall::NextOutcomeWrite(std::uint64_t aVersion)
{
  mVersion = aVersion;
  if (mOutcomeWrites >= mLimits.mMaxOutcomeWrites) {
    mPhase = Phase::Finished;
    return {};
  }
  auto action = MakeWrite(ClaimActionKind::WriteOutcome, mOutcome, aVersion);
  if (mOutcomeWrites > 0) {
    action.mDelay = mNextDelay;
    mNextDelay = std::min(mNextDelay * 2, mLimits.mMaxOutcomeRetryDelay);
  }
  ++mOutcomeWrites;
  return { action };
}

ClaimAction
ClaimedCall::MakeWrite(ClaimActionKind aKind,
                       ClaimState aState,
                       std::uint64_t aVersion) const
{
  ClaimRow row;
  row.mState = aState;
  row.mAttempt = mRequest.mAttempt;
  row.mCallHash = mRequest.mCallHash;
  row.mWrittenAtMs = mRequest.mWallClockMs;
  row.mAnswer = aState == ClaimState::Answered ? mAnswer : RecordedAnswer();
  ClaimAction action;
  action.mKind = aKind;
  action.mWrite = TableWrite{ mRequest.mRowKey, EncodeClaimRow(row), aVersion };
  return action;
}

ClaimAction
ClaimedCall::Answer(ClaimVerdict aVerdict,
                    std::string aMessage,
                    RecordedAnswer aAnswer)
{
  mIsAnswered = true;
  ClaimAction action;
  action.mKind = ClaimActionKind::AnswerCaller;
  action.mVerdict = aVerdict;
  action.mMessage = std::move(aMessage);
  action.mAnswer = std::move(aAnswer);
  return action;
}

} // namespace bilberrytrail
