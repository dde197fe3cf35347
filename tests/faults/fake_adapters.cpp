#include "fake_adapters.h"

#include "fake_backend.h"
#include "fake_store.h"
#include "world_node.h"

#include <bilberrytrail/orders/claim_row.h>

#include <deque>

namespace bilberrytrail {

namespace {

constexpr Duration kLinkDelay = 1ms;

// The connection from a home back to an entry, in encoded lines.
struct Link
{
  std::deque<std::string> mLines;
  bool mEnded = false;
  bool mCut = false;
  bool mReaderGone = false;
};

Step
StepOf(const HomeFrame& aFrame)
{
  switch (aFrame.mKind) {
    case FrameKind::Head:
      return Step::Head;
    case FrameKind::Chunk:
      return aFrame.mPosition == 0 ? Step::FirstChunk : Step::MiddleChunk;
    case FrameKind::End:
      return Step::End;
    case FrameKind::Answer:
    case FrameKind::NotRun:
    case FrameKind::Broken:
      break;
  }
  return Step::AnswerFrame;
}

HomeFrame
ForeignFrame(const HomeFrame& aFrame)
{
  HomeFrame frame = aFrame;
  frame.mAttempt = AttemptId("other");
  frame.mText = "FOREIGN ";
  frame.mAnswer.mBody = "FOREIGN ";
  return frame;
}

// Writes frames into the link with the faults that are due.
class LinkSink final : public FrameSink
{
public:
  LinkSink(RequestWorld& aWorld,
           RequestWorld::Node& aHome,
           std::shared_ptr<Link> aLink)
    : mWorld(aWorld)
    , mHome(aHome)
    , mLink(std::move(aLink))
  {
  }

  bool IsOpen() noexcept override
  {
    return !mLink->mCut && !mLink->mReaderGone;
  }

  Result<void> Write(const HomeFrame& aFrame) override
  {
    RequestWorld::CheckAlive(mHome);
    const Step step = StepOf(aFrame);
    if (aFrame.mKind == FrameKind::Answer) {
      mWorld.Pass(step, mHome);
      RequestWorld::CheckAlive(mHome);
    }
    if (!IsOpen() || mWorld.Fires(step, Fault::LinkCutBefore)) {
      return Cut();
    }
    if (mWorld.Fires(step, Fault::LinkLate)) {
      (void)mWorld.GetLoop().Sleep(20 * kLinkDelay);
    }
    if (mWorld.Fires(step, Fault::LinkForeign)) {
      mLink->mLines.push_back(EncodeHomeFrame(ForeignFrame(aFrame)));
    }
    std::string line = EncodeHomeFrame(aFrame);
    if (mWorld.Fires(step, Fault::LinkCorrupt)) {
      line.resize(line.size() / 2);
    }
    if (mWorld.Fires(step, Fault::LinkDuplicate)) {
      mLink->mLines.push_back(line);
    }
    if (!mHeld && mWorld.Fires(step, Fault::LinkReorder)) {
      mHeld = line;
      return Ok();
    }
    mLink->mLines.push_back(line);
    Flush();
    if (mWorld.Fires(step, Fault::LinkCutAfter)) {
      return Cut();
    }
    return Ok();
  }

  void Flush()
  {
    if (mHeld) {
      mLink->mLines.push_back(*mHeld);
      mHeld.reset();
    }
  }

private:
  Result<void> Cut()
  {
    mLink->mCut = true;
    return Fail(ErrorCode::Unavailable, "cut");
  }

  RequestWorld& mWorld;
  RequestWorld::Node& mHome;
  std::shared_ptr<Link> mLink;
  std::optional<std::string> mHeld;
};

class FakePeers final : public PeerChannel
{
public:
  FakePeers(RequestWorld& aWorld,
            RequestWorld::Node& aEntry,
            HttpClient& aClient)
    : PeerChannel(aClient, aEntry.mSeal)
    , mWorld(aWorld)
    , mEntry(aEntry)
  {
  }

  Result<Json> Call(const MemberRecord& aPeer,
                    const std::string& aMethod,
                    const Json& aParams,
                    Duration /*aTimeout*/) override
  {
    RequestWorld::Node& home = *mWorld.NodeOf(aPeer.mId);
    if (aMethod == "home.estimate") {
      mWorld.Pass(Step::Authenticated, home);
    } else if (aMethod == "directory.find") {
      mWorld.PassImport(Step::Find, home);
    }
    if (home.mDead) {
      return Fail(ErrorCode::Unavailable, "connection refused");
    }
    return CallRpc(aMethod, aParams, [&](const std::string& aBody) {
      return Result<std::string>(home.mMethods.Serve(aBody));
    });
  }

  Result<void, HttpError> Run(const MemberRecord& aPeer,
                              const HomeRequest& aRequest,
                              FrameSink& aSink) override
  {
    RequestWorld::Node& home = *mWorld.NodeOf(aPeer.mId);
    const bool isEngine = aRequest.mTarget == HomeTarget::Engine;
    if (mEntry.mCaller->mGone) {
      mWorld.Recorded().mFaults.emplace_back(
        "an attempt was made for a caller that has gone");
    }
    mEntry.mCaller->mAttempts.insert(isEngine ? aRequest.mGenerate.mAttempt
                                              : aRequest.mCall.mAttempt);
    for (const auto& block : aRequest.mGenerate.mBlocks) {
      mWorld.Recorded().mBlockAccounts[block].insert(aRequest.mAccount);
    }
    mWorld.Pass(Step::Queued, home);
    if (home.mDead || mWorld.Fires(Step::Queued, Fault::LinkCutBefore)) {
      return HttpError{ SendState::NotSent, ErrorCode::Unavailable, "refused" };
    }
    auto link = std::make_shared<Link>();
    link->mCut = mWorld.Fires(Step::Queued, Fault::LinkCutAfter);
    Serve(home, EncodeHomeRequest(aRequest), link);
    auto result = Read(home, *link, aSink);
    link->mReaderGone = true;
    return result;
  }

private:
  // Serves a request at its home on a fiber of its own.
  void Serve(RequestWorld::Node& aHome,
             const std::string& aText,
             const std::shared_ptr<Link>& aLink)
  {
    mWorld.ChangeServing(1);
    mWorld.GetLoop().Spawn([this, &aHome, aText, aLink] {
      const auto request = DecodeHomeRequest(aText);
      if (!request) {
        mWorld.Recorded().mFaults.push_back("the home request did not decode");
        mWorld.ChangeServing(-1);
        aLink->mCut = true;
        return;
      }
      LinkSink sink(mWorld, aHome, aLink);
      try {
        aHome.mHomes.Run(aHome.mThread, request.value(), sink);
        sink.Flush();
        aLink->mEnded = true;
      } catch (const Killed&) {
        aLink->mCut = true;
      }
      mWorld.ChangeServing(-1);
    });
  }

  // The loop of PeerChannel::Run on the fake link.
  Result<void, HttpError> Read(const RequestWorld::Node& aHome,
                               Link& aLink,
                               FrameSink& aSink)
  {
    while (true) {
      if (aLink.mLines.empty()) {
        if (aLink.mCut || aHome.mDead) {
          return Cut(Fail(ErrorCode::Unavailable, "connection reset"));
        }
        if (aLink.mEnded) {
          return Ok();
        }
        if (!mWorld.GetLoop().Sleep(kLinkDelay)) {
          return Cut(Fail(ErrorCode::Cancelled, "stopping"));
        }
        continue;
      }
      const std::string line = std::move(aLink.mLines.front());
      aLink.mLines.pop_front();
      auto frame = DecodeHomeFrame(line);
      if (!frame) {
        return Cut(std::move(frame).error());
      }
      if (auto ok = aSink.Write(frame.value()); !ok) {
        return Cut(std::move(ok).error());
      }
    }
  }

  static HttpError Cut(Error aError)
  {
    return HttpError{ SendState::MaybeSent,
                      aError.mCode,
                      std::move(aError.mMessage) };
  }

  RequestWorld& mWorld;
  RequestWorld::Node& mEntry;
};

class FakeTable final : public TableService
{
public:
  FakeTable(RequestWorld& aWorld, RequestWorld::Node& aNode)
    : mWorld(aWorld)
    , mNode(aNode)
  {
  }

  CallResult<std::optional<TableRow>> Read(const std::string& aKey,
                                           Duration /*aTimeout*/) override
  {
    Begin(Step::ClaimRead);
    if (auto fault = Broken(Step::ClaimRead)) {
      return std::move(*fault);
    }
    if (mWorld.Fires(Step::ClaimRead, Fault::TableLostReply)) {
      return LostReply();
    }
    const auto it = mWorld.Rows().find(aKey);
    return it == mWorld.Rows().end() ? std::optional<TableRow>()
                                     : std::optional(it->second);
  }

  CallResult<std::vector<TableRow>> Scan(const std::string& /*aPrefix*/,
                                         std::size_t /*aLimit*/,
                                         Duration /*aTimeout*/) override
  {
    return FailCall(
      CallDisposition::NotRun, ErrorCode::Refused, "not in this fake");
  }

  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& aWrites,
                                   Duration /*aTimeout*/) override
  {
    const TableWrite& write = aWrites.front();
    const auto row = DecodeClaimRow(write.mValue);
    const Step step = row && row.value().mState == ClaimState::Claimed
                        ? Step::ClaimWritten
                        : Step::OutcomeWritten;
    Begin(step);
    if (auto fault = Broken(step)) {
      return std::move(*fault);
    }
    const auto outcome = Apply(write);
    if (mWorld.Fires(step, Fault::TableLostReply)) {
      return LostReply();
    }
    return outcome;
  }

private:
  void Begin(Step aStep)
  {
    RequestWorld::CheckAlive(mNode);
    mWorld.Pass(aStep, mNode);
    RequestWorld::CheckAlive(mNode);
  }

  static CallError LostReply()
  {
    return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "no reply");
  }

  std::optional<CallError> Broken(Step aStep)
  {
    if (mWorld.Fires(aStep, Fault::TableDown)) {
      return FailCall(CallDisposition::NotRun, ErrorCode::Unavailable, "down");
    }
    if (mWorld.Fires(aStep, Fault::TableLostRequest)) {
      return LostReply();
    }
    return std::nullopt;
  }

  CommitOutcome Apply(const TableWrite& aWrite)
  {
    auto& rows = mWorld.Rows();
    const auto it = rows.find(aWrite.mKey);
    const std::uint64_t now = it == rows.end() ? 0 : it->second.mVersion;
    if (now != aWrite.mExpectedVersion) {
      return { false,
               { now == 0 ? TableRow{ aWrite.mKey, {}, 0 } : it->second } };
    }
    rows[aWrite.mKey] = { aWrite.mKey,
                          aWrite.mValue,
                          now == 0 ? mWorld.NextRowVersion() : now + 1 };
    return { true, {} };
  }

  RequestWorld& mWorld;
  RequestWorld::Node& mNode;
};

class FakeAdapters final : public AdapterFactory
{
public:
  FakeAdapters(RequestWorld& aWorld, RequestWorld::Node& aNode)
    : mWorld(aWorld)
    , mNode(aNode)
  {
  }

  std::unique_ptr<TableService> MakeTable(HttpClient& /*aClient*/) override
  {
    return std::make_unique<FakeTable>(mWorld, mNode);
  }
  std::unique_ptr<PeerChannel> MakePeers(HttpClient& aClient) override
  {
    return std::make_unique<FakePeers>(mWorld, mNode, aClient);
  }
  std::unique_ptr<Engine> MakeEngine(HttpClient& /*aClient*/,
                                     const Endpoint& /*aEndpoint*/) override
  {
    return MakeFakeEngine(mWorld, mNode);
  }
  std::unique_ptr<Store> MakeStore(HttpClient& /*aClient*/,
                                   const Endpoint& /*aEndpoint*/) override
  {
    return MakeFakeStore(mWorld, mNode);
  }
  std::unique_ptr<PlainService> MakeService(
    HttpClient& /*aClient*/,
    const Endpoint& /*aEndpoint*/) override
  {
    return MakeFakeService(mWorld, mNode);
  }

private:
  RequestWorld& mWorld;
  RequestWorld::Node& mNode;
};

} // namespace

std::unique_ptr<AdapterFactory>
MakeFakeAdapters(RequestWorld& aWorld, RequestWorld::Node& aNode)
{
  return std::make_unique<FakeAdapters>(aWorld, aNode);
}

} // namespace bilberrytrail
