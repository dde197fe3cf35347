#include <bilberrytrail/entry/placement_ledger.h>
#include <bilberrytrail/entry/placement_map.h>

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <deque>

using namespace bilberrytrail;

namespace {

const ServiceId kEngines("engines");
const ModelId kModel("m");
const PlacementGroup kGroup{ kEngines, 0, 1 };

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

std::vector<ServerRecord>
Servers(std::size_t aCount)
{
  std::vector<ServerRecord> servers(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    servers[n].mId = ServerId("s" + std::to_string(n));
    servers[n].mService = kEngines;
    servers[n].mModels = { { kModel, 1 } };
  }
  return servers;
}

PlacementRequest
MakeRequest(std::uint64_t aTicket, double aWork = 1000)
{
  PlacementRequest request;
  request.mGroup = kGroup;
  request.mTicket = aTicket;
  request.mTimeLeft = 4s;
  request.mQuery.mService = kEngines;
  request.mQuery.mModel = kModel;
  request.mQuery.mWork = aWork;
  request.mQuery.mObjective = 500ms;
  return request;
}

const PlacementClientId kEntry{ DaemonId("d1"), 7 };

struct Fixture
{
  explicit Fixture(std::size_t aServers)
  {
    mLedger.SetServers(Servers(aServers), At(0s));
  }

  ServerLimits mLimits;
  PlacementLedger mLedger{ ZoneId("z"), HomeAdmissionSettings(), mLimits };
};

} // namespace

TEST_CASE("a home spreads requests by its grants to all daemons")
{
  Fixture fixture(4);
  std::map<ServerId, int> used;
  for (std::uint64_t n = 1; n <= 40; ++n) {
    const PlacementClientId entry{ DaemonId("d" + std::to_string(n)), 1 };
    const auto reply =
      fixture.mLedger.HandleRequest(entry, MakeRequest(1), At(0s));
    REQUIRE(reply.mOutcome == PlacementOutcome::Granted);
    ++used[reply.mServer];
  }
  for (const auto& [server, count] : used) {
    CHECK(count == 10);
  }
  CHECK(fixture.mLedger.Grants() == 40);
}

TEST_CASE("a home answers busy when its group cannot answer in time")
{
  Fixture fixture(1);
  CHECK(fixture.mLedger.HandleRequest(kEntry, MakeRequest(1, 60'000), At(0s))
          .mOutcome == PlacementOutcome::Busy);
  CHECK(fixture.mLedger.Grants() == 0);
  auto repeat = MakeRequest(2, 60'000);
  repeat.mMustPlace = true;
  CHECK(fixture.mLedger.HandleRequest(kEntry, repeat, At(0s)).mOutcome ==
        PlacementOutcome::Granted);
  const auto busy =
    fixture.mLedger.HandleRequest(kEntry, MakeRequest(3), At(0s));
  CHECK(busy.mOutcome == PlacementOutcome::Busy);
  CHECK(busy.mTime > 500ms);
  CHECK(
    fixture.mLedger.HandleRequest(kEntry, MakeRequest(4), At(900ms)).mOutcome ==
    PlacementOutcome::Granted);
  Fixture empty(0);
  CHECK(empty.mLedger.HandleRequest(kEntry, MakeRequest(1), At(0s)).mOutcome ==
        PlacementOutcome::NoServer);
}

// Load: urgent prompts take nearly all of the time that their callers bear, and
// long ones that could wait come on top.
TEST_CASE("a home lets less urgent prompts in last as room runs out")
{
  struct Row
  {
    double mUrgentWork;
    unsigned mRank;
    PlacementOutcome mOutcome;
  };
  for (const Row& row : { Row{ 4000, 2, PlacementOutcome::Granted },
                          Row{ 36'000, 2, PlacementOutcome::Busy },
                          Row{ 36'000, 1, PlacementOutcome::Granted } }) {
    CAPTURE(row.mUrgentWork);
    CAPTURE(row.mRank);
    Fixture fixture(1);
    // The server works on this until 0 s.
    for (std::uint64_t n = 1; n <= 40; ++n) {
      const auto now = At(-4s + n * 100ms);
      auto urgent = MakeRequest(n, row.mUrgentWork);
      urgent.mQuery.mRank = 1;
      const auto reply = fixture.mLedger.HandleRequest(kEntry, urgent, now);
      REQUIRE(reply.mOutcome == PlacementOutcome::Granted);
      fixture.mLedger.Report(kEntry, { n, SendOutcome::Full }, now);
      fixture.mLedger.SetServers({}, now);
      fixture.mLedger.SetServers(Servers(1), now);
    }
    auto request = MakeRequest(100, 20'000);
    request.mQuery.mRank = row.mRank;
    CHECK(fixture.mLedger.HandleRequest(kEntry, request, At(0s)).mOutcome ==
          row.mOutcome);
  }
}

// Load: refused callers return among others.
TEST_CASE("a home keeps the place of a caller who returns in time")
{
  Fixture fixture(1);
  auto first = MakeRequest(1, 45'000);
  first.mQuery.mMemory = 7000;
  const auto refused = fixture.mLedger.HandleRequest(kEntry, first, At(0s));
  REQUIRE(refused.mOutcome == PlacementOutcome::Busy);
  const auto back = At(refused.mTime);
  auto stranger = MakeRequest(2, 45'000);
  stranger.mQuery.mMemory = 7001;
  CHECK(fixture.mLedger.HandleRequest(kEntry, stranger, back).mOutcome ==
        PlacementOutcome::Busy);
  first.mTicket = 3;
  CHECK(fixture.mLedger.HandleRequest(kEntry, first, back).mOutcome ==
        PlacementOutcome::Granted);
}

// Reports are datagrams: each may be lost, duplicated or reordered, or arrive
// after the requesting daemon has restarted.
TEST_CASE("grants end even if reports are lost, duplicated or reordered")
{
  enum class Loss : unsigned char
  {
    None,
    Begin,
    End,
    Both,
    EndFirst,
    Twice,
    Restart
  };
  for (const auto loss : { Loss::None,
                           Loss::Begin,
                           Loss::End,
                           Loss::Both,
                           Loss::EndFirst,
                           Loss::Twice,
                           Loss::Restart }) {
    CAPTURE(static_cast<int>(loss));
    Fixture fixture(2);
    auto& ledger = fixture.mLedger;
    REQUIRE(ledger.HandleRequest(kEntry, MakeRequest(1), At(0s)).mOutcome ==
            PlacementOutcome::Granted);
    const PlacementReport begun{ 1, std::nullopt };
    const PlacementReport end{ 1, SendOutcome::Answered };
    if (loss == Loss::EndFirst) {
      ledger.Report(kEntry, end, At(100ms));
      ledger.Report(kEntry, begun, At(110ms));
    } else if (loss == Loss::Restart) {
      ledger.Report(
        { kEntry.mDaemon, kEntry.mIncarnation + 1 }, end, At(100ms));
    } else {
      if (loss != Loss::Begin && loss != Loss::Both) {
        ledger.Report(kEntry, begun, At(100ms));
      }
      if (loss != Loss::End && loss != Loss::Both) {
        ledger.Report(kEntry, end, At(200ms));
      }
      if (loss == Loss::Twice) {
        ledger.Report(kEntry, begun, At(210ms));
        ledger.Report(kEntry, end, At(210ms));
      }
    }
    CHECK(ledger.Grants() == (loss == Loss::End || loss == Loss::Both ? 1 : 0));
    // Expired grants are dropped when the next request arrives.
    (void)ledger.HandleRequest({ DaemonId("d2"), 1 }, MakeRequest(1), At(6s));
    CHECK(ledger.Grants() == 1);
  }
}

TEST_CASE("a duplicated placement request is one grant")
{
  Fixture fixture(2);
  (void)fixture.mLedger.HandleRequest(kEntry, MakeRequest(1), At(0s));
  (void)fixture.mLedger.HandleRequest(kEntry, MakeRequest(1), At(5ms));
  CHECK(fixture.mLedger.Grants() == 1);
}

TEST_CASE("a server that was removed from the list is not granted")
{
  Fixture fixture(2);
  const auto first =
    fixture.mLedger.HandleRequest(kEntry, MakeRequest(1), At(0s)).mServer;
  auto left = Servers(2);
  std::erase_if(left,
                [&](const auto& aServer) { return aServer.mId == first; });
  fixture.mLedger.SetServers(left, At(1s));
  for (std::uint64_t n = 2; n < 10; ++n) {
    CHECK(
      fixture.mLedger.HandleRequest(kEntry, MakeRequest(n), At(1s)).mServer !=
      first);
  }
  fixture.mLedger.Report(kEntry, { 1, SendOutcome::Answered }, At(1s));
  CHECK(fixture.mLedger.Grants() == 8);
}

namespace {

struct LoadResult
{
  int mInTime = 0;
  int mLate = 0;
  int mRefused = 0;
};

// Simulates sixty entries that send prompts with shared parts to twelve
// servers. Each server reads prompts one after the other and keeps some parts.
// The entries choose servers themselves, or through one home.
class ManyEntries
{
public:
  explicit ManyEntries(bool aHasHome)
    : mHasHome(aHasHome)
    , mRecords(Servers(kServers))
  {
    for (std::size_t n = 0; n < kEntries; ++n) {
      mPools.push_back(
        std::make_unique<ServerPool>(ZoneId("z"), ServerPoolSettings()));
      (void)mPools.back()->Update(mRecords, At(0s));
    }
    mLedger.SetServers(mRecords, At(0s));
  }

  LoadResult Run()
  {
    Random random(42);
    for (Duration time{}; time < 6s; time += 1ms) {
      const auto now = At(time);
      Finish(now);
      // 1.1 prompts per millisecond, about 0.9 of what the servers can read.
      const bool isTwo = random.Unit() < 0.1;
      for (int n = 0; n < (isTwo ? 2 : 1); ++n) {
        const auto part = 1 + random.Below(kParts);
        PlacePrompt(random.Below(kEntries), part, now);
      }
    }
    return mResult;
  }

private:
  static constexpr std::size_t kServers = 12;
  static constexpr std::size_t kEntries = 60;
  static constexpr std::uint64_t kParts = 60;
  static constexpr std::size_t kPartsKept = 8;
  static constexpr double kOwnTokens = 900;
  static constexpr double kSharedTokens = 3000;
  static constexpr double kSpeed = 100;

  struct Server
  {
    Instant mFreeAt;
    std::deque<std::uint64_t> mParts;
  };
  struct Running
  {
    std::size_t mEntry = 0;
    std::uint64_t mTicket = 0;
    SendTicket mSend;
  };

  void Finish(Instant aNow)
  {
    while (!mRunning.empty() && mRunning.begin()->first <= aNow) {
      const auto [at, it] = *mRunning.begin();
      mRunning.erase(mRunning.begin());
      mPools[it.mEntry]->OnProgress(it.mSend, at);
      (void)mPools[it.mEntry]->End(it.mSend, SendOutcome::Answered, at);
      mLedger.Report(Client(it.mEntry), { it.mTicket, std::nullopt }, at);
      mLedger.Report(
        Client(it.mEntry), { it.mTicket, SendOutcome::Answered }, at);
    }
  }

  void PlacePrompt(std::size_t aEntry, std::uint64_t aPart, Instant aNow)
  {
    auto request = MakeRequest(++mTicket, kOwnTokens);
    request.mQuery.mAffinity = Random(aPart).Next();
    request.mQuery.mMissWork = kSharedTokens;
    request.mQuery.mSharedTokens = kSharedTokens;
    request.mQuery.mServerMemory = kSharedTokens * kPartsKept;
    ServerId chosen;
    if (mHasHome) {
      const auto reply = mLedger.HandleRequest(Client(aEntry), request, aNow);
      if (reply.mOutcome != PlacementOutcome::Granted) {
        ++mResult.mRefused;
        return;
      }
      chosen = reply.mServer;
    } else {
      const auto choice = mPools[aEntry]->Choose(request.mQuery, aNow);
      if (RefusePrompt(
            choice->mTime, request.mQuery.mObjective, AdmissionSettings())) {
        ++mResult.mRefused;
        return;
      }
      chosen = choice->mServer;
    }
    const auto end = Read(mServers[chosen], aPart, aNow);
    ++(end - aNow <= request.mQuery.mObjective ? mResult.mInTime
                                               : mResult.mLate);
    mRunning.emplace(
      end,
      Running{
        aEntry, mTicket, mPools[aEntry]->Begin(chosen, request.mQuery, aNow) });
  }

  // Returns the time at which the server has read the prompt.
  static Instant Read(Server& aServer, std::uint64_t aPart, Instant aNow)
  {
    double tokens = kOwnTokens;
    const auto it = std::ranges::find(aServer.mParts, aPart);
    if (it == aServer.mParts.end()) {
      tokens += kSharedTokens;
    } else {
      aServer.mParts.erase(it);
    }
    aServer.mParts.push_front(aPart);
    aServer.mParts.resize(std::min(aServer.mParts.size(), kPartsKept));
    aServer.mFreeAt =
      std::max(aServer.mFreeAt, aNow) + FromMillis(tokens / kSpeed);
    return aServer.mFreeAt;
  }

  static PlacementClientId Client(std::size_t aEntry)
  {
    return { DaemonId("d" + std::to_string(aEntry)), 1 };
  }

  const bool mHasHome;
  const std::vector<ServerRecord> mRecords;
  std::vector<std::unique_ptr<ServerPool>> mPools;
  ServerLimits mLimits;
  PlacementLedger mLedger{ ZoneId("z"), HomeAdmissionSettings(), mLimits };
  std::map<ServerId, Server> mServers;
  std::multimap<Instant, Running> mRunning;
  std::uint64_t mTicket = 0;
  LoadResult mResult;
};

} // namespace

// Many entries share few servers. Each entry sees a sixtieth of a server's
// work, so its estimates are nearly empty: prompts with popular parts crowd on
// some servers while others idle. One home for all entries sees the whole work
// of each server.
TEST_CASE(
  "placement by one home answers more prompts in time than entries alone")
{
  const auto alone = ManyEntries(false).Run();
  const auto placed = ManyEntries(true).Run();
  CAPTURE(alone.mInTime);
  CAPTURE(alone.mLate);
  CAPTURE(placed.mInTime);
  CAPTURE(placed.mLate);
  CAPTURE(placed.mRefused);
  const int all = placed.mInTime + placed.mLate + placed.mRefused;
  CHECK(placed.mInTime > alone.mInTime);
  CHECK(placed.mInTime * 100 >= 95 * all);
  CHECK(placed.mLate * 100 <= all);
}
