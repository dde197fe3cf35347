#include "block_model.h"

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <set>

using namespace bilberrytrail;
using namespace bilberrytrail::block_model;

namespace {

constexpr std::uint64_t kBytes = 64;
constexpr Duration kTransferHalf = 5ms;
constexpr Duration kPause = 60s;
const BlockId kBlock(5);

// Exports a block, imports it and frees it, with the given faults.
class History
{
public:
  explicit History(std::vector<Injection> aFaults)
    : mFaults(std::move(aFaults))
  {
  }

  [[nodiscard]] const std::string& Violation() const { return mViolation; }
  [[nodiscard]] bool WasUsed() const { return mWasUsed; }
  [[nodiscard]] bool IsSettled() const { return mIsSettled; }
  [[nodiscard]] const std::set<Step>& Visited() const { return mVisited; }
  [[nodiscard]] bool AllFaultsStruck() const { return mFaults.empty(); }

  void Run()
  {
    BlockExport flow(kBlock, kBytes);
    Drive(flow.Start(), [&](const BlockAction& aAction, Fault aFault) {
      return Export(flow, aAction, aFault);
    });
    if (!flow.Sealed() || mIsDead) {
      mIsSettled = mIsDead || flow.IsFinished();
      return;
    }
    mDirectory = *flow.Sealed();
    Import();
    if (!mIsDead) {
      Release();
    }
  }

private:
  template<class Function>
  void Drive(BlockActions aFirst, Function aPerform)
  {
    std::deque<BlockAction> actions(aFirst.begin(), aFirst.end());
    while (!actions.empty() && !mIsDead) {
      const auto action = actions.front();
      actions.pop_front();
      mNow += 1ms;
      const auto fault = Strike(static_cast<Step>(action.mKind));
      if (mIsDead) {
        return;
      }
      for (auto& next : aPerform(action, fault)) {
        actions.push_back(std::move(next));
      }
    }
  }

  // Takes the next fault of the step and lets it change the world.
  Fault Strike(Step aStep)
  {
    mVisited.insert(aStep);
    const auto it =
      std::find_if(mFaults.begin(), mFaults.end(), [&](const auto& aFault) {
        return aFault.mStep == aStep;
      });
    if (it == mFaults.end()) {
      return Fault::None;
    }
    const auto fault = it->mFault;
    mFaults.erase(it);
    Change(fault);
    return fault;
  }

  void Change(Fault aFault)
  {
    switch (aFault) {
      case Fault::PauseAndReuseWriting:
        mNow += kPause;
        mStore.Reuse(BlockState::Writing, mNow);
        break;
      case Fault::PauseAndReuseSealed:
        mNow += kPause;
        mStore.Reuse(BlockState::Sealed, mNow);
        break;
      case Fault::StoreDies:
        mStore.Die();
        break;
      case Fault::StoreDiesAndReuses:
        mStore.Die();
        mStore.Reuse(BlockState::Sealed, mNow);
        break;
      case Fault::StoreFull:
        if (mStore.mSlot.mState == BlockState::Free) {
          mStore.Reuse(BlockState::Sealed, mNow);
        }
        break;
      case Fault::Corrupted:
        mStore.mSlot.mContent[1] ^= 1;
        break;
      case Fault::ProcessDies:
        mIsDead = true;
        break;
      default:
        break;
    }
  }

  // Carries out a call, or loses its request or reply.
  template<class Function>
  auto Call(Fault aFault, Function aFunction) -> decltype(aFunction())
  {
    switch (aFault) {
      case Fault::LostReply:
      case Fault::TransferDies:
        (void)aFunction();
        return FailCall(CallFate::Unknown, ErrorCode::Timeout, "timeout");
      case Fault::LostRequest:
        return FailCall(CallFate::Unknown, ErrorCode::Timeout, "timeout");
      case Fault::Down:
        return FailCall(CallFate::NotRun, ErrorCode::Unavailable, "down");
      case Fault::Failed:
        return FailCall(CallFate::Failed, ErrorCode::Internal, "failed");
      default:
        return aFunction();
    }
  }

  using Refs = CallResult<std::vector<BlockRef>>;

  static std::optional<Refs> CutResult(Fault aFault)
  {
    if (aFault == Fault::TransferCut) {
      return Refs(std::vector<BlockRef>());
    }
    if (aFault == Fault::TransferDies || aFault == Fault::LostReply ||
        aFault == Fault::LostRequest) {
      return Refs(FailCall(CallFate::Unknown, ErrorCode::Timeout, "timeout"));
    }
    return std::nullopt;
  }

  Refs EngineExport(const BlockRef& aRef)
  {
    const auto content = TrueContent(aRef.mBlock);
    mNow += kTransferHalf;
    if (!mStore.Write(aRef, 0, content[0])) {
      return std::vector<BlockRef>();
    }
    const auto fault = Strike(Step::MidWrite);
    if (const auto cut = CutResult(fault)) {
      return *cut;
    }
    mNow += kTransferHalf;
    if (!mStore.Write(aRef, 1, content[1])) {
      return std::vector<BlockRef>();
    }
    auto written = aRef;
    written.mChecksum = ChecksumOf(content);
    return std::vector<BlockRef>{ written };
  }

  Refs EngineImport()
  {
    mRead = ReadRecord();
    mRead.mContent[0] = mStore.mSlot.mContent[0];
    mNow += kTransferHalf;
    const auto fault = Strike(Step::MidRead);
    if (const auto cut = CutResult(fault)) {
      return *cut;
    }
    mRead.mContent[1] = mStore.mSlot.mContent[1];
    mNow += kTransferHalf;
    mRead.mStateAtEnd = mStore.mSlot.mState;
    mRead.mRefAtEnd = mStore.mSlot.mRef;
    auto seen = mStore.mSlot.mRef;
    seen.mChecksum = ChecksumOf(mRead.mContent);
    return std::vector<BlockRef>{ seen };
  }

  BlockActions Export(BlockExport& aFlow,
                      const BlockAction& aAction,
                      Fault aFault)
  {
    const auto& ref = aAction.mRefs.front();
    switch (aAction.mKind) {
      case BlockActionKind::Reserve:
        return aFlow.OnReserved(
          Call(aFault, [&] { return mStore.Reserve(ref.mBlock, ref.mBytes); }));
      case BlockActionKind::OrderExport:
        return aFlow.OnExported(
          Call(aFault, [&] { return EngineExport(ref); }));
      case BlockActionKind::Seal:
        return aFlow.OnSealed(Call(aFault, [&] { return mStore.Seal(ref); }));
      default:
        (void)Call(aFault, [&] { return mStore.Free(ref, mNow); });
        return {};
    }
  }

  void Import()
  {
    BlockImport flow({ mDirectory }, 2 * kTransferHalf, ImportLimits());
    const auto perform = [&](const BlockAction& aAction, Fault aFault) {
      return Import(flow, aAction, aFault);
    };
    Drive(flow.Start(mNow), perform);
    mIsSettled = mIsDead || flow.IsFinished();
    for (const auto& ref : flow.Usable()) {
      CheckUse(ref);
    }
  }

  BlockActions Import(BlockImport& aFlow,
                      const BlockAction& aAction,
                      Fault aFault)
  {
    using Pins = CallResult<std::vector<BlockPin>>;
    switch (aAction.mKind) {
      case BlockActionKind::Pin:
        return aFlow.OnPinned(Call(aFault,
                                   [&] {
                                     return Pins(mStore.Pin(
                                       aAction.mRefs, aAction.mDuration, mNow));
                                   }),
                              mNow);
      case BlockActionKind::OrderImport:
        if (!aFlow.BeginImport(mNow)) {
          return aFlow.OnImportSkipped();
        }
        return OnImported(aFlow, Call(aFault, [&] { return EngineImport(); }));
      default:
        if (aFault != Fault::LostRequest && aFault != Fault::Down) {
          mStore.Unpin(aAction.mPins);
        }
        return {};
    }
  }

  BlockActions OnImported(BlockImport& aFlow, const Refs& aRead)
  {
    return mIsDead ? BlockActions() : aFlow.OnImported(aRead, mNow);
  }

  void Release()
  {
    BlockRelease flow(mDirectory);
    Drive(flow.Start(), [&](const BlockAction& aAction, Fault aFault) {
      if (aAction.mKind == BlockActionKind::Withdraw) {
        return BlockActions();
      }
      const auto& ref = aAction.mRefs.front();
      return flow.OnFreed(Call(aFault, [&] { return mStore.Free(ref, mNow); }));
    });
    mIsSettled = mIsDead || flow.IsFinished();
  }

  // A block that is used must have been sealed with this generation and
  // checksum at the end of the read, and its content must be the block's.
  void CheckUse(const BlockRef& aRef)
  {
    mWasUsed = true;
    const bool wasSealed = mRead.mStateAtEnd == BlockState::Sealed ||
                           mRead.mStateAtEnd == BlockState::Retiring;
    if (!wasSealed || mRead.mRefAtEnd != aRef) {
      mViolation = "a block was used that was not sealed as asked for";
    }
    if (mRead.mContent != TrueContent(kBlock) || aRef.mBlock != kBlock) {
      mViolation = "a block was used whose content is not its own";
    }
  }

  std::vector<Injection> mFaults;
  std::set<Step> mVisited;
  ModelStore mStore;
  Instant mNow{ 100s };
  BlockRef mDirectory;
  ReadRecord mRead;
  bool mIsDead = false;
  bool mWasUsed = false;
  bool mIsSettled = false;
  std::string mViolation;
};

std::vector<Injection>
AllInjections()
{
  std::vector<Injection> all;
  for (const auto step : AllOf<Step>()) {
    for (const auto fault : AllOf<Fault>()) {
      all.push_back({ step, fault });
    }
  }
  return all;
}

void
CheckHistory(const std::vector<Injection>& aFaults)
{
  History history(aFaults);
  history.Run();
  std::string faults;
  for (const auto& injection : aFaults) {
    faults += ToName(injection.mStep);
    faults += ':';
    faults += ToName(injection.mFault);
    faults += ' ';
  }
  CAPTURE(faults);
  CHECK(history.Violation() == "");
  CHECK(history.IsSettled());
}

} // namespace

TEST_CASE("each step with one, two or three faults never uses a wrong block")
{
  const auto all = AllInjections();
  for (const auto& first : all) {
    for (const auto& second : all) {
      CheckHistory({ first, second });
    }
  }
  constexpr int kHistories = 20000;
  Random random(5);
  for (int n = 0; n < kHistories; ++n) {
    CheckHistory({ all[random.Below(all.size())],
                   all[random.Below(all.size())],
                   all[random.Below(all.size())] });
  }
}

TEST_CASE("every fault can strike at every step")
{
  // Nothing is freed in an export without a fault before it.
  const Injection cut{ Step::MidWrite, Fault::TransferCut };
  for (const auto& injection : AllInjections()) {
    CAPTURE(ToName(injection.mStep));
    CAPTURE(ToName(injection.mFault));
    History history({ injection });
    history.Run();
    CHECK(history.AllFaultsStruck());
  }
  History history({ cut });
  history.Run();
  CHECK(history.Visited().contains(Step::Free));
}

TEST_CASE("faults that end in a recompute and faults that do not")
{
  struct Row
  {
    Injection mInjection;
    bool mUsed;
  };
  using F = Fault;
  const Row rows[] = {
    { { Step::Reserve, F::None }, true },
    { { Step::Reserve, F::StoreFull }, false },
    { { Step::Reserve, F::LostReply }, false },
    { { Step::MidWrite, F::TransferCut }, false },
    { { Step::MidWrite, F::TransferDies }, false },
    { { Step::MidWrite, F::PauseAndReuseSealed }, false },
    { { Step::MidWrite, F::StoreDies }, false },
    { { Step::Seal, F::Corrupted }, false },
    { { Step::Seal, F::LostReply }, true },
    { { Step::Seal, F::LostRequest }, true },
    { { Step::Seal, F::StoreDiesAndReuses }, false },
    { { Step::Pin, F::StoreDies }, false },
    { { Step::Pin, F::StoreDiesAndReuses }, false },
    { { Step::Pin, F::PauseAndReuseSealed }, false },
    { { Step::Pin, F::LostReply }, false },
    { { Step::OrderImport, F::PauseAndReuseSealed }, false },
    { { Step::OrderImport, F::Corrupted }, false },
    { { Step::MidRead, F::PauseAndReuseWriting }, false },
    { { Step::MidRead, F::PauseAndReuseSealed }, false },
    { { Step::MidRead, F::StoreDiesAndReuses }, false },
    { { Step::MidRead, F::Corrupted }, false },
    { { Step::MidRead, F::TransferDies }, false },
    { { Step::Unpin, F::LostReply }, true },
    { { Step::Free, F::LostReply }, true },
  };
  for (const auto& row : rows) {
    CAPTURE(ToName(row.mInjection.mStep));
    CAPTURE(ToName(row.mInjection.mFault));
    History history({ row.mInjection });
    history.Run();
    CHECK(history.WasUsed() == row.mUsed);
    CHECK(history.Violation() == "");
  }
}
