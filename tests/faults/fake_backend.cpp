#include "fake_backend.h"

#include "fake_store.h"

#include "world_node.h"

namespace bilberrytrail {

namespace {

constexpr Duration kSmallPause = 1ms;

// An answer of the fake engine with the faults that are due.
class FakeStream final : public GenerateStream
{
public:
  FakeStream(RequestWorld& aWorld,
             RequestWorld::Node& aNode,
             const GenerateRequest& aRequest,
             int aRun)
    : mWorld(aWorld)
    , mNode(aNode)
    , mRun(aRun)
    , mAttempt(aRequest.mAttempt)
    , mPieces(AnswerPieces(aRequest.mVersion))
    , mNext(aRequest.mStartPosition)
  {
    mHead.mVersion = aRequest.mVersion;
    if (mWorld.Fires(Step::Head, Fault::WrongVersion)) {
      mHead.mVersion = VersionId("stale");
      mPieces = AnswerPieces(mHead.mVersion);
    }
  }

  const GenerateHead& Head() const noexcept override { return mHead; }

  Result<GenerateChunk> Next(Duration /*aTimeout*/) override
  {
    RequestWorld::CheckAlive(mNode);
    (void)mWorld.GetLoop().Sleep(kSmallPause);
    RequestWorld::CheckAlive(mNode);
    if (!mHasBegun) {
      mHasBegun = true;
      mWorld.HoldAnswer(Step::FirstChunk);
      RequestWorld::CheckAlive(mNode);
    }
    const Step step = mNext >= mPieces.size() ? Step::End
                      : mNext == 0            ? Step::FirstChunk
                                              : Step::MiddleChunk;
    mWorld.Pass(step, mNode);
    RequestWorld::CheckAlive(mNode);
    if (mWorld.Fires(step, Fault::ServerCut)) {
      return Fail(ErrorCode::Unavailable, "cut");
    }
    if (mWorld.Fires(step, Fault::Stall)) {
      return Fail(ErrorCode::Timeout, "stalled");
    }
    if (mWorld.Fires(step, Fault::ForeignChunk)) {
      return GenerateChunk{ AttemptId("other"), mNext, "FOREIGN ", false };
    }
    if (mLast && mWorld.Fires(step, Fault::DuplicateChunk)) {
      return *mLast;
    }
    if (mWorld.Fires(step, Fault::Gap)) {
      ++mNext;
    }
    GenerateChunk chunk{ mAttempt, mNext, {}, mNext >= mPieces.size() };
    if (!chunk.mEnd) {
      chunk.mText = mPieces[mNext++];
      chunk.mText.insert(chunk.mText.size() - 1, "#" + std::to_string(mRun));
    }
    if (!mLast && mWorld.Fires(step, Fault::DuplicateChunk)) {
      --mNext;
    }
    mLast = chunk;
    return chunk;
  }

private:
  RequestWorld& mWorld;
  RequestWorld::Node& mNode;
  int mRun;
  bool mHasBegun = false;
  AttemptId mAttempt;
  GenerateHead mHead;
  std::vector<std::string> mPieces;
  std::uint32_t mNext;
  std::optional<GenerateChunk> mLast;
};

class FakeEngine final : public Engine
{
public:
  FakeEngine(RequestWorld& aWorld, RequestWorld::Node& aNode)
    : mWorld(aWorld)
    , mNode(aNode)
  {
  }

  CallResult<std::unique_ptr<GenerateStream>> Generate(
    const GenerateRequest& aRequest,
    Duration /*aTimeout*/) override
  {
    RequestWorld::CheckAlive(mNode);
    mWorld.Pass(Step::Granted, mNode);
    RequestWorld::CheckAlive(mNode);
    if (mWorld.Fires(Step::Granted, Fault::RefuseBeforeRunning)) {
      return FailCall(CallFate::NotRun, ErrorCode::Refused, "refused");
    }
    const int run = mWorld.NoteEngineRun(aRequest, mNode.mId);
    mWorld.Pass(Step::Running, mNode);
    RequestWorld::CheckAlive(mNode);
    if (mWorld.Fires(Step::Running, Fault::FailAfterRunning)) {
      return FailCall(CallFate::Failed, ErrorCode::Internal, "failed");
    }
    if (mWorld.Fires(Step::Running, Fault::LostReply) ||
        mWorld.Fires(Step::Running, Fault::Stall)) {
      return FailCall(CallFate::Unknown, ErrorCode::Unavailable, "lost");
    }
    mWorld.Pass(Step::Head, mNode);
    RequestWorld::CheckAlive(mNode);
    return std::unique_ptr<GenerateStream>(
      std::make_unique<FakeStream>(mWorld, mNode, aRequest, run));
  }

  CallResult<void> Cancel(const AttemptId& /*aAttempt*/,
                          Duration /*aTimeout*/) override
  {
    return Ok();
  }

  CallResult<void> SendOrder(const EngineOrder& /*aOrder*/,
                             Duration /*aTimeout*/) override
  {
    return Unsupported();
  }

  CallResult<EngineState> ReadState(Duration /*aTimeout*/) override
  {
    return Unsupported();
  }

  CallResult<std::unique_ptr<EngineEventStream>> Subscribe(
    std::uint64_t /*aAfterSequence*/,
    Duration /*aReportWithin*/,
    Duration /*aTimeout*/) override
  {
    return Unsupported();
  }

  CallResult<std::vector<BlockRef>> ImportBlocks(
    const TransferRequest& aRequest,
    Duration aTimeout) override
  {
    return ImportAtFakeEngine(mWorld, mNode, aRequest.mBlocks, aTimeout);
  }

  CallResult<std::vector<BlockRef>> ExportBlocks(
    const TransferRequest& /*aRequest*/,
    Duration /*aTimeout*/) override
  {
    return Unsupported();
  }

private:
  static CallError Unsupported()
  {
    return FailCall(CallFate::NotRun, ErrorCode::Refused, "not in this fake");
  }

  RequestWorld& mWorld;
  RequestWorld::Node& mNode;
};

class FakeService final : public PlainService
{
public:
  FakeService(RequestWorld& aWorld, RequestWorld::Node& aNode)
    : mWorld(aWorld)
    , mNode(aNode)
  {
  }

  CallResult<ServiceResponse> Invoke(const ServiceCall& aCall,
                                     Duration /*aTimeout*/) override
  {
    RequestWorld::CheckAlive(mNode);
    mWorld.Pass(Step::Granted, mNode);
    RequestWorld::CheckAlive(mNode);
    if (mWorld.Fires(Step::Granted, Fault::RefuseBeforeRunning)) {
      return FailCall(CallFate::NotRun, ErrorCode::Refused, "refused");
    }
    const AccountId account = mWorld.NoteServiceRun(aCall.mAttempt, mNode.mId);
    const ServiceResponse answer{ 200, "text/plain", "done " + account.Text() };
    for (const Step step : { Step::Running, Step::ServiceAnswered }) {
      if (step == Step::ServiceAnswered) {
        mWorld.HoldAnswer(step);
        RequestWorld::CheckAlive(mNode);
      }
      mWorld.Pass(step, mNode);
      RequestWorld::CheckAlive(mNode);
      if (mWorld.Fires(step, Fault::FailAfterRunning)) {
        return FailCall(CallFate::Failed, ErrorCode::Internal, "failed");
      }
      if (mWorld.Fires(step, Fault::LostReply) ||
          mWorld.Fires(step, Fault::Stall)) {
        return FailCall(CallFate::Unknown, ErrorCode::Unavailable, "lost");
      }
    }
    return answer;
  }

private:
  RequestWorld& mWorld;
  RequestWorld::Node& mNode;
};

} // namespace

std::unique_ptr<Engine>
MakeFakeEngine(RequestWorld& aWorld, RequestWorld::Node& aNode)
{
  return std::make_unique<FakeEngine>(aWorld, aNode);
}

std::unique_ptr<PlainService>
MakeFakeService(RequestWorld& aWorld, RequestWorld::Node& aNode)
{
  return std::make_unique<FakeService>(aWorld, aNode);
}

} // namespace bilberrytrail
