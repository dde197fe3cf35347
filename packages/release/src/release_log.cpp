#include <bilberrytrail/release/release_log.h>

#include <bilberrytrail/base/digest.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr int kMaxTableFailures = 5;

} // namespace

ReleaseAppend::ReleaseAppend(ReleaseNote aNote)
  : mNote(std::move(aNote))
  , mTarget(mNote.mAgainst.Next())
{
}

AppendStep
ReleaseAppend::Start()
{
  return ReadHead();
}

AppendStep
ReleaseAppend::ReadHead()
{
  mPhase = Phase::ReadHead;
  return ReadRowStep{ ReleaseHeadKey(mNote.mProduct) };
}

AppendStep
ReleaseAppend::ReadBack()
{
  mPhase = Phase::ReadBack;
  return ReadRowStep{ ReleaseRowKey(mNote.mProduct, mTarget) };
}

AppendStep
ReleaseAppend::OnRead(const CallResult<std::optional<TableRow>>& aResult)
{
  if (!aResult) {
    return RetryOrGiveUp(aResult.error().mError.mMessage);
  }
  switch (mPhase) {
    case Phase::ReadHead:
      return OnHead(aResult.value());
    case Phase::ReadBase:
      return OnBase(aResult.value());
    default:
      return OnReadBack(aResult.value());
  }
}

AppendStep
ReleaseAppend::OnHead(const std::optional<TableRow>& aRow)
{
  mHeadNumber = ReleaseNumber();
  mHeadVersion = 0;
  if (aRow) {
    const auto head = ReleaseHeadFromText(aRow->mValue);
    if (!head) {
      return Finish(AppendOutcome::Rejected, {}, head.error().mMessage);
    }
    mHeadNumber = head.value().mNumber;
    mHeadVersion = aRow->mVersion;
  }
  if (mHeadNumber >= mTarget) {
    return ReadBack();
  }
  if (mHeadNumber < mNote.mAgainst) {
    return Finish(AppendOutcome::Rejected,
                  mHeadNumber,
                  "the note was written against release " +
                    std::to_string(mNote.mAgainst.Value()) +
                    ", but the newest is " +
                    std::to_string(mHeadNumber.Value()));
  }
  if (mHeadNumber == ReleaseNumber()) {
    ProductState empty;
    empty.mProduct = mNote.mProduct;
    return Append(empty);
  }
  mPhase = Phase::ReadBase;
  return ReadRowStep{ ReleaseRowKey(mNote.mProduct, mHeadNumber) };
}

AppendStep
ReleaseAppend::OnBase(const std::optional<TableRow>& aRow)
{
  if (!aRow) {
    return Finish(AppendOutcome::Rejected,
                  mHeadNumber,
                  "the table has no row for release " +
                    std::to_string(mHeadNumber.Value()) +
                    ", which the head row names");
  }
  const auto body = ReleaseBodyFromText(aRow->mValue);
  if (!body) {
    return Finish(AppendOutcome::Rejected, mHeadNumber, body.error().mMessage);
  }
  return Append(body.value().mState);
}

AppendStep
ReleaseAppend::Append(const ProductState& aBase)
{
  auto next = ApplyNote(aBase, mNote);
  if (!next) {
    return Finish(AppendOutcome::Rejected, mHeadNumber, next.error().mMessage);
  }
  const std::string body =
    ToText(ReleaseBody{ mNote.mId, mNote.mText, std::move(next).value() });
  const ReleaseHead head{ mNote.mProduct, mTarget, mNote.mId, Sha256Hex(body) };
  mWrites = { { ReleaseRowKey(mNote.mProduct, mTarget), body, 0 },
              { NoteRowKey(mNote.mProduct, mTarget),
                ToText(NoteRow{ mNote.mId, mNote.mText }),
                0 },
              { ReleaseHeadKey(mNote.mProduct), ToText(head), mHeadVersion } };
  mWritten = WrittenRelease{ head, body };
  mPhase = Phase::Commit;
  return CommitStep{ mWrites };
}

AppendStep
ReleaseAppend::OnCommit(const CallResult<CommitOutcome>& aResult)
{
  if (aResult && aResult.value().mCommitted) {
    return Finish(AppendOutcome::Applied, mTarget, "");
  }
  if (!aResult && aResult.error().mDisposition != CallDisposition::NotRun) {
    mMayHaveWritten = true;
  }
  const AppendStep next =
    RetryOrGiveUp(aResult ? "the commit conflicted with another write"
                          : aResult.error().mError.mMessage);
  return std::holds_alternative<AppendResult>(next) ? next : ReadBack();
}

// The release row shows which note has the number. While it is absent, a
// commit with a lost reply may still be in flight; sending the same commit
// again is safe because at most one of them can take effect.
AppendStep
ReleaseAppend::OnReadBack(const std::optional<TableRow>& aRow)
{
  if (!aRow) {
    if (mWrites.empty()) {
      return Finish(AppendOutcome::Rejected,
                    mHeadNumber,
                    "the table has no row for release " +
                      std::to_string(mTarget.Value()) +
                      ", but the head row names release " +
                      std::to_string(mHeadNumber.Value()));
    }
    mPhase = Phase::Commit;
    return CommitStep{ mWrites };
  }
  const auto body = ReleaseBodyFromText(aRow->mValue);
  const bool isOurs = body && body.value().mNoteId == mNote.mId &&
                      body.value().mNoteText == mNote.mText;
  if (isOurs) {
    return Finish(mMayHaveWritten ? AppendOutcome::Applied
                                  : AppendOutcome::AlreadyApplied,
                  mTarget,
                  "");
  }
  const ReleaseNumber newest = std::max(mHeadNumber, mTarget);
  return Finish(AppendOutcome::Conflict,
                newest,
                "release " + std::to_string(mTarget.Value()) +
                  " was made from another note");
}

AppendStep
ReleaseAppend::RetryOrGiveUp(const std::string& aReason)
{
  if (++mFailures < kMaxTableFailures) {
    return mPhase == Phase::ReadBack ? ReadBack() : ReadHead();
  }
  return Finish(mMayHaveWritten ? AppendOutcome::Unknown
                                : AppendOutcome::NotApplied,
                mHeadNumber,
                "gave up after " + std::to_string(mFailures) +
                  " failed table calls, the last one: " + aReason);
}

AppendResult
ReleaseAppend::Finish(AppendOutcome aOutcome,
                      ReleaseNumber aNumber,
                      std::string aMessage) const
{
  return { aOutcome, aNumber, std::move(aMessage) };
}

} // namespace bilberrytrail
