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

// Exports a block, imports it and frees it while the given faults are injected,
// and checks that a block is used only when its content is right.
class FaultScenario
{
public:
  explicit FaultScenario(std::vector<Injection> aFaults)
    : mFaults(std::move(aFaults))
  {
  }

  [[nodiscard]] const std::string& Violation() const { return mViolation; }
  [[nodiscard]] bool WasUsed() const { return mWasUsed; }
  [[nodiscard]] bool IsSettled() const { return mIsSettled; }
  [[nodiscard]] const std::set<Step>& Visited() const { return mVisited; }
  [[nodiscard]] bool AllFaultsInjected() const { return mFaults.empty(); }

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
    mSealedRef = *flow.Sealed();
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
      const auto fault = InjectNextFault(static_cast<Step>(action.mKind));
      if (mIsDead) {
        return;
      }
      for (auto& next : aPerform(action, fault)) {
        actions.push_back(std::move(next));
      }
    }
  }

  // Applies the next fault of the step, if any, to the model and returns it.
  Fault InjectNextFault(Step aStep)
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
    ApplyFault(fault);
    return fault;
  }

  void ApplyFault(Fault aFault)
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
        mStore.Restart();
        break;
      case Fault::StoreDiesAndReuses:
        mStore.Restart();
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

  // Performs a call, or fails it as the fault demands.
  template<class Function>
  auto Call(Fault aFault, Function aFunction) -> decltype(aFunction())
  {
    switch (aFault) {
      case Fault::LostReply:
      case Fault::TransferDies:
        (void)aFunction();
        return FailCall(
          CallDisposition::Unknown, ErrorCode::Timeout, "injected: reply lost");
      case Fault::LostRequest:
        return FailCall(CallDisposition::Unknown,
                        ErrorCode::Timeout,
                        "injected: request lost");
      case Fault::Down:
        return FailCall(CallDisposition::NotRun,
                        ErrorCode::Unavailable,
                        "injected: peer is down");
      case Fault::Failed:
        return FailCall(CallDisposition::Failed,
                        ErrorCode::Internal,
                        "injected: call failed");
      default:
        return aFunction();
    }
  }

  using Refs = CallResult<std::vector<BlockRef>>;

  static std::optional<Refs> InterruptedResult(Fault aFault)
  {
    if (aFault == Fault::TransferCut) {
      return Refs(std::vector<BlockRef>());
    }
    if (aFault == Fault::TransferDies || aFault == Fault::LostReply ||
        aFault == Fault::LostRequest) {
      return Refs(FailCall(CallDisposition::Unknown,
                           ErrorCode::Timeout,
                           "injected: transfer interrupted"));
    }
    return std::nullopt;
  }

  Refs EngineExport(const BlockRef& aRef)
  {
    const auto content = ExpectedContent(aRef.mBlock);
    mNow += kTransferHalf;
    if (!mStore.Write(aRef, 0, content[0])) {
      return std::vector<BlockRef>();
    }
    const auto fault = InjectNextFault(Step::MidWrite);
    if (const auto interrupted = InterruptedResult(fault)) {
      return *interrupted;
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
    const auto fault = InjectNextFault(Step::MidRead);
    if (const auto interrupted = InterruptedResult(fault)) {
      return *interrupted;
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
    BlockImport flow({ mSealedRef }, 2 * kTransferHalf, ImportLimits());
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
    BlockRelease flow(mSealedRef);
    Drive(flow.Start(), [&](const BlockAction& aAction, Fault aFault) {
      if (aAction.mKind == BlockActionKind::Withdraw) {
        return BlockActions();
      }
      const auto& ref = aAction.mRefs.front();
      return flow.OnFreed(Call(aFault, [&] { return mStore.Free(ref, mNow); }));
    });
    mIsSettled = mIsDead || flow.IsFinished();
  }

  // Records a violation unless the used block was sealed with the requested
  // generation and checksum at the end of the read, and its content is right.
  void CheckUse(const BlockRef& aRef)
  {
    mWasUsed = true;
    const bool wasSealed = mRead.mStateAtEnd == BlockState::Sealed ||
                           mRead.mStateAtEnd == BlockState::Retiring;
    if (!wasSealed || mRead.mRefAtEnd != aRef) {
      mViolation =
        "used a block that was not sealed with the requested reference";
    }
    if (mRead.mContent != ExpectedContent(kBlock) || aRef.mBlock != kBlock) {
      mViolation = "used a block whose content is wrong";
    }
  }

  std::vector<Injection> mFaults;
  std::set<Step> mVisited;
  ModelStore mStore;
  Instant mNow{ 100s };
  BlockRef mSealedRef;
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
CheckScenario(const std::vector<Injection>& aFaults)
{
  FaultScenario scenario(aFaults);
  scenario.Run();
  std::string faults;
  for (const auto& injection : aFaults) {
    faults += ToName(injection.mStep);
    faults += ':';
    faults += ToName(injection.mFault);
    faults += ' ';
  }
  CAPTURE(faults);
  CHECK(scenario.Violation() == "");
  CHECK(scenario.IsSettled());
}

} // namespace

TEST_CASE("no wrong block is used under one, two or three faults at any steps")
{
  const auto all = AllInjections();
  for (const auto& first : all) {
    for (const auto& second : all) {
      CheckScenario({ first, second });
    }
  }
  constexpr int kScenarios = 20000;
  Random random(5);
  for (int n = 0; n < kScenarios; ++n) {
    CheckScenario({ all[random.Below(all.size())],
                    all[random.Below(all.size())],
                    all[random.Below(all.size())] });
  }
}

TEST_CASE("every fault is injected at every step")
{
  // An export frees its space only after a fault, such as an interrupted write.
  const Injection interrupted{ Step::MidWrite, Fault::TransferCut };
  for (const auto& injection : AllInjections()) {
    CAPTURE(ToName(injection.mStep));
    CAPTURE(ToName(injection.mFault));
    FaultScenario scenario({ injection });
    scenario.Run();
    CHECK(scenario.AllFaultsInjected());
  }
  FaultScenario scenario({ interrupted });
  scenario.Run();
  CHECK(scenario.Visited().contains(Step::Free));
}

TEST_CASE("each fault leads to the expected use or recompute of the block")
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
    FaultScenario scenario({ row.mInjection });
    scenario.Run();
    CHECK(scenario.WasUsed() == row.mUsed);
    CHECK(scenario.Violation() == "");
  }
}
