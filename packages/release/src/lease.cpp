#include <bilberrytrail/release/lease.h>

#include "row_fields.h"

namespace bilberrytrail {

using nlohmann::json;

namespace {

// Epochs of one era; many more than there are changes of holder.
constexpr std::uint64_t kEpochsPerEra = 1ULL << 32U;

} // namespace

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
    return Fail(ErrorCode::Corrupt,
                "lease row: expected a JSON object with holder, epoch and "
                "write, got " +
                  std::to_string(aText.size()) + " bytes of other content");
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
  return !mWanted && (mEpoch || mRelinquishing);
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
  return mWanted || mRelinquishing ? mNextRead : Instant::max();
}

std::string
Lease::Key() const
{
  return mEra == 0 ? mKey : mKey + "@" + std::to_string(mEra);
}

void
Lease::SetEra(std::uint64_t aEra, Instant aNow)
{
  if (aEra <= mEra) {
    return;
  }
  mEra = aEra;
  mEraSince = aNow;
  mCall.reset();
  mPending.clear();
  mMustRead = true;
  mNextRead = aNow;
  mSeen.reset();
  mSeenVersion = 0;
  mChangedAt.reset();
  mEpoch.reset();
  mRelinquishing.reset();
}

void
Lease::SetWanted(bool aWanted) noexcept
{
  mWanted = aWanted;
  if (mWanted) {
    mRelinquishing.reset();
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
    // Expired: this daemon is an observer from here on.
    mEpoch.reset();
    mMustRead = true;
  }
  if (!mWanted && !mEpoch && !mRelinquishing) {
    return std::nullopt;
  }
  if (mMustRead) {
    return aNow >= mNextRead ? std::optional(Read(aNow)) : std::nullopt;
  }
  if (!mEpoch && mRelinquishing) {
    return TickRelinquishing(aNow);
  }
  return mEpoch ? TickHolder(aNow) : TickObserver(aNow);
}

// Called once the row was read back after a relinquishing write whose reply
// was lost.
std::optional<LeaseAction>
Lease::TickRelinquishing(Instant aNow)
{
  const bool isOurs =
    mSeen && mSeen->mHolder == mSelf && mSeen->mEpoch == *mRelinquishing;
  if (!isOurs) {
    mRelinquishing.reset();
    return std::nullopt;
  }
  return Write(DaemonId(), *mRelinquishing, aNow);
}

std::optional<LeaseAction>
Lease::TickHolder(Instant aNow)
{
  if (!mWanted) {
    mRelinquishing = std::exchange(mEpoch, std::nullopt);
    return Write(DaemonId(), *mRelinquishing, aNow);
  }
  if (aNow < mConfirmedAt + mSettings.mRenewAfter) {
    return std::nullopt;
  }
  return Write(mSelf, *mEpoch, aNow);
}

std::optional<LeaseAction>
Lease::TickObserver(Instant aNow)
{
  if (CanAcquire(aNow)) {
    const FencingNumber last =
      mSeen ? mSeen->mEpoch : FencingNumber(mEra * kEpochsPerEra);
    return Write(mSelf, last.Next(), aNow);
  }
  return aNow >= mNextRead ? std::optional(Read(aNow)) : std::nullopt;
}

// A relinquished row is free, and so is one that still names this daemon: no
// other daemon can have sent orders since it expired. Otherwise the lease and
// its holder's last order must have ended, counted from the last observed
// change of the row. While the row is absent, the holder may be one of an
// earlier era.
bool
Lease::CanAcquire(Instant aNow) const
{
  if (!mSeen) {
    return mEra == 0 || aNow >= mEraSince + TakeoverWait();
  }
  if (mSeen->mHolder.IsEmpty() || mSeen->mHolder == mSelf) {
    return true;
  }
  return mChangedAt && aNow >= *mChangedAt + TakeoverWait();
}

LeaseAction
Lease::Read(Instant aNow)
{
  mNextRead = aNow + mSettings.mReadInterval;
  mCall = Call{ ++mSequence, aNow, false };
  return LeaseRead{ mSequence, Key() };
}

LeaseAction
Lease::Write(DaemonId aHolder, FencingNumber aEpoch, Instant aNow)
{
  mCall = Call{ ++mSequence, aNow, true };
  const LeaseRow row{ std::move(aHolder), aEpoch, mSequence };
  mPending.push_back({ row, mSeenVersion, aNow });
  return LeaseWrite{ mSequence, { Key(), ToText(row), mSeenVersion } };
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
    ApplyRow(aResult.value(), aNow);
  }
}

// A changed row restarts the observer's wait. A row equal to that of a write
// with a lost reply proves that the write took effect.
void
Lease::ApplyRow(const std::optional<TableRow>& aRow, Instant aNow)
{
  const std::uint64_t version = aRow ? aRow->mVersion : 0;
  const bool changed = version != mSeenVersion || !mChangedAt;
  mSeen.reset();
  if (aRow) {
    const auto row = LeaseRowFromText(aRow->mValue);
    // A row that cannot be decoded is never taken over.
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
    mRelinquishing.reset();
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
    // The reply was lost, or another write came first, possibly an earlier one
    // of this daemon whose reply was lost. Reading the row decides.
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
