#include "claim_table.h"
#include "write_only_table.h"

#include <bilberrytrail/platform/platform_json.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace bilberrytrail;

namespace {

// How the claim home's answer comes to a bad end, or does not.
enum class HomeFault : unsigned char
{
  None,
  // Never reached: killed before the call.
  NotReached,
  // Killed behind the write, or its reply was lost.
  ReplyLost,
  // Killed before the write.
  KilledBefore
};

struct World
{
  std::map<std::string, std::uint64_t> mRows;
  HomeFault mFault = HomeFault::None;
  int mOwnCommits = 0;
  int mCalls = 0;
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
    ++mWorld.mOwnCommits;
    return Apply(mWorld, aWrites.front());
  }

  static CommitOutcome Apply(World& aWorld, const TableWrite& aWrite)
  {
    auto& version = aWorld.mRows[aWrite.mKey];
    if (version != aWrite.mExpectedVersion) {
      return { false, { { aWrite.mKey, {}, version } } };
    }
    ++version;
    return { true, {} };
  }

private:
  World& mWorld;
};

class FakePeers final : public PeerChannel
{
public:
  FakePeers(World& aWorld, HttpClient& aClient, PeerSeal& aSeal)
    : PeerChannel(aClient, aSeal)
    , mWorld(aWorld)
  {
  }

  CallResult<Json> CallOnce(const MemberRecord& /*aPeer*/,
                            const std::string& aMethod,
                            const Json& aParams,
                            Duration /*aTimeout*/) override
  {
    ++mWorld.mCalls;
    CHECK(aMethod == kClaimWriteMethod);
    if (mWorld.mFault == HomeFault::NotReached) {
      return FailCall(
        CallDisposition::NotRun, ErrorCode::Unavailable, "refused");
    }
    CommitOutcome outcome;
    if (mWorld.mFault != HomeFault::KilledBefore) {
      JsonFields fields(aParams);
      outcome = FakeTable::Apply(
        mWorld, ReadTableWrite(fields.Object("write")).value());
    }
    if (mWorld.mFault != HomeFault::None) {
      return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "lost");
    }
    return ToJson(CallResult<CommitOutcome>(outcome));
  }

private:
  World& mWorld;
};

class NoSeal final : public PeerSeal
{
public:
  std::string Seal(const DaemonId& /*aReceiver*/,
                   std::string_view /*aBody*/) override
  {
    return {};
  }
  std::string SealForAny(std::string_view /*aBody*/) override { return {}; }
  Result<PeerMessage> Open(std::string_view /*aWire*/) override
  {
    return Fail(ErrorCode::Unauthorized, "no seal");
  }
  Result<PeerMessage> OpenForAny(std::string_view /*aWire*/) override
  {
    return Fail(ErrorCode::Unauthorized, "no seal");
  }
};

class FakeAdapters final : public AdapterFactory
{
public:
  FakeAdapters(World& aWorld, PeerSeal& aSeal)
    : mWorld(aWorld)
    , mSeal(aSeal)
  {
  }

  std::unique_ptr<TableService> MakeTable(HttpClient& /*aClient*/) override
  {
    return std::make_unique<FakeTable>(mWorld);
  }
  std::unique_ptr<PeerChannel> MakePeers(HttpClient& aClient) override
  {
    return std::make_unique<FakePeers>(mWorld, aClient, mSeal);
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
    return nullptr;
  }

private:
  World& mWorld;
  PeerSeal& mSeal;
};

// A view of a daemon and of one other, which is the only candidate for a home.
void
StoreView(ControlViewHolder& aViews)
{
  auto view = std::make_shared<ControlView>();
  view->mSelf = DaemonId("self");
  MemberRecord other;
  other.mId = DaemonId("home");
  view->mMembers = { other };
  view->mHomes = { { other.mId, ZoneId("z"), 1 } };
  aViews.Store(view);
}

CallResult<CommitOutcome>
WriteThrough(World& aWorld, const TableWrite& aWrite)
{
  Loop loop;
  NoSeal seal;
  ThreadContext thread(loop, std::make_unique<FakeAdapters>(aWorld, seal));
  ControlViewHolder views;
  StoreView(views);
  ClaimGatherer gatherer(5ms);
  const auto table = MakeClaimTable(thread, views, gatherer, 8);
  return table->Commit({ aWrite }, 1s);
}

} // namespace

TEST_CASE("a claim keeps its fate on the way through the claim home")
{
  struct Row
  {
    HomeFault mFault;
    int mOwnCommits;
    std::uint64_t mVersion;
    std::optional<CallDisposition> mDisposition;
  };
  const Row rows[] = {
    { HomeFault::None, 0, 1, std::nullopt },
    // The home was not reached: the thread writes the row itself.
    { HomeFault::NotReached, 1, 1, std::nullopt },
    // The row may be written: told as unknown, and never written again.
    { HomeFault::ReplyLost, 0, 1, CallDisposition::Unknown },
    { HomeFault::KilledBefore, 0, 0, CallDisposition::Unknown },
  };
  for (const auto& row : rows) {
    CAPTURE(static_cast<int>(row.mFault));
    World world;
    world.mFault = row.mFault;
    const auto outcome = WriteThrough(world, { "claim/p/a/k", "v", 0 });
    CHECK(world.mCalls == 1);
    CHECK(world.mOwnCommits == row.mOwnCommits);
    CHECK(world.mRows["claim/p/a/k"] == row.mVersion);
    REQUIRE(outcome.has_value() == !row.mDisposition);
    if (row.mDisposition) {
      CHECK(outcome.error().mDisposition == *row.mDisposition);
    } else {
      CHECK(outcome.value().mCommitted);
    }
  }
}

TEST_CASE("a conflict at the claim home comes back with the row")
{
  World world;
  world.mRows["k"] = 4;
  const auto outcome = WriteThrough(world, { "k", "v", 0 });
  REQUIRE(outcome.has_value());
  CHECK_FALSE(outcome.value().mCommitted);
  REQUIRE(outcome.value().mCurrent.size() == 1);
  CHECK(outcome.value().mCurrent.front().mVersion == 4);
}
