#include <bilberrytrail/cache/block_lifecycle.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail {

namespace {

constexpr std::uint32_t kMaxSealAttempts = 3;
constexpr std::uint32_t kMaxFreeAttempts = 3;

BlockAction
MakeAction(BlockActionKind aKind, std::vector<BlockRef> aRefs)
{
  BlockAction action;
  action.mKind = aKind;
  action.mRefs = std::move(aRefs);
  return action;
}

bool
Contains(const std::vector<BlockRef>& aRefs, const BlockRef& aRef)
{
  return std::find(aRefs.begin(), aRefs.end(), aRef) != aRefs.end();
}

} // namespace

BlockExport::BlockExport(BlockId aBlock, std::uint64_t aBytes)
{
  mRef.mBlock = aBlock;
  mRef.mBytes = aBytes;
}

BlockActions
BlockExport::Start()
{
  return { MakeAction(BlockActionKind::Reserve, { mRef }) };
}

BlockActions
BlockExport::OnReserved(const CallResult<BlockRef>& aRef)
{
  // A reservation whose reply was lost cannot be freed without its
  // generation; the store drops it after the store's own timeout.
  if (!aRef || aRef.value().mBlock != mRef.mBlock) {
    mIsFinished = true;
    return {};
  }
  mRef.mGeneration = aRef.value().mGeneration;
  return { MakeAction(BlockActionKind::OrderExport, { mRef }) };
}

BlockActions
BlockExport::OnExported(const CallResult<std::vector<BlockRef>>& aWritten)
{
  if (!aWritten) {
    return Abort();
  }
  for (const auto& ref : aWritten.value()) {
    if (ref.mBlock == mRef.mBlock && ref.mGeneration == mRef.mGeneration) {
      mRef = ref;
      ++mSealAttempts;
      return { MakeAction(BlockActionKind::Seal, { mRef }) };
    }
  }
  return Abort();
}

BlockActions
BlockExport::OnSealed(const CallResult<void>& aResult)
{
  if (aResult) {
    mIsFinished = true;
    mSealed = mRef;
    return {};
  }
  if (aResult.error().mDisposition != CallDisposition::Unknown) {
    return Abort();
  }
  if (mSealAttempts < kMaxSealAttempts) {
    ++mSealAttempts;
    return { MakeAction(BlockActionKind::Seal, { mRef }) };
  }
  // Whether the block is sealed is unknown; the store's next inventory shows
  // it.
  mIsFinished = true;
  return {};
}

BlockActions
BlockExport::Abort()
{
  mIsFinished = true;
  return { MakeAction(BlockActionKind::Free, { mRef }) };
}

BlockImport::BlockImport(std::vector<BlockRef> aRequested,
                         Duration aExpectedTransfer,
                         const ImportLimits& aLimits)
  : mRequested(std::move(aRequested))
  , mExpectedTransfer(aExpectedTransfer)
  , mLimits(aLimits)
{
}

BlockActions
BlockImport::Start(Instant aNow)
{
  mPinRequestedAt = aNow;
  auto action = MakeAction(BlockActionKind::Pin, mRequested);
  action.mDuration =
    std::max(mLimits.mPinDuration, mExpectedTransfer + 2 * mLimits.mPinMargin);
  return { action };
}

BlockActions
BlockImport::OnPinned(const CallResult<std::vector<BlockPin>>& aPins,
                      Instant /*aNow*/)
{
  // Pins whose reply was lost expire in the store.
  if (!aPins) {
    mIsFinished = true;
    return {};
  }
  mPinEnd = Instant::max();
  for (const auto& pin : aPins.value()) {
    mPins.push_back(pin.mPin);
    if (Contains(mRequested, pin.mRef)) {
      mPinned.push_back(pin.mRef);
      // The store counts the remaining time from its response. Counting it from
      // the request, which was sent earlier, never overestimates the pin.
      mPinEnd = std::min(mPinEnd, mPinRequestedAt + pin.mRemaining);
    }
  }
  if (mPinned.empty()) {
    return Unpin();
  }
  return { MakeAction(BlockActionKind::OrderImport, mPinned) };
}

bool
BlockImport::BeginImport(Instant aNow)
{
  const bool isDue = !mIsFinished && !mIsOrdered && !mPinned.empty();
  if (!isDue || aNow + mExpectedTransfer + mLimits.mPinMargin > mPinEnd) {
    return false;
  }
  mIsOrdered = true;
  return true;
}

BlockActions
BlockImport::OnImportSkipped()
{
  return mIsOrdered || mIsFinished ? BlockActions() : Unpin();
}

BlockActions
BlockImport::OnImported(const CallResult<std::vector<BlockRef>>& aRead,
                        Instant aNow)
{
  if (!mIsOrdered || mIsFinished) {
    return {};
  }
  if (!aRead && aRead.error().mDisposition == CallDisposition::Unknown) {
    // The server may still be reading, so the pins are left to expire.
    mIsFinished = true;
    return {};
  }
  if (!aRead) {
    return Unpin();
  }
  const bool isInTime = aNow < mPinEnd;
  for (const auto& ref : aRead.value()) {
    const bool isUsable = isInTime && Contains(mPinned, ref);
    (isUsable ? mUsable : mRejected).push_back(ref);
  }
  return Unpin();
}

BlockActions
BlockImport::Unpin()
{
  mIsFinished = true;
  if (mPins.empty()) {
    return {};
  }
  BlockAction action;
  action.mKind = BlockActionKind::Unpin;
  action.mPins = mPins;
  return { action };
}

BlockRelease::BlockRelease(const BlockRef& aRef)
  : mRef(aRef)
{
}

BlockActions
BlockRelease::Start()
{
  ++mFreeAttempts;
  return { MakeAction(BlockActionKind::Withdraw, { mRef }),
           MakeAction(BlockActionKind::Free, { mRef }) };
}

BlockActions
BlockRelease::OnFreed(const CallResult<void>& aResult)
{
  const bool isSettled =
    aResult || aResult.error().mDisposition != CallDisposition::Unknown;
  if (isSettled || mFreeAttempts >= kMaxFreeAttempts) {
    mIsFinished = true;
    return {};
  }
  ++mFreeAttempts;
  return { MakeAction(BlockActionKind::Free, { mRef }) };
}

} // namespace bilberrytrail
