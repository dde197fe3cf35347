#pragma once

#include <bilberrytrail/cache/block_lifecycle.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberrytrail::block_model {

// Point at which a fault is injected: before an action, or in the middle of a
// transfer.
enum class Step : unsigned char
{
  Reserve,
  OrderExport,
  Seal,
  Pin,
  OrderImport,
  Unpin,
  Withdraw,
  Free,
  MidWrite,
  MidRead
};

enum class Fault : unsigned char
{
  None,
  LostReply,
  LostRequest,
  Down,
  Failed,
  // Pause longer than any pin; then the store reuses the slot for another block
  // that is being written or sealed.
  PauseAndReuseWriting,
  PauseAndReuseSealed,
  // The store restarts empty and its generations start from the beginning.
  StoreDies,
  StoreDiesAndReuses,
  StoreFull,
  // The transfer stops, and its result is unknown to the caller.
  TransferDies,
  // The transfer stops, and the engine reports that no block was transferred.
  TransferCut,
  Corrupted,
  ProcessDies
};

} // namespace bilberrytrail::block_model

template<>
struct bilberrytrail::EnumNames<bilberrytrail::block_model::Step>
{
  static constexpr std::array<std::string_view, 10> kNames{
    "reserve", "order_export", "seal", "pin",       "order_import",
    "unpin",   "withdraw",     "free", "mid_write", "mid_read"
  };
};

template<>
struct bilberrytrail::EnumNames<bilberrytrail::block_model::Fault>
{
  static constexpr std::array<std::string_view, 14> kNames{
    "none",
    "lost_reply",
    "lost_request",
    "down",
    "failed",
    "pause_and_reuse_writing",
    "pause_and_reuse_sealed",
    "store_dies",
    "store_dies_and_reuses",
    "store_full",
    "transfer_dies",
    "transfer_cut",
    "corrupted",
    "process_dies"
  };
};

namespace bilberrytrail::block_model {

// Steps in the middle of a transfer, which correspond to no action.
constexpr std::size_t kMidTransferSteps = 2;
static_assert(EnumCount<Step>() ==
                EnumCount<BlockActionKind>() + kMidTransferSteps,
              "each BlockActionKind must have a Step");

struct Injection
{
  Step mStep = Step::Reserve;
  Fault mFault = Fault::None;
};

// A block's content, in two halves so that a transfer can be interrupted.
using Content = std::array<std::uint64_t, 2>;

inline Content
ExpectedContent(BlockId aBlock)
{
  return { aBlock.Value() * 1000 + 1, aBlock.Value() * 1000 + 2 };
}

inline std::uint64_t
ChecksumOf(const Content& aContent)
{
  return aContent[0] * 31 + aContent[1];
}

// Space in a store for one block.
struct Slot
{
  BlockState mState = BlockState::Free;
  BlockRef mRef;
  Content mContent{};
  std::map<std::string, Instant> mPins;
};

// A store with a single slot, so that each reuse affects earlier readers.
class ModelStore
{
public:
  Slot mSlot;
  std::uint64_t mLastGeneration = 0;
  std::uint64_t mLastPin = 0;

  void Restart()
  {
    mSlot = Slot();
    mLastGeneration = 0;
  }

  // Stores another block in the slot unless the slot is pinned.
  void Reuse(BlockState aState, Instant aNow)
  {
    if (IsPinned(aNow)) {
      return;
    }
    const BlockId other(77);
    mSlot = Slot();
    mSlot.mState = aState;
    mSlot.mContent = ExpectedContent(other);
    if (aState == BlockState::Writing) {
      mSlot.mContent[1] = 0;
    }
    mSlot.mRef = {
      other, Generation(++mLastGeneration), 64, ChecksumOf(mSlot.mContent)
    };
  }

  [[nodiscard]] bool IsPinned(Instant aNow) const
  {
    return std::any_of(mSlot.mPins.begin(),
                       mSlot.mPins.end(),
                       [&](const auto& aPin) { return aPin.second > aNow; });
  }

  CallResult<BlockRef> Reserve(BlockId aBlock, std::uint64_t aBytes)
  {
    if (mSlot.mState != BlockState::Free) {
      return FailCall(
        CallDisposition::NotRun, ErrorCode::Exhausted, "slot in use");
    }
    mSlot.mState = BlockState::Reserved;
    mSlot.mRef = { aBlock, Generation(++mLastGeneration), aBytes, 0 };
    return mSlot.mRef;
  }

  // Writes one half; returns false when the slot is not reserved under the
  // reference's block and generation.
  bool Write(const BlockRef& aRef, std::size_t aHalf, std::uint64_t aValue)
  {
    const bool isOpen = mSlot.mState == BlockState::Reserved ||
                        mSlot.mState == BlockState::Writing;
    if (!isOpen || mSlot.mRef.mBlock != aRef.mBlock ||
        mSlot.mRef.mGeneration != aRef.mGeneration) {
      return false;
    }
    mSlot.mState = BlockState::Writing;
    mSlot.mContent[aHalf] = aValue;
    return true;
  }

  CallResult<void> Seal(const BlockRef& aRef)
  {
    auto found = mSlot.mRef;
    found.mChecksum = ChecksumOf(mSlot.mContent);
    const bool isOpen =
      mSlot.mState == BlockState::Writing || mSlot.mState == BlockState::Sealed;
    if (!isOpen || found != aRef) {
      return FailCall(CallDisposition::NotRun,
                      ErrorCode::Conflict,
                      "block reference differs");
    }
    mSlot.mState = BlockState::Sealed;
    mSlot.mRef = found;
    return Ok();
  }

  std::vector<BlockPin> Pin(const std::vector<BlockRef>& aRefs,
                            Duration aLength,
                            Instant aNow)
  {
    std::vector<BlockPin> pins;
    for (const auto& ref : aRefs) {
      if (mSlot.mState == BlockState::Sealed && mSlot.mRef == ref) {
        const auto name = std::to_string(++mLastPin);
        mSlot.mPins[name] = aNow + aLength;
        pins.push_back({ name, ref, aLength });
      }
    }
    return pins;
  }

  void Unpin(const std::vector<std::string>& aPins)
  {
    for (const auto& pin : aPins) {
      mSlot.mPins.erase(pin);
    }
  }

  CallResult<void> Free(const BlockRef& aRef, Instant aNow)
  {
    if (mSlot.mState == BlockState::Free || mSlot.mRef.mBlock != aRef.mBlock ||
        mSlot.mRef.mGeneration != aRef.mGeneration) {
      return FailCall(CallDisposition::NotRun,
                      ErrorCode::NotFound,
                      "block reference differs");
    }
    if (IsPinned(aNow)) {
      mSlot.mState = BlockState::Retiring;
    } else {
      mSlot = Slot();
    }
    return Ok();
  }
};

// Content that a server read, and the slot's state at the end of the read.
struct ReadRecord
{
  Content mContent{};
  BlockState mStateAtEnd = BlockState::Free;
  BlockRef mRefAtEnd;
};

} // namespace bilberrytrail::block_model
