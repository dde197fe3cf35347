#include "service_run.h"
#include "write_only_table.h"

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;

namespace {

// What runs on the server at each step of a claimed call.
struct Seen
{
  std::vector<std::size_t> mClaiming;
  std::vector<std::size_t> mInvoking;
  std::vector<std::size_t> mRecording;
  int mAnswers = 0;
};

struct World
{
  HomedServerPtr mServer;
  int mLostOutcomes = 0;
  Seen mSeen;

  [[nodiscard]] std::size_t Running() const
  {
    return mServer->Queue().Running();
  }
};

class FakeTable final : public WriteOnlyTable
{
public:
  explicit FakeTable(World& aWorld)
    : mWorld(aWorld)
  {
  }

  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& aWrites,
                                   Duration /*aTimeout*/) override
  {
    const auto row = DecodeClaimRow(aWrites.front().mValue);
    REQUIRE(row);
    if (row.value().mState == ClaimState::Claimed) {
      mWorld.mSeen.mClaiming.push_back(mWorld.Running());
      return CommitOutcome{ true, {} };
    }
    mWorld.mSeen.mRecording.push_back(mWorld.Running());
    if (mWorld.mLostOutcomes-- > 0) {
      return FailCall(CallFate::Unknown, ErrorCode::Timeout, "lost");
    }
    return CommitOutcome{ true, {} };
  }

private:
  World& mWorld;
};

class FakeService final : public PlainService
{
public:
  explicit FakeService(World& aWorld)
    : mWorld(aWorld)
  {
  }

  CallResult<ServiceResponse> Invoke(const ServiceCall& /*aCall*/,
                                     Duration /*aTimeout*/) override
  {
    mWorld.mSeen.mInvoking.push_back(mWorld.Running());
    return ServiceResponse{ 201, "text/plain", "done" };
  }

private:
  World& mWorld;
};

class FakeAdapters final : public AdapterFactory
{
public:
  explicit FakeAdapters(World& aWorld)
    : mWorld(aWorld)
  {
  }

  std::unique_ptr<TableService> MakeTable(HttpClient& /*aClient*/) override
  {
    return std::make_unique<FakeTable>(mWorld);
  }
  std::unique_ptr<PeerChannel> MakePeers(HttpClient& /*aClient*/) override
  {
    return nullptr;
  }
  std::unique_ptr<Engine> MakeEngine(HttpClient& /*aClient*/,
                                     const Endpoint& /*aEndpoint*/) override
  {
    return nullptr;
  }
  std::unique_ptr<Store> MakeStore(HttpClient& /*aClient*/,
                                   const Endpoint& /*aEndpoint*/) override
  {
    return nullptr;
  }
  std::unique_ptr<PlainService> MakeService(
    HttpClient& /*aClient*/,
    const Endpoint& /*aEndpoint*/) override
  {
    return std::make_unique<FakeService>(mWorld);
  }

private:
  World& mWorld;
};

class CountingSink final : public FrameSink
{
public:
  explicit CountingSink(Seen& aSeen)
    : mSeen(aSeen)
  {
  }

  bool IsOpen() noexcept override { return true; }
  Result<void> Write(const HomeFrame& aFrame) override
  {
    mSeen.mAnswers += aFrame.mKind == FrameKind::Answer ? 1 : 0;
    return Ok();
  }

private:
  Seen& mSeen;
};

} // namespace

TEST_CASE("a slot is held for the claim and the call, not for the outcome")
{
  for (const int lost : { 0, 2 }) {
    CAPTURE(lost);
    World world;
    world.mLostOutcomes = lost;
    world.mServer = std::make_shared<HomedServer>(
      VmEntry(), MakeFairServerQueue(QueueSettings()));
    Loop loop;
    ThreadContext thread(loop, std::make_unique<FakeAdapters>(world));
    HomeRequest request;
    request.mTarget = HomeTarget::Service;
    request.mTimeLeft = 20s;
    request.mClaimRowKey = "claim/p/a/k";
    CountingSink sink(world.mSeen);
    loop.Spawn([&] {
      ServiceRun(thread, world.mServer, request, sink).Execute();
      loop.Stop();
    });
    loop.Run();
    const auto writes = static_cast<std::size_t>(lost) + 1;
    CHECK(world.mSeen.mClaiming == std::vector<std::size_t>{ 1 });
    CHECK(world.mSeen.mInvoking == std::vector<std::size_t>{ 1 });
    CHECK(world.mSeen.mRecording == std::vector<std::size_t>(writes, 0));
    CHECK(world.mSeen.mAnswers == 1);
  }
}
