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
ReleaseAppend::Settle()
{
  mPhase = Phase::Settle;
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
      return OnSettled(aResult.value());
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
    return Settle();
  }
  if (mHeadNumber < mNote.mAgainst) {
    return Finish(AppendOutcome::Rejected,
                  mHeadNumber,
                  "the note was written against a release that does not exist");
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
    return Finish(
      AppendOutcome::Rejected, mHeadNumber, "the release row is missing");
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
    RetryOrGiveUp(aResult ? "conflicts" : aResult.error().mError.mMessage);
  return std::holds_alternative<AppendResult>(next) ? next : Settle();
}

// The release row tells which note has the number. While it is absent, a lost
// commit may still be under way; sending the same one again is safe, as at
// most one of them can take effect.
AppendStep
ReleaseAppend::OnSettled(const std::optional<TableRow>& aRow)
{
  if (!aRow) {
    if (mWrites.empty()) {
      return Finish(AppendOutcome::Rejected,
                    mHeadNumber,
                    "the release row of the note's number is missing");
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
                  " is another note");
}

AppendStep
ReleaseAppend::RetryOrGiveUp(const std::string& aReason)
{
  if (++mFailures < kMaxTableFailures) {
    return mPhase == Phase::Settle ? Settle() : ReadHead();
  }
  return Finish(mMayHaveWritten ? AppendOutcome::Unknown
                                : AppendOutcome::NotApplied,
                mHeadNumber,
                "the table service does not answer: " + aReason);
}

AppendResult
ReleaseAppend::Finish(AppendOutcome aOutcome,
                      ReleaseNumber aNumber,
                      std::string aMessage) const
{
  return { aOutcome, aNumber, std::move(aMessage) };
}

} // namespace bilberrytrail
