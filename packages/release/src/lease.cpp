#include <bilberrytrail/release/lease.h>

#include "row_fields.h"

namespace bilberrytrail {

using nlohmann::json;

std::string
ToText(const LeaseRow& aRow)
{
  const json object = { { "holder", aRow.mHolder.Text() },
                        { "epoch", aRow.mEpoch.Value() },
                        { "write", aRow.mWriteNumber } };
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<LeaseRow>
LeaseRowFromText(std::string_view aText)
{
  const json object = json::parse(aText.begin(), aText.end(), nullptr, false);
  RowFields fields(object);
  LeaseRow row;
  row.mHolder = DaemonId(fields.Text("holder"));
  row.mEpoch = FencingNumber(fields.Unsigned("epoch"));
  row.mWriteNumber = fields.Unsigned("write");
  if (!fields.IsOk()) {
    return Fail(ErrorCode::Corrupt, "lease row: unexpected content");
  }
  return row;
}

std::string
LeaseKey(std::uint32_t aShard)
{
  return "lease/" + std::to_string(aShard);
}

Lease::Lease(std::string aKey, DaemonId aSelf, LeaseSettings aSettings)
  : mKey(std::move(aKey))
  , mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

std::optional<FencingNumber>
Lease::EpochForOrder(Instant aNow) const noexcept
{
  const bool hasTime = aNow < mConfirmedAt + mSettings.mLength;
  return mEpoch && mWanted && hasTime ? mEpoch : std::nullopt;
}

const std::optional<LeaseRow>&
Lease::LastSeen() const noexcept
{
  return mSeen;
}

bool
Lease::IsRelinquishing() const noexcept
{
  return !mWanted && (mEpoch || mGivingBack);
}

Instant
Lease::NextTick() const noexcept
{
  if (mCall) {
    return mCall->mSentAt + mSettings.mCallTimeout;
  }
  if (mEpoch && !mMustRead) {
    return mWanted ? mConfirmedAt + mSettings.mRenewAfter : Instant();
  }
  return mWanted || mGivingBack ? mNextRead : Instant::max();
}

void
Lease::SetWanted(bool aWanted) noexcept
{
  mWanted = aWanted;
  if (mWanted) {
    mGivingBack.reset();
  }
}

std::optional<LeaseAction>
Lease::Tick(Instant aNow)
{
  if (mCall) {
    if (aNow < mCall->mSentAt + mSettings.mCallTimeout) {
      return std::nullopt;
    }
    mCall.reset();
    mMustRead = true;
  }
  if (mEpoch && aNow >= mConfirmedAt + mSettings.mLength) {
    // Lapsed: from here on an observer like others.
    mEpoch.reset();
    mMustRead = true;
  }
  if (!mWanted && !mEpoch && !mGivingBack) {
    return std::nullopt;
  }
  if (mMustRead) {
    return aNow >= mNextRead ? std::optional(Read(aNow)) : std::nullopt;
  }
  if (!mEpoch && mGivingBack) {
    return TickGivingBack(aNow);
  }
  return mEpoch ? TickHolder(aNow) : TickObserver(aNow);
}

// The row was read behind a give-back whose reply was lost.
std::optional<LeaseAction>
Lease::TickGivingBack(Instant aNow)
{
  const bool isOurs =
    mSeen && mSeen->mHolder == mSelf && mSeen->mEpoch == *mGivingBack;
  if (!isOurs) {
    mGivingBack.reset();
    return std::nullopt;
  }
  return Write(DaemonId(), *mGivingBack, aNow);
}

std::optional<LeaseAction>
Lease::TickHolder(Instant aNow)
{
  if (!mWanted) {
    mGivingBack = std::exchange(mEpoch, std::nullopt);
    return Write(DaemonId(), *mGivingBack, aNow);
  }
  if (aNow < mConfirmedAt + mSettings.mRenewAfter) {
    return std::nullopt;
  }
  return Write(mSelf, *mEpoch, aNow);
}

std::optional<LeaseAction>
Lease::TickObserver(Instant aNow)
{
  if (MayTake(aNow)) {
    const FencingNumber last = mSeen ? mSeen->mEpoch : FencingNumber();
    return Write(mSelf, last.Next(), aNow);
  }
  return aNow >= mNextRead ? std::optional(Read(aNow)) : std::nullopt;
}

// A row that is absent or given back is free, and so is one that still names
// this daemon: nobody else can have sent orders since it lapsed. Otherwise the
// holder's orders must have ended, seen from the last change of the row.
bool
Lease::MayTake(Instant aNow) const
{
  if (!mSeen || mSeen->mHolder.IsEmpty() || mSeen->mHolder == mSelf) {
    return true;
  }
  return mChangedAt &&
         aNow >= *mChangedAt + mSettings.mLength + mSettings.mMaxOrderDuration;
}

LeaseAction
Lease::Read(Instant aNow)
{
  mNextRead = aNow + mSettings.mReadInterval;
  mCall = Call{ ++mSequence, aNow, false };
  return LeaseRead{ mSequence, mKey };
}

LeaseAction
Lease::Write(DaemonId aHolder, FencingNumber aEpoch, Instant aNow)
{
  mCall = Call{ ++mSequence, aNow, true };
  const LeaseRow row{ std::move(aHolder), aEpoch, mSequence };
  mPending.push_back({ row, mSeenVersion, aNow });
  return LeaseWrite{ mSequence, { mKey, ToText(row), mSeenVersion } };
}

void
Lease::OnRead(std::uint64_t aSequence,
              const CallResult<std::optional<TableRow>>& aResult,
              Instant aNow)
{
  if (!mCall || mCall->mIsWrite || mCall->mSequence != aSequence) {
    return;
  }
  mCall.reset();
  if (aResult) {
    mMustRead = false;
    See(aResult.value(), aNow);
  }
}

// A row that changed restarts the observer's wait. The row that a write with
// a lost reply was to make proves that the write took effect.
void
Lease::See(const std::optional<TableRow>& aRow, Instant aNow)
{
  const std::uint64_t version = aRow ? aRow->mVersion : 0;
  const bool changed = version != mSeenVersion || !mChangedAt;
  mSeen.reset();
  if (aRow) {
    const auto row = LeaseRowFromText(aRow->mValue);
    // A row that cannot be read is never taken over.
    mSeen = row ? row.value() : LeaseRow{ DaemonId("?"), FencingNumber() };
    mMustRead = mMustRead || !row;
  }
  mSeenVersion = version;
  if (changed) {
    mChangedAt = aNow;
  }
  for (const auto& it : mPending) {
    if (mSeen == it.mRow) {
      Confirm(it);
    }
  }
  std::erase_if(mPending, [&](const Pending& aWrite) {
    return aWrite.mExpectedVersion < version;
  });
  const bool isOurs =
    mEpoch && mSeen && mSeen->mHolder == mSelf && mSeen->mEpoch == *mEpoch;
  if (!isOurs) {
    mEpoch.reset();
  }
}

void
Lease::Confirm(const Pending& aWrite)
{
  if (aWrite.mRow.mHolder != mSelf) {
    mEpoch.reset();
    mGivingBack.reset();
    return;
  }
  mEpoch = aWrite.mRow.mEpoch;
  mConfirmedAt = aWrite.mSentAt;
}

void
Lease::OnWrite(std::uint64_t aSequence,
               const CallResult<CommitOutcome>& aResult,
               Instant aNow)
{
  if (!mCall || !mCall->mIsWrite || mCall->mSequence != aSequence) {
    return;
  }
  mCall.reset();
  if (!aResult || !aResult.value().mCommitted) {
    // Lost, or overtaken by another write, perhaps an earlier one of this
    // daemon whose reply was lost: the row tells.
    mMustRead = true;
    return;
  }
  const Pending write = mPending.back();
  mPending.clear();
  mSeen = write.mRow;
  const auto version = aResult.value().mNewVersion;
  mSeenVersion = version > 0 ? version : write.mExpectedVersion + 1;
  mChangedAt = aNow;
  Confirm(write);
}

} // namespace bilberrytrail
