#include <bilberrytrail/entry/weight_rollout.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

const ModelId kModel("m");
const std::map<ModelId, std::uint64_t> kNewest{ { kModel, 2 } };

constexpr Duration kTimeLeft = 15s;

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
    servers[n].mModels = { { kModel, 1 } };
  }
  return servers;
}

} // namespace

TEST_CASE("two servers at a time load, until all have the newest weights")
{
  auto servers = Servers(7);
  servers[3].mIsLeaving = true;
  WeightRollout rollout{ WeightRolloutSettings() };
  std::size_t maxLoading = 0;
  std::map<ServerId, Instant> loading;
  Instant now = At(0s);
  for (; now < At(60s) && WeightRollout::Pending(servers, kNewest) > 0;
       now += 200ms) {
    for (const auto& order : rollout.Next(servers, kNewest, kTimeLeft, now)) {
      CHECK(order.mVersion == 2);
      CHECK(order.mServer != servers[3].mId);
      rollout.OnOutcome(order, OrderOutcome::Accepted, now);
      loading[order.mServer] = now + 3s;
    }
    maxLoading = std::max(maxLoading, loading.size());
    for (auto& it : servers) {
      if (loading.contains(it.mId) && loading[it.mId] <= now) {
        it.mModels = { { kModel, 2 } };
        loading.erase(it.mId);
      }
    }
  }
  CHECK(maxLoading == 2);
  CHECK(WeightRollout::Pending(servers, kNewest) == 0);
  CHECK(now < At(11s));
}

TEST_CASE("more servers load at once when the time runs out")
{
  struct Row
  {
    std::size_t mServers;
    Duration mTimeLeft;
    std::size_t mConcurrent;
  };
  for (const Row& row : { Row{ 1, 15s, 1 },
                          Row{ 12, 13s, 2 },
                          Row{ 12, 9s, 3 },
                          Row{ 12, 3s, 4 },
                          Row{ 12, -5s, 4 },
                          Row{ 3, 1s, 3 },
                          // At most a third of many servers.
                          Row{ 140, 100s, 3 },
                          Row{ 140, 18s, 18 },
                          Row{ 140, 10s, 33 },
                          Row{ 140, 1s, 46 },
                          Row{ 60, 15s, 9 } }) {
    CAPTURE(row.mTimeLeft.count());
    WeightRollout rollout{ WeightRolloutSettings() };
    const auto servers = Servers(row.mServers);
    CHECK(rollout.Next(servers, kNewest, row.mTimeLeft, At(0s)).size() ==
          row.mConcurrent);
  }
}

TEST_CASE("an order is sent again after a pause that depends on its outcome")
{
  struct Case
  {
    OrderOutcome mOutcome;
    Duration mRetryAfter;
  };
  const WeightRolloutSettings settings;
  for (const Case& it :
       { Case{ OrderOutcome::Busy, settings.mRetryPause },
         Case{ OrderOutcome::NotReached, settings.mRetryPause },
         Case{ OrderOutcome::Fenced, settings.mRetryPause },
         Case{ OrderOutcome::Rejected, settings.mRetryPause },
         Case{ OrderOutcome::Unknown, settings.mUnknownPause },
         Case{ OrderOutcome::Accepted, settings.mOrderTimeout } }) {
    CAPTURE(it.mOutcome);
    const auto servers = Servers(1);
    WeightRollout rollout(settings);
    const auto first = rollout.Next(servers, kNewest, kTimeLeft, At(0s));
    REQUIRE(first.size() == 1);
    rollout.OnOutcome(first.front(), it.mOutcome, At(0s));
    CHECK(rollout.Next(servers, kNewest, kTimeLeft, At(it.mRetryAfter - 1ms))
            .empty());
    CHECK(
      rollout.Next(servers, kNewest, kTimeLeft, At(it.mRetryAfter)).size() ==
      1);
  }
}

// Guards against orders without a reply that hold up all other servers.
TEST_CASE("an order without a reply holds up others until it is checked")
{
  struct Case
  {
    OrderOutcome mCheck;
    std::size_t mNextOrders;
    bool mIsLoading;
  };
  const WeightRolloutSettings settings;
  for (const Case& it : { Case{ OrderOutcome::NotBegun, 4, false },
                          Case{ OrderOutcome::Busy, 0, true },
                          Case{ OrderOutcome::NotReached, 2, false },
                          Case{ OrderOutcome::AlreadyDone, 2, false } }) {
    CAPTURE(it.mCheck);
    const auto servers = Servers(12);
    WeightRollout rollout(settings);
    const auto first = rollout.Next(servers, kNewest, kTimeLeft, At(0s));
    REQUIRE(first.size() == 2);
    for (const auto& order : first) {
      rollout.OnOutcome(order, OrderOutcome::Unknown, At(0s));
    }
    const auto checkAt = At(settings.mCheckPause);
    CHECK(rollout.Next(servers, kNewest, kTimeLeft, checkAt).empty());
    CHECK(rollout.Checks(checkAt - 1ms).empty());
    CHECK(rollout.Checks(checkAt).size() == 2);
    CHECK(rollout.Checks(checkAt).empty());
    for (const auto& order : first) {
      rollout.OnOutcome(order, it.mCheck, checkAt);
    }
    CHECK(rollout.Loading(checkAt).contains(first[0].mServer) == it.mIsLoading);
    const auto next = rollout.Next(servers, kNewest, kTimeLeft, checkAt);
    CHECK(next.size() == it.mNextOrders);
    CHECK(std::ranges::none_of(next, [&](const WeightOrder& aOrder) {
      return aOrder.mServer == first[0].mServer;
    }));
  }
}

// Load: servers that stand by after they have loaded, until the table shows it,
// are missing at the crest of the demand.
TEST_CASE("a server that says it has loaded makes room for the next one")
{
  const WeightRolloutSettings settings;
  const auto servers = Servers(12);
  WeightRollout rollout(settings);
  const auto first = rollout.Next(servers, kNewest, kTimeLeft, At(0s));
  REQUIRE(first.size() == 2);
  for (const auto& order : first) {
    rollout.OnOutcome(order, OrderOutcome::Accepted, At(0s));
  }
  const auto checkAt = At(settings.mFirstLoadCheck);
  CHECK(rollout.Checks(checkAt - 1ms).empty());
  CHECK(rollout.Checks(checkAt).size() == 2);
  // Without an answer, or one that it has finished, a server goes on to load.
  rollout.OnOutcome(first[0], OrderOutcome::Busy, checkAt);
  rollout.OnOutcome(first[1], OrderOutcome::NotReached, checkAt);
  CHECK(rollout.Loading(checkAt).size() == 2);
  CHECK(rollout.Next(servers, kNewest, kTimeLeft, checkAt).empty());
  const auto again = checkAt + settings.mLoadRecheck;
  CHECK(rollout.Checks(again).size() == 2);
  rollout.OnOutcome(first[0], OrderOutcome::AlreadyDone, again);
  CHECK(rollout.Loading(again) == std::set{ first[1].mServer });
  CHECK(rollout.LoadTime() == again - At(0s));
  const auto next = rollout.Next(servers, kNewest, kTimeLeft, again);
  REQUIRE(next.size() == 1);
  CHECK(next[0].mServer != first[0].mServer);
  // Later ones are asked when loads usually end.
  rollout.OnOutcome(next[0], OrderOutcome::Accepted, again);
  CHECK(rollout.Checks(again + 800ms).empty());
  CHECK(rollout.Checks(again + 860ms).size() == 1);
  // The table may not show it for a while.
  CHECK(
    std::ranges::none_of(rollout.Next(servers, kNewest, kTimeLeft, again + 2s),
                         [&](const WeightOrder& aOrder) {
                           return aOrder.mServer == first[0].mServer;
                         }));
}

TEST_CASE("a newer version is ordered once the one in progress is loaded")
{
  auto servers = Servers(1);
  WeightRollout rollout{ WeightRolloutSettings() };
  const auto order = rollout.Next(servers, kNewest, kTimeLeft, At(0s)).front();
  rollout.OnOutcome(order, OrderOutcome::Accepted, At(0s));
  const std::map<ModelId, std::uint64_t> newer{ { kModel, 3 } };
  CHECK(rollout.Next(servers, newer, kTimeLeft, At(1s)).empty());
  servers[0].mModels = { { kModel, 2 } };
  const auto next = rollout.Next(servers, newer, kTimeLeft, At(2s));
  REQUIRE(next.size() == 1);
  CHECK(next.front().mVersion == 3);
}

// Guards against an order that counts as finished because another model of the
// server has a higher version: the server was ordered again at once.
TEST_CASE("an order ends with the version of its own model")
{
  const ModelId other("other");
  auto servers = Servers(1);
  servers[0].mModels = { { kModel, 1 }, { other, 9 } };
  const std::map<ModelId, std::uint64_t> newest{ { kModel, 2 }, { other, 9 } };
  WeightRollout rollout{ WeightRolloutSettings() };
  const auto order = rollout.Next(servers, newest, kTimeLeft, At(0s)).front();
  rollout.OnOutcome(order, OrderOutcome::Accepted, At(0s));
  CHECK(rollout.Next(servers, newest, kTimeLeft, At(1s)).empty());
  CHECK(rollout.Loading(At(1s)).contains(servers[0].mId));
}

// Guards against servers at the end of the list that wait for those before them
// to answer.
TEST_CASE("servers that were ordered the fewest times are ordered first")
{
  const auto servers = Servers(4);
  WeightRollout rollout{ WeightRolloutSettings() };
  for (const auto& order : rollout.Next(servers, kNewest, kTimeLeft, At(0s))) {
    rollout.OnOutcome(order, OrderOutcome::NotReached, At(500ms));
  }
  const auto next = rollout.Next(servers, kNewest, kTimeLeft, At(5s));
  REQUIRE(next.size() == 2);
  CHECK(next[0].mServer == servers[2].mId);
  CHECK(next[1].mServer == servers[3].mId);
}

// Guards against a holder that repeats orders to all servers of a large site
// every few seconds while none replies.
TEST_CASE("orders without a reply are repeated at a bounded rate")
{
  const WeightRolloutSettings settings;
  const auto servers = Servers(3000);
  WeightRollout rollout(settings);
  std::map<ServerId, std::size_t> orders;
  std::size_t repeats = 0;
  Instant now = At(0s);
  for (; now < At(60s); now += 200ms) {
    const auto left = At(kTimeLeft) - now;
    for (const auto& it : rollout.Next(servers, kNewest, left, now)) {
      repeats += ++orders[it.mServer] > 1 ? 1 : 0;
      rollout.OnOutcome(it, OrderOutcome::Unknown, now);
    }
    for (const auto& it : rollout.Checks(now)) {
      rollout.OnOutcome(it, OrderOutcome::NotBegun, now);
    }
  }
  CHECK(orders.size() == servers.size());
  CHECK(repeats > 0);
  CHECK(repeats <= static_cast<std::size_t>(60s / settings.mResendSpacing));
}

// Guards against a second version that is loaded by servers with the first one
// while others have neither.
TEST_CASE("servers with the oldest weights are ordered first")
{
  auto servers = Servers(6);
  for (const std::size_t n : { 0U, 2U, 4U, 5U }) {
    servers[n].mModels = { { kModel, 2 } };
  }
  WeightRollout rollout{ WeightRolloutSettings() };
  const auto next = rollout.Next(servers, { { kModel, 3 } }, kTimeLeft, At(0s));
  REQUIRE(next.size() == 2);
  CHECK(next[0].mServer == servers[1].mId);
  CHECK(next[1].mServer == servers[3].mId);
}

// Guards against a server that is left alone for the whole pause, or for the
// time of an accepted order, although its order can have no effect any more.
TEST_CASE("an order that can have no effect any more is replaced at once")
{
  struct Case
  {
    OrderOutcome mOutcome;
    std::uint64_t mNewest;
    std::uint64_t mServerVersion;
    bool mHasRestarted;
    std::uint64_t mOrdered;
  };
  for (const Case& it : { // Nothing has changed.
                          Case{ OrderOutcome::Unknown, 3, 1, false, 0 },
                          Case{ OrderOutcome::Accepted, 3, 1, false, 0 },
                          // A newer version was named.
                          Case{ OrderOutcome::Unknown, 4, 1, false, 4 },
                          Case{ OrderOutcome::Accepted, 4, 1, false, 0 },
                          // An earlier order was executed late.
                          Case{ OrderOutcome::Unknown, 3, 2, false, 3 },
                          // The server restarted.
                          Case{ OrderOutcome::Unknown, 3, 1, true, 3 },
                          Case{ OrderOutcome::Accepted, 3, 1, true, 3 } }) {
    CAPTURE(it.mOutcome);
    CAPTURE(it.mNewest);
    CAPTURE(it.mServerVersion);
    auto servers = Servers(1);
    WeightRollout rollout{ WeightRolloutSettings() };
    const auto first =
      rollout.Next(servers, { { kModel, 3 } }, kTimeLeft, At(0s));
    REQUIRE(first.size() == 1);
    rollout.OnOutcome(first.front(), it.mOutcome, At(0s));
    servers[0].mModels = { { kModel, it.mServerVersion } };
    servers[0].mStartedAtMs += it.mHasRestarted ? 1 : 0;
    const auto next =
      rollout.Next(servers, { { kModel, it.mNewest } }, kTimeLeft, At(200ms));
    CHECK((next.empty() ? 0 : next.front().mVersion) == it.mOrdered);
  }
}

TEST_CASE(
  "candidates request the lease in order of rank and keep it for the hold time")
{
  for (const std::size_t rank : { 0U, 1U, 5U, 7U }) {
    CAPTURE(rank);
    RolloutCandidacy candidacy;
    CHECK_FALSE(candidacy.IsWanted(rank, 0, false, At(0s)));
    const auto delay =
      std::min(RolloutCandidacy::kRankDelay * static_cast<std::int64_t>(rank),
               RolloutCandidacy::kMaxRankDelay);
    CHECK(candidacy.IsWanted(rank, 3, false, At(1s)) == (rank == 0));
    CHECK(candidacy.IsWanted(rank, 3, false, At(1s + delay)));
    CHECK(candidacy.IsWanted(rank, 0, true, At(4s)));
    CHECK_FALSE(candidacy.IsWanted(
      rank, 0, true, At(1s + delay + RolloutCandidacy::kLeaseHoldTime)));
  }
}

TEST_CASE("standby daemons request the lease when the rollout stalls")
{
  for (const std::size_t rank :
       { RolloutCandidacy::kCandidates, std::size_t{ 200 } }) {
    CAPTURE(rank);
    RolloutCandidacy candidacy;
    const auto wait =
      RolloutCandidacy::kStallTimeout +
      std::min(RolloutCandidacy::kRankDelay * static_cast<std::int64_t>(rank),
               RolloutCandidacy::kMaxRankDelay);
    Instant now = At(0s);
    for (std::size_t pending = 100; pending > 50; --pending, now += 1s) {
      CHECK_FALSE(candidacy.IsWanted(rank, pending, false, now));
    }
    const auto last = now - 1s;
    CHECK_FALSE(candidacy.IsWanted(rank, 51, false, last + wait - 1ms));
    CHECK(candidacy.IsWanted(rank, 51, false, last + wait));
    CHECK_FALSE(candidacy.IsWanted(
      rank, 0, true, last + wait + RolloutCandidacy::kLeaseHoldTime));
  }
}

// Guards against two daemons that order the same servers within the time of a
// lease: the holder gave it up when weights were named just after all servers
// had the ones before.
TEST_CASE("the holder of the lease holds on when more weights are named")
{
  struct Row
  {
    std::size_t mRank;
    bool mIsHolder;
    // Time from the last pending server to the next one.
    Duration mGap;
    bool mIsWantedAtOnce;
  };
  const Duration later = RolloutCandidacy::kLeaseHoldTime + 100ms;
  for (const auto& row : { Row{ 0, true, 100ms, true },
                           Row{ 4, true, 100ms, true },
                           Row{ 200, true, 100ms, true },
                           Row{ 4, true, 3400ms, true },
                           Row{ 4, false, 100ms, false },
                           Row{ 4, true, later, false },
                           Row{ 0, false, later, true } }) {
    CAPTURE(row.mRank);
    CAPTURE(row.mIsHolder);
    CAPTURE(row.mGap.count());
    RolloutCandidacy candidacy;
    (void)candidacy.IsWanted(row.mRank, 2, false, At(0s));
    (void)candidacy.IsWanted(row.mRank, 2, false, At(8s));
    (void)candidacy.IsWanted(row.mRank, 0, true, At(8100ms));
    const auto named = At(8s + row.mGap);
    CHECK(candidacy.IsWanted(row.mRank, 2, row.mIsHolder, named) ==
          row.mIsWantedAtOnce);
    const bool isStillHolder = row.mIsHolder && row.mIsWantedAtOnce;
    CHECK(candidacy.IsWanted(row.mRank, 2, isStillHolder, named + 100ms) ==
          row.mIsWantedAtOnce);
  }
}
