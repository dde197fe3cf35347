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
Ask(std::uint64_t aTicket, double aWork = 1000)
{
  PlacementRequest ask;
  ask.mGroup = kGroup;
  ask.mTicket = aTicket;
  ask.mTimeLeft = 4s;
  ask.mQuery.mService = kEngines;
  ask.mQuery.mModel = kModel;
  ask.mQuery.mWork = aWork;
  ask.mQuery.mObjective = 500ms;
  return ask;
}

const PlacementClientId kEntry{ DaemonId("d1"), 7 };

struct Fixture
{
  explicit Fixture(std::size_t aServers)
  {
    mBook.SetServers(Servers(aServers), At(0s));
  }

  PlacementLedger mBook{ ZoneId("z"), HomeAdmission() };
};

} // namespace

TEST_CASE("a home spreads work by what it granted to everybody")
{
  Fixture fixture(4);
  std::map<ServerId, int> used;
  for (std::uint64_t n = 1; n <= 40; ++n) {
    const PlacementClientId entry{ DaemonId("d" + std::to_string(n)), 1 };
    const auto reply = fixture.mBook.Ask(entry, Ask(1), At(0s));
    REQUIRE(reply.mOutcome == PlacementOutcome::Granted);
    ++used[reply.mServer];
  }
  for (const auto& [server, count] : used) {
    CHECK(count == 10);
  }
  CHECK(fixture.mBook.Grants() == 40);
}

TEST_CASE("a home refuses at once what its group cannot answer in time")
{
  Fixture fixture(1);
  CHECK(fixture.mBook.Ask(kEntry, Ask(1, 60'000), At(0s)).mOutcome ==
        PlacementOutcome::Busy);
  CHECK(fixture.mBook.Grants() == 0);
  auto repeat = Ask(2, 60'000);
  repeat.mMustPlace = true;
  CHECK(fixture.mBook.Ask(kEntry, repeat, At(0s)).mOutcome ==
        PlacementOutcome::Granted);
  const auto busy = fixture.mBook.Ask(kEntry, Ask(3), At(0s));
  CHECK(busy.mOutcome == PlacementOutcome::Busy);
  CHECK(busy.mTime > 500ms);
  CHECK(fixture.mBook.Ask(kEntry, Ask(4), At(900ms)).mOutcome ==
        PlacementOutcome::Granted);
  Fixture empty(0);
  CHECK(empty.mBook.Ask(kEntry, Ask(1), At(0s)).mOutcome ==
        PlacementOutcome::NoServer);
}

// Tells are datagrams: each may be lost, come twice, late or after the asker
// has started anew.
TEST_CASE("grants end whatever becomes of the news of them")
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
    auto& book = fixture.mBook;
    REQUIRE(book.Ask(kEntry, Ask(1), At(0s)).mOutcome ==
            PlacementOutcome::Granted);
    const PlacementReport begun{ 1, std::nullopt };
    const PlacementReport end{ 1, SendOutcome::Answered };
    if (loss == Loss::EndFirst) {
      book.Tell(kEntry, end, At(100ms));
      book.Tell(kEntry, begun, At(110ms));
    } else if (loss == Loss::Restart) {
      book.Tell({ kEntry.mDaemon, kEntry.mIncarnation + 1 }, end, At(100ms));
    } else {
      if (loss != Loss::Begin && loss != Loss::Both) {
        book.Tell(kEntry, begun, At(100ms));
      }
      if (loss != Loss::End && loss != Loss::Both) {
        book.Tell(kEntry, end, At(200ms));
      }
      if (loss == Loss::Twice) {
        book.Tell(kEntry, begun, At(210ms));
        book.Tell(kEntry, end, At(210ms));
      }
    }
    CHECK(book.Grants() == (loss == Loss::End || loss == Loss::Both ? 1 : 0));
    // Another one's question makes the home look at the time.
    (void)book.Ask({ DaemonId("d2"), 1 }, Ask(1), At(6s));
    CHECK(book.Grants() == 1);
  }
}

TEST_CASE("a question that comes twice is one grant")
{
  Fixture fixture(2);
  (void)fixture.mBook.Ask(kEntry, Ask(1), At(0s));
  (void)fixture.mBook.Ask(kEntry, Ask(1), At(5ms));
  CHECK(fixture.mBook.Grants() == 1);
}

TEST_CASE("a server that has gone is not granted")
{
  Fixture fixture(2);
  const auto first = fixture.mBook.Ask(kEntry, Ask(1), At(0s)).mServer;
  auto left = Servers(2);
  std::erase_if(left,
                [&](const auto& aServer) { return aServer.mId == first; });
  fixture.mBook.SetServers(left, At(1s));
  for (std::uint64_t n = 2; n < 10; ++n) {
    CHECK(fixture.mBook.Ask(kEntry, Ask(n), At(1s)).mServer != first);
  }
  fixture.mBook.Tell(kEntry, { 1, SendOutcome::Answered }, At(1s));
  CHECK(fixture.mBook.Grants() == 8);
}

namespace {

struct LoadResult
{
  int mInTime = 0;
  int mLate = 0;
  int mRefused = 0;
};

// Sixty entries send prompts with shared parts to twelve servers that read one
// after the other and keep some parts. They choose by themselves, or by one
// home.
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
    mBook.SetServers(mRecords, At(0s));
  }

  LoadResult Run()
  {
    Random random(42);
    for (Duration time{}; time < 6s; time += 1ms) {
      const auto now = At(time);
      Finish(now);
      // 1.1 prompts a millisecond, about 0.9 of what the servers can read.
      const bool isTwo = random.Unit() < 0.1;
      for (int n = 0; n < (isTwo ? 2 : 1); ++n) {
        const auto part = 1 + random.Below(kParts);
        Place(random.Below(kEntries), part, now);
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
      mBook.Tell(Client(it.mEntry), { it.mTicket, std::nullopt }, at);
      mBook.Tell(Client(it.mEntry), { it.mTicket, SendOutcome::Answered }, at);
    }
  }

  void Place(std::size_t aEntry, std::uint64_t aPart, Instant aNow)
  {
    auto ask = Ask(++mTicket, kOwnTokens);
    ask.mQuery.mAffinity = Random(aPart).Next();
    ask.mQuery.mMissWork = kSharedTokens;
    ask.mQuery.mSharedTokens = kSharedTokens;
    ask.mQuery.mServerMemory = kSharedTokens * kPartsKept;
    ServerId chosen;
    if (mHasHome) {
      const auto reply = mBook.Ask(Client(aEntry), ask, aNow);
      if (reply.mOutcome != PlacementOutcome::Granted) {
        ++mResult.mRefused;
        return;
      }
      chosen = reply.mServer;
    } else {
      const auto choice = mPools[aEntry]->Choose(ask.mQuery, aNow);
      if (RefusePrompt(
            choice->mTime, ask.mQuery.mObjective, AdmissionSettings())) {
        ++mResult.mRefused;
        return;
      }
      chosen = choice->mServer;
    }
    const auto end = Read(mServers[chosen], aPart, aNow);
    ++(end - aNow <= ask.mQuery.mObjective ? mResult.mInTime : mResult.mLate);
    mRunning.emplace(
      end,
      Running{
        aEntry, mTicket, mPools[aEntry]->Begin(chosen, ask.mQuery, aNow) });
  }

  // Returns when the server has read the prompt.
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
  PlacementLedger mBook{ ZoneId("z"), HomeAdmission() };
  std::map<ServerId, Server> mServers;
  std::multimap<Instant, Running> mRunning;
  std::uint64_t mTicket = 0;
  LoadResult mResult;
};

} // namespace

// Pattern: many entries before few servers. Each sees a sixtieth of a server's
// work, so that its estimate is empty: hot parts crowd on some servers while
// others idle. One home for all of them sees each server's whole work.
TEST_CASE("one home answers more prompts in time than entries by themselves")
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
