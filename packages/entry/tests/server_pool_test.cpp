#include <bilberrytrail/entry/server_pool.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace bilberrytrail;

namespace {

const ServiceId kEngines("engines");
const ServiceId kShop("shop");
const ModelId kModel("m");
const ZoneId kOwnZone("z1");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

ServerRecord
Server(int aNumber, const ServiceId& aService, std::uint64_t aVersion = 1)
{
  ServerRecord record;
  record.mId = ServerId("s" + std::to_string(aNumber));
  record.mService = aService;
  record.mEndpoint = { "10.0.0." + std::to_string(aNumber), 80 };
  record.mZone = ZoneId("z" + std::to_string(aNumber % 3));
  record.mModels = { { kModel, aVersion } };
  return record;
}

std::vector<ServerRecord>
Servers(int aCount, const ServiceId& aService, std::uint64_t aVersion = 1)
{
  std::vector<ServerRecord> servers;
  servers.reserve(static_cast<std::size_t>(aCount));
  for (int n = 0; n < aCount; ++n) {
    servers.push_back(Server(n, aService, aVersion));
  }
  return servers;
}

ServerQuery
PromptQuery(std::uint64_t aAffinity)
{
  ServerQuery query;
  query.mService = kEngines;
  query.mModel = kModel;
  query.mAffinity = aAffinity;
  query.mWork = 3000;
  query.mMissWork = 9000;
  query.mObjective = 500ms;
  return query;
}

// Returns a query with this amount of work.
ServerQuery
WorkOf(double aWork)
{
  ServerQuery query;
  query.mWork = aWork;
  return query;
}

ServerQuery
PlainQuery()
{
  ServerQuery query;
  query.mService = kShop;
  query.mObjective = 100ms;
  return query;
}

} // namespace

TEST_CASE(
  "prompts with the same shared part go to one server while it keeps up")
{
  ServerPool first(kOwnZone, ServerPoolSettings());
  ServerPool second(kOwnZone, ServerPoolSettings());
  const auto servers = Servers(9, kEngines);
  (void)first.Update(servers, At(0s));
  (void)second.Update(servers, At(0s));
  std::set<ServerId> used;
  for (std::uint64_t part = 1; part <= 200; ++part) {
    const auto choice = first.Choose(PromptQuery(part * 7919), At(0s));
    REQUIRE(choice);
    CHECK(choice->mReason == ChoiceReason::Affinity);
    used.insert(choice->mServer);
    // Another daemon chooses the same server without exchanging messages.
    CHECK(second.Choose(PromptQuery(part * 7919), At(1s))->mServer ==
          choice->mServer);
  }
  CHECK(used.size() == servers.size());
}

TEST_CASE(
  "a prompt leaves its server when the delay exceeds the cost of a cache miss")
{
  struct Case
  {
    Duration mDelay;
    bool mStays;
  };
  // Reading 9000 tokens again takes 90 ms, which counts 1.5 times.
  for (const Case& it : { Case{ 60ms, true }, Case{ 400ms, false } }) {
    CAPTURE(it.mDelay.count());
    ServerPool pool(kOwnZone, ServerPoolSettings());
    (void)pool.Update(Servers(9, kEngines), At(0s));
    const auto query = PromptQuery(42);
    const auto home = pool.Choose(query, At(0s))->mServer;
    (void)pool.Begin(home, WorkOf(0), At(0s));
    CHECK((pool.Choose(query, At(it.mDelay))->mServer == home) == it.mStays);
  }
}

TEST_CASE("an observed delay decays over time")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(9, kEngines), At(0s));
  const auto query = PromptQuery(42);
  const auto home = pool.Choose(query, At(0s))->mServer;
  const auto ticket = pool.Begin(home, WorkOf(0), At(0s));
  pool.OnProgress(ticket, At(900ms));
  (void)pool.End(ticket, SendOutcome::Answered, At(900ms));
  CHECK(pool.Choose(query, At(910ms))->mServer != home);
  CHECK(pool.Choose(query, At(4s))->mServer == home);
}

TEST_CASE("requests without prompts are spread by work and zone")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(3, kShop), At(0s));
  const auto near = pool.Choose(PlainQuery(), At(0s));
  CHECK(near->mZone == kOwnZone);
  (void)pool.Begin(near->mServer, WorkOf(1), At(0s));
  const auto next = pool.Choose(PlainQuery(), At(0s));
  CHECK(next->mServer != near->mServer);
  (void)pool.Begin(next->mServer, WorkOf(1), At(0s));
  const auto last = pool.Choose(PlainQuery(), At(0s));
  CHECK(last->mServer != near->mServer);
  CHECK(last->mServer != next->mServer);
}

TEST_CASE("a server is excluded depending on the outcomes of its sends")
{
  struct Case
  {
    SendOutcome mOutcome;
    int mTimes;
    bool mIsExcluded;
    Duration mReturnsAfter;
  };
  for (const Case& it : { Case{ SendOutcome::NoConnection, 1, true, 400ms },
                          Case{ SendOutcome::WrongServer, 1, true, 400ms },
                          Case{ SendOutcome::Full, 1, true, 150ms },
                          Case{ SendOutcome::Broken, 2, false, 0ms },
                          Case{ SendOutcome::Broken, 3, true, 400ms },
                          Case{ SendOutcome::ServerError, 3, true, 400ms },
                          Case{ SendOutcome::WrongVersion, 3, false, 0ms },
                          Case{ SendOutcome::Abandoned, 5, false, 0ms } }) {
    CAPTURE(it.mOutcome);
    CAPTURE(it.mTimes);
    ServerPool pool(kOwnZone, ServerPoolSettings());
    (void)pool.Update(Servers(3, kShop), At(0s));
    const auto server = pool.Choose(PlainQuery(), At(0s))->mServer;
    for (int n = 0; n < it.mTimes; ++n) {
      (void)pool.End(
        pool.Begin(server, WorkOf(1), At(0s)), it.mOutcome, At(0s));
    }
    const auto isUsed = [&](Duration aTime) {
      auto query = PlainQuery();
      for (const auto& other : Servers(3, kShop)) {
        if (other.mId != server) {
          query.mTried.push_back(other.mId);
        }
      }
      return pool.Choose(query, At(aTime))->mReason != ChoiceReason::LastResort;
    };
    CHECK(isUsed(0ms) != it.mIsExcluded);
    if (it.mIsExcluded) {
      CHECK_FALSE(isUsed(it.mReturnsAfter - 1ms));
      CHECK(isUsed(it.mReturnsAfter));
    }
  }
}

TEST_CASE("with all servers ejected the one that returns first is chosen")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(2, kShop), At(0s));
  const ServerId first("s0");
  const ServerId second("s1");
  for (const auto& [server, at] :
       { std::pair{ first, 0ms }, std::pair{ second, 100ms } }) {
    (void)pool.End(
      pool.Begin(server, WorkOf(1), At(at)), SendOutcome::NoConnection, At(at));
  }
  const auto choice = pool.Choose(PlainQuery(), At(200ms));
  REQUIRE(choice);
  CHECK(choice->mReason == ChoiceReason::LastResort);
  CHECK(choice->mServer == first);
}

TEST_CASE("a server that is silent while a request waits gets no more requests")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(2, kShop), At(0s));
  const auto silent = pool.Choose(PlainQuery(), At(0s))->mServer;
  const auto ticket = pool.Begin(silent, WorkOf(1), At(0s));
  auto query = PlainQuery();
  query.mTried = { silent == ServerId("s0") ? ServerId("s1") : ServerId("s0") };
  CHECK(pool.Choose(query, At(299ms))->mReason != ChoiceReason::LastResort);
  CHECK(pool.Choose(query, At(301ms))->mReason == ChoiceReason::LastResort);
  pool.OnProgress(ticket, At(400ms));
  CHECK(pool.Choose(query, At(401ms))->mReason != ChoiceReason::LastResort);
}

TEST_CASE("newest weights are preferred unless their server answers much later")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  auto servers = Servers(4, kEngines);
  servers[0].mModels = { { kModel, 2 } };
  (void)pool.Update(servers, At(0s));
  auto query = PromptQuery(0);
  query.mMissWork = 0;
  query.mNewestVersion = 2;
  CHECK(pool.Choose(query, At(0s))->mWeightVersion == 2);
  auto longPrompt = query;
  longPrompt.mWork = 60000;
  (void)pool.Begin(servers[0].mId, longPrompt, At(0s));
  CHECK(pool.Choose(query, At(0s))->mWeightVersion == 1);
  // Older weights are no longer used once a newer least version is required.
  query.mLeastVersion = 2;
  CHECK(pool.Choose(query, At(0s))->mWeightVersion == 2);
}

// Guards against servers with older weights that are chosen after the bound
// because no server, or only one that cannot be used, has newer ones.
TEST_CASE("older weights than the least version are never chosen")
{
  struct Row
  {
    const char* mName;
    // Version that the first server has; the second has version 1.
    std::uint64_t mNewest;
    bool mIsLeaving;
    bool mIsTried;
    bool mIsEjected;
    // Whether a server is chosen, the first one.
    bool mIsChosen;
  };
  for (const Row& row : { Row{ "newest", 2, false, false, false, true },
                          Row{ "none", 1, false, false, false, false },
                          Row{ "leaving", 2, true, false, false, false },
                          Row{ "tried", 2, false, true, false, false },
                          Row{ "ejected", 2, false, false, true, true } }) {
    CAPTURE(row.mName);
    ServerPool pool(kOwnZone, ServerPoolSettings());
    auto servers = Servers(2, kEngines, 1);
    servers[0].mModels = { { kModel, row.mNewest } };
    servers[0].mIsLeaving = row.mIsLeaving;
    (void)pool.Update(servers, At(0s));
    auto query = PromptQuery(0);
    query.mNewestVersion = 2;
    query.mLeastVersion = 2;
    if (row.mIsTried) {
      query.mTried = { servers[0].mId };
    }
    if (row.mIsEjected) {
      (void)pool.End(pool.Begin(servers[0].mId, query, At(0s)),
                     SendOutcome::NoConnection,
                     At(0s));
    }
    const auto choice = pool.Choose(query, At(0s));
    REQUIRE(choice.has_value() == row.mIsChosen);
    if (choice) {
      CHECK(choice->mServer == servers[0].mId);
    }
    // Rate limits are not the reason.
    CHECK_FALSE(pool.LimitDelay(query, At(0s)));
  }
}

TEST_CASE("versions named in answers override the list")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update({ { Server(1, kEngines, 1) } }, At(0s));
  const auto query = PromptQuery(0);
  CHECK(pool.Choose(query, At(0s))->mWeightVersion == 1);
  pool.DenyVersion(ServerId("s1"), kModel, 1, 2);
  CHECK(pool.Choose(query, At(0s))->mWeightVersion == 2);
  // The newest version was denied too: the list decides.
  pool.DenyVersion(ServerId("s1"), kModel, 2, 2);
  CHECK(pool.Choose(query, At(0s))->mWeightVersion == 1);
  pool.ObserveVersion(ServerId("s1"), kModel, 5);
  CHECK(pool.Choose(query, At(0s))->mWeightVersion == 5);
  // Versions observed before a restart are dropped.
  auto restarted = Server(1, kEngines, 3);
  restarted.mStartedAtMs = 77;
  CHECK(pool.Update({ { restarted } }, At(1s)).size() == 1);
  CHECK(pool.Choose(query, At(1s))->mWeightVersion == 3);
}

TEST_CASE("a loading server is excluded until the list shows its new weights")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(2, kEngines, 1), At(0s));
  auto query = PromptQuery(0);
  const auto loading = pool.Choose(query, At(0s))->mServer;
  (void)pool.End(
    pool.Begin(loading, WorkOf(1), At(0s)), SendOutcome::Full, At(0s));
  pool.ExpectLoading(loading, At(0s));
  for (int n = 0; n < 4; ++n) {
    CHECK(pool.Choose(query, At(1s))->mServer != loading);
  }
  (void)pool.Update(Servers(2, kEngines, 2), At(1s));
  std::set<ServerId> used;
  for (int n = 0; n < 4; ++n) {
    used.insert(pool.Choose(query, At(1s))->mServer);
  }
  CHECK(used.contains(loading));
}

TEST_CASE("leaving and tried servers are not chosen")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  auto servers = Servers(3, kShop);
  servers[0].mIsLeaving = true;
  (void)pool.Update(servers, At(0s));
  auto query = PlainQuery();
  query.mTried = { servers[1].mId };
  CHECK(pool.Choose(query, At(0s))->mServer == servers[2].mId);
  query.mTried.push_back(servers[2].mId);
  CHECK_FALSE(pool.Choose(query, At(0s)));
  query.mService = ServiceId("unknown");
  CHECK_FALSE(pool.Choose(query, At(0s)));
}

TEST_CASE("servers that were ordered to load weights get no prompts meanwhile")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  const auto servers = Servers(3, kEngines);
  (void)pool.Update(servers, At(0s));
  const auto chosen = [&](Instant aNow, std::uint64_t aNewest) {
    auto query = PromptQuery(7919);
    query.mNewestVersion = aNewest;
    const auto choice = pool.Choose(query, aNow);
    REQUIRE(choice);
    return choice->mServer;
  };
  const auto first = chosen(At(0s), 2);
  pool.SetLoading({ first }, At(0s));
  CHECK(chosen(At(0s), 2) != first);
  // The server has the newest weights already.
  CHECK(chosen(At(0s), 1) == first);
  const auto time = ServerPoolSettings().mLoadingNoticeTime;
  CHECK(chosen(At(time - 1ms), 2) != first);
  CHECK(chosen(At(time), 2) == first);
  pool.SetLoading({ first }, At(10s));
  pool.SetLoading({}, At(10s));
  CHECK(chosen(At(10s), 2) == first);
  // When all servers are loading, one of them is still tried.
  pool.SetLoading({ servers[0].mId, servers[1].mId, servers[2].mId }, At(20s));
  CHECK(pool.Choose(PromptQuery(7919), At(20s)));
}

TEST_CASE("a server whose loading has ended has the newest weights")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(1, kEngines), At(0s));
  auto query = PromptQuery(7919);
  query.mNewestVersion = 2;
  const auto version = [&](Instant aNow) {
    return pool.Choose(query, aNow)->mWeightVersion;
  };
  CHECK(version(At(0s)) == 1);
  pool.SetLoading({ ServerId("s0") }, At(0s));
  pool.SetLoading({}, At(1s));
  CHECK(version(At(1s)) == 2);
  // It says otherwise: the order was not carried out.
  pool.DenyVersion(ServerId("s0"), kModel, 2, 2);
  CHECK(version(At(1s)) == 1);
  // A notice that was not renewed does not tell that the loading has ended.
  pool.SetLoading({ ServerId("s0") }, At(2s));
  pool.SetLoading({}, At(2s + ServerPoolSettings().mLoadingNoticeTime));
  CHECK(version(At(5s)) == 1);
}

// Load: more prompts than a server bears that has just started and comes first
// for their shared part; the other one would read the part again.
TEST_CASE("a server that starts gets more as it answers in time")
{
  struct Row
  {
    Duration mAnswerTime;
    std::size_t mLeast;
    std::size_t mMost;
  };
  for (const Row& row : { Row{ 40ms, 6, 100 }, Row{ 600ms, 1, 2 } }) {
    CAPTURE(row.mAnswerTime.count());
    ServerPool pool(kOwnZone, ServerPoolSettings());
    (void)pool.Update(Servers(2, kEngines), At(0s));
    auto query = PromptQuery(7919);
    query.mWork = 200;
    const auto started = pool.Choose(query, At(0s))->mServer;
    auto servers = Servers(2, kEngines);
    for (auto& it : servers) {
      it.mStartedAtMs = it.mId == started ? 1 : 0;
    }
    (void)pool.Update(servers, At(0s));
    std::size_t most = 0;
    std::size_t mostAtFirst = 0;
    std::deque<std::pair<Instant, SendTicket>> sent;
    for (Instant now = At(0s); now < At(3s); now += 5ms) {
      while (!sent.empty() && sent.front().first <= now) {
        pool.OnProgress(sent.front().second, now);
        (void)pool.End(sent.front().second, SendOutcome::Answered, now);
        sent.pop_front();
      }
      const auto choice = pool.Choose(query, now);
      REQUIRE(choice);
      const auto ticket = pool.Begin(choice->mServer, query, now);
      if (choice->mServer != started) {
        pool.OnProgress(ticket, now);
        (void)pool.End(ticket, SendOutcome::Answered, now);
        continue;
      }
      sent.emplace_back(now + row.mAnswerTime, ticket);
      most = std::max(most, sent.size());
      if (now < At(40ms)) {
        mostAtFirst = most;
      }
    }
    CHECK(mostAtFirst == 2);
    CHECK(most >= row.mLeast);
    CHECK(most <= row.mMost);
  }
}

// Long prompts queue one after another, while a server starts short prompts of
// a more urgent rank at once: a burst of long prompts must not get the short
// ones refused.
TEST_CASE("delays of less urgent requests do not count for urgent ones")
{
  struct Case
  {
    unsigned mWaiting;
    unsigned mQueryRank;
    bool mIsLate;
  };
  for (const auto& it : { Case{ 2, 0, false },
                          Case{ 2, 1, false },
                          Case{ 2, 2, true },
                          Case{ 0, 2, true },
                          Case{ 1, 0, false } }) {
    CAPTURE(it.mWaiting);
    CAPTURE(it.mQueryRank);
    ServerPool pool(kOwnZone, ServerPoolSettings());
    (void)pool.Update(Servers(1, kEngines), At(0s));
    auto begun = PromptQuery(1);
    begun.mRank = it.mWaiting;
    const auto ticket = pool.Begin(ServerId("s0"), begun, At(0s));
    pool.OnProgress(ticket, At(800ms));
    // Another send still waits.
    (void)pool.Begin(ServerId("s0"), begun, At(500ms));
    auto query = PromptQuery(1);
    query.mRank = it.mQueryRank;
    const auto choice = pool.Choose(query, At(810ms));
    REQUIRE(choice);
    CHECK((choice->mTime > 200ms) == it.mIsLate);
  }
}

// Long prompts fill a server's memory while it still has free slots: one more
// prompt waits until others have ended, or makes the server drop some.
TEST_CASE("a server whose memory is taken has a higher estimate")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(2, kEngines), At(0s));
  auto query = PromptQuery(5);
  query.mMissWork = 2000;
  query.mWork = 100;
  query.mMemory = 9000;
  query.mServerMemory = 20000;
  const auto home = pool.Choose(query, At(0s))->mServer;
  // Prompts hold memory for two seconds on average.
  for (int n = 0; n < 100; ++n) {
    (void)pool.End(
      pool.Begin(home, query, At(0s)), SendOutcome::Answered, At(2s));
  }
  const auto first = pool.Begin(home, query, At(10s));
  pool.OnProgress(first, At(10s));
  CHECK(pool.Choose(query, At(10s))->mServer == home);
  const auto second = pool.Begin(home, query, At(10s));
  pool.OnProgress(second, At(10s));
  CHECK(pool.Choose(query, At(10s))->mServer != home);
  auto urgent = query;
  urgent.mRank = 0;
  query.mRank = 1;
  (void)pool.End(first, SendOutcome::Answered, At(11s));
  CHECK(pool.Choose(urgent, At(13s))->mServer == home);
}

// After a cold start or with new weights no server keeps the shared parts, and
// the first server in affinity order is no better than one with less work.
TEST_CASE("a pool that sees all prompts tracks which server keeps shared parts")
{
  ServerPoolSettings settings;
  settings.mSeesAllPrompts = true;
  ServerPool pool(kOwnZone, settings);
  (void)pool.Update(Servers(2, kEngines), At(0s));
  auto query = PromptQuery(5);
  query.mSharedTokens = 9000;
  query.mServerMemory = 50000;
  const auto home = pool.Choose(query, At(0s))->mServer;
  CHECK(pool.Choose(query, At(0s))->mTime >= 120ms);
  (void)pool.End(
    pool.Begin(home, query, At(0s)), SendOutcome::Answered, At(1s));
  const auto again = pool.Choose(query, At(1s));
  CHECK(again->mServer == home);
  CHECK(again->mReason == ChoiceReason::Affinity);
  // Other parts take the memory; the first ones are evicted.
  for (std::uint64_t part = 100; part < 120; ++part) {
    auto other = query;
    other.mAffinity = part;
    (void)pool.End(
      pool.Begin(home, other, At(2s)), SendOutcome::Answered, At(2s));
  }
  CHECK(pool.Choose(query, At(9s))->mTime >= 120ms);
}

// A daemon dies with prompts running; its home drops their grants long after
// the prompts have ended.
TEST_CASE("abandoned prompts do not affect the average memory hold time")
{
  ServerPool pool(kOwnZone, ServerPoolSettings());
  (void)pool.Update(Servers(1, kEngines), At(0s));
  auto query = PromptQuery(5);
  query.mWork = 100;
  query.mMemory = 9000;
  query.mServerMemory = 10000;
  const ServerId server("s0");
  for (int n = 0; n < 200; ++n) {
    (void)pool.End(
      pool.Begin(server, query, At(0s)), SendOutcome::Answered, At(100ms));
  }
  for (int n = 0; n < 50; ++n) {
    (void)pool.End(
      pool.Begin(server, query, At(0s)), SendOutcome::Abandoned, At(13s));
  }
  const auto running = pool.Begin(server, query, At(20s));
  pool.OnProgress(running, At(20s));
  CHECK(pool.Choose(query, At(20s))->mTime < 300ms);
}
