#include <bilberrytrail/entry/weight_rollout.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

const ModelId kModel("m");
const std::map<ModelId, std::uint64_t> kNewest{ { kModel, 2 } };

constexpr Duration kTime = 15s;

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
  WeightRoll roll{ WeightRollSettings() };
  std::size_t most = 0;
  std::map<ServerId, Instant> loading;
  Instant now = At(0s);
  for (; now < At(60s) && WeightRoll::Pending(servers, kNewest) > 0;
       now += 200ms) {
    for (const auto& order : roll.Next(servers, kNewest, kTime, now)) {
      CHECK(order.mVersion == 2);
      CHECK(order.mServer != servers[3].mId);
      roll.OnOutcome(order, OrderOutcome::Accepted, now);
      loading[order.mServer] = now + 3s;
    }
    most = std::max(most, loading.size());
    for (auto& it : servers) {
      if (loading.contains(it.mId) && loading[it.mId] <= now) {
        it.mModels = { { kModel, 2 } };
        loading.erase(it.mId);
      }
    }
  }
  CHECK(most == 2);
  CHECK(WeightRoll::Pending(servers, kNewest) == 0);
  CHECK(now < At(11s));
}

TEST_CASE("more servers load at once when the time runs out")
{
  struct Row
  {
    std::size_t mServers;
    Duration mTimeLeft;
    std::size_t mAtOnce;
  };
  for (const Row& row : { Row{ 1, 15s, 1 },
                          Row{ 12, 13s, 2 },
                          Row{ 12, 9s, 3 },
                          Row{ 12, 3s, 4 },
                          Row{ 12, -5s, 4 },
                          Row{ 3, 1s, 3 },
                          // A third of many at most.
                          Row{ 140, 100s, 3 },
                          Row{ 140, 18s, 18 },
                          Row{ 140, 10s, 33 },
                          Row{ 140, 1s, 46 },
                          Row{ 60, 15s, 9 } }) {
    CAPTURE(row.mTimeLeft.count());
    WeightRoll roll{ WeightRollSettings() };
    const auto servers = Servers(row.mServers);
    CHECK(roll.Next(servers, kNewest, row.mTimeLeft, At(0s)).size() ==
          row.mAtOnce);
  }
}

TEST_CASE("an order that did not take is sent again, when depends on why")
{
  struct Case
  {
    OrderOutcome mOutcome;
    Duration mAgainAfter;
  };
  const WeightRollSettings settings;
  for (const Case& it :
       { Case{ OrderOutcome::Busy, settings.mRetryPause },
         Case{ OrderOutcome::NotReached, settings.mRetryPause },
         Case{ OrderOutcome::Fenced, settings.mRetryPause },
         Case{ OrderOutcome::Rejected, settings.mRetryPause },
         Case{ OrderOutcome::Unknown, settings.mUnknownPause },
         Case{ OrderOutcome::Accepted, settings.mOrderTime } }) {
    CAPTURE(it.mOutcome);
    const auto servers = Servers(1);
    WeightRoll roll(settings);
    const auto first = roll.Next(servers, kNewest, kTime, At(0s));
    REQUIRE(first.size() == 1);
    roll.OnOutcome(first.front(), it.mOutcome, At(0s));
    CHECK(roll.Next(servers, kNewest, kTime, At(it.mAgainAfter - 1ms)).empty());
    CHECK(roll.Next(servers, kNewest, kTime, At(it.mAgainAfter)).size() == 1);
  }
}

TEST_CASE("a newer version is ordered once the one under way is in place")
{
  auto servers = Servers(1);
  WeightRoll roll{ WeightRollSettings() };
  const auto order = roll.Next(servers, kNewest, kTime, At(0s)).front();
  roll.OnOutcome(order, OrderOutcome::Accepted, At(0s));
  const std::map<ModelId, std::uint64_t> newer{ { kModel, 3 } };
  CHECK(roll.Next(servers, newer, kTime, At(1s)).empty());
  servers[0].mModels = { { kModel, 2 } };
  const auto next = roll.Next(servers, newer, kTime, At(2s));
  REQUIRE(next.size() == 1);
  CHECK(next.front().mVersion == 3);
}

TEST_CASE(
  "the first daemons ask for the lease one after the other and keep it a while")
{
  for (const std::size_t rank : { 0U, 1U, 5U, 7U }) {
    CAPTURE(rank);
    RollDuty duty;
    CHECK_FALSE(duty.IsWanted(rank, 0, At(0s)));
    const auto turn =
      std::min(RollDuty::kRankTime * static_cast<std::int64_t>(rank),
               RollDuty::kMaxRankTime);
    CHECK(duty.IsWanted(rank, 3, At(1s)) == (rank == 0));
    CHECK(duty.IsWanted(rank, 3, At(1s + turn)));
    CHECK(duty.IsWanted(rank, 0, At(4s)));
    CHECK_FALSE(duty.IsWanted(rank, 0, At(1s + turn + RollDuty::kKeepTime)));
  }
}

TEST_CASE("daemons of a high rank ask for the lease when the roll stalls")
{
  for (const std::size_t rank : { RollDuty::kSeekers, std::size_t{ 200 } }) {
    CAPTURE(rank);
    RollDuty duty;
    const auto wait =
      RollDuty::kStallTime +
      std::min(RollDuty::kRankTime * static_cast<std::int64_t>(rank),
               RollDuty::kMaxRankTime);
    Instant now = At(0s);
    for (std::size_t pending = 100; pending > 50; --pending, now += 1s) {
      CHECK_FALSE(duty.IsWanted(rank, pending, now));
    }
    const auto last = now - 1s;
    CHECK_FALSE(duty.IsWanted(rank, 51, last + wait - 1ms));
    CHECK(duty.IsWanted(rank, 51, last + wait));
    CHECK_FALSE(duty.IsWanted(rank, 0, last + wait + RollDuty::kKeepTime));
  }
}
