#include "gossip_simulation.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr GossipSettings kSettings;

bool
AllSee(GossipSimulation& aSimulation, const DaemonId& aId, MemberStatus aStatus)
{
  for (auto& [address, node] : aSimulation.Nodes()) {
    const bool expected =
      node.mRunning && !node.mPaused && node.mGossip.Self().mId != aId;
    const auto seen = node.mSeen.find(aId);
    if (expected && (seen == node.mSeen.end() || seen->second != aStatus)) {
      return false;
    }
  }
  return true;
}

std::size_t
CountDead(GossipSimulation& aSimulation)
{
  std::size_t count = 0;
  for (auto& [address, node] : aSimulation.Nodes()) {
    for (const auto& [id, status] : node.mSeen) {
      count += status == MemberStatus::Dead ? 1U : 0U;
    }
  }
  return count;
}

} // namespace

TEST_CASE("all members learn of joins, a departure and a death in time")
{
  constexpr Duration kLeaveBound = 3s;
  struct Row
  {
    std::size_t mCount;
    double mLoss;
  };
  const Row rows[] = {
    { 8, 0 }, { 8, 0.1 }, { 32, 0.1 }, { 128, 0.05 }, { 400, 0.05 }
  };
  for (const auto& it : rows) {
    CAPTURE(it.mCount);
    CAPTURE(it.mLoss);
    GossipSimulation simulation(11, it.mLoss);
    simulation.AddAll(it.mCount);
    const auto joined =
      simulation.RunUntil([&] { return simulation.AllCount(it.mCount); }, 30s);
    REQUIRE(joined);
    simulation.Run(15s);
    REQUIRE(CountDead(simulation) == 0);
    auto& leaving = simulation.At(3);
    const DaemonId left = leaving.mGossip.Self().mId;
    simulation.Deliver(leaving, leaving.mGossip.Leave(simulation.Now()));
    const auto stop = simulation.RunUntil(
      [&] { return AllSee(simulation, left, MemberStatus::Left); },
      kLeaveBound);
    CHECK(stop);
    CHECK(leaving.mGossip.LiveMembers().size() == it.mCount - 1);
    leaving.mRunning = false;
    const DaemonId gone = simulation.At(it.mCount / 2).mGossip.Self().mId;
    simulation.At(it.mCount / 2).mRunning = false;
    const Duration bound = DeathDetectionBound(kSettings, it.mCount);
    const auto found = simulation.RunUntil(
      [&] { return AllSee(simulation, gone, MemberStatus::Dead); }, bound);
    CHECK(found);
    CHECK(AllSee(simulation, left, MemberStatus::Left));
    CHECK(simulation.AllCount(it.mCount - 2));
    MESSAGE(it.mCount << " members, loss " << it.mLoss << ": joined in "
                      << ToMillis(joined.value_or(0s))
                      << " ms, departure known in "
                      << ToMillis(stop.value_or(0s)) << " ms, death known in "
                      << ToMillis(found.value_or(0s)) << " ms of "
                      << ToMillis(bound));
  }
}

TEST_CASE("bytes per second of a member stay bounded as the cluster grows")
{
  constexpr double kMaxBytesPerSecond = 1500;
  constexpr std::chrono::seconds kMeasured(10);
  for (const std::size_t count : { 8UL, 32UL, 128UL, 400UL }) {
    GossipSimulation simulation(5);
    simulation.AddAll(count);
    simulation.At(0).mGossip.RaiseNumber("release/brotlag", 4);
    simulation.At(0).mGossip.RaiseNumber("release/lissadell", 9);
    simulation.Run(40s);
    REQUIRE(simulation.AllCount(count));
    std::uint64_t before = 0;
    std::uint64_t after = 0;
    for (const auto& [address, node] : simulation.Nodes()) {
      before += node.mBytesSent;
    }
    simulation.Run(kMeasured);
    for (const auto& [address, node] : simulation.Nodes()) {
      after += node.mBytesSent;
    }
    const double each = static_cast<double>(after - before) /
                        static_cast<double>(kMeasured.count()) /
                        static_cast<double>(count);
    MESSAGE(count << " members: " << each << " bytes/s sent by each");
    CHECK(each < kMaxBytesPerSecond);
  }
}

TEST_CASE(
  "a briefly paused member is suspected, then refutes, and is never dead")
{
  GossipSimulation simulation(3);
  simulation.AddAll(32);
  simulation.Run(20s);
  auto& paused = simulation.At(5);
  const DaemonId id = paused.mGossip.Self().mId;
  paused.mPaused = true;
  const auto suspected = simulation.RunUntil(
    [&] { return simulation.At(9).mSeen[id] == MemberStatus::Suspect; }, 5s);
  REQUIRE(suspected);
  paused.mPaused = false;
  REQUIRE(simulation.RunUntil(
    [&] { return AllSee(simulation, id, MemberStatus::Alive); }, 5s));
  simulation.Run(20s);
  CHECK(AllSee(simulation, id, MemberStatus::Alive));
  CHECK(CountDead(simulation) == 0);
  CHECK(paused.mGossip.Self().mIncarnation > Incarnation(0));
}

TEST_CASE("a member declared dead during a pause rejoins and suspects no one")
{
  GossipSimulation simulation(4, 0.05);
  simulation.AddAll(32);
  simulation.Run(20s);
  auto& paused = simulation.At(5);
  const DaemonId id = paused.mGossip.Self().mId;
  paused.mPaused = true;
  simulation.Run(60s);
  REQUIRE(AllSee(simulation, id, MemberStatus::Dead));
  paused.mPaused = false;
  CHECK(simulation.RunUntil(
    [&] { return AllSee(simulation, id, MemberStatus::Alive); }, 5s));
  simulation.Run(20s);
  CHECK(simulation.AllCount(32));
  for (const auto& [other, status] : paused.mSeen) {
    CHECK(status == MemberStatus::Alive);
  }
}

TEST_CASE("the sides of a partition drop each other and rejoin when it heals")
{
  for (const std::size_t count : { 8UL, 64UL }) {
    CAPTURE(count);
    GossipSimulation simulation(6, 0.02);
    simulation.AddAll(count);
    simulation.Run(20s);
    for (std::size_t n = 0; n < count / 2; ++n) {
      simulation.At(2 * n).mSide = 1;
    }
    CHECK(
      simulation.RunUntil([&] { return simulation.AllCount(count / 2); }, 40s));
    simulation.Run(60s);
    for (std::size_t n = 0; n < count; ++n) {
      simulation.At(n).mSide = 0;
    }
    CHECK(simulation.RunUntil([&] { return simulation.AllCount(count); }, 30s));
  }
}

TEST_CASE("a daemon restarted at the same address is a new member")
{
  GossipSimulation simulation(9);
  simulation.AddAll(16);
  simulation.Run(15s);
  const DaemonId old = simulation.At(7).mGossip.Self().mId;
  simulation.Add(7, { GossipSimulation::AddressOf(0) }, 1);
  const DaemonId restarted = simulation.At(7).mGossip.Self().mId;
  CHECK(simulation.RunUntil(
    [&] {
      return AllSee(simulation, restarted, MemberStatus::Alive) &&
             simulation.AllCount(16);
    },
    5s));
  CHECK(simulation.At(1).mSeen[old] == MemberStatus::Dead);
  simulation.Run(20s);
  CHECK(simulation.AllCount(16));
}

TEST_CASE(
  "a message from a new process at an address marks the earlier one dead")
{
  Gossip gossip({ .mId = DaemonId("a#0"),
                  .mIncarnation = {},
                  .mStatus = MemberStatus::Alive,
                  .mZone = ZoneId("z"),
                  .mEndpoint = GossipSimulation::AddressOf(0) },
                kSettings,
                1);
  const Instant now = Instant() + 1000s;
  GossipMessage message;
  message.mSender.mEndpoint = GossipSimulation::AddressOf(1);
  for (const char* id : { "b#0", "b#1" }) {
    message.mSender.mId = DaemonId(id);
    (void)gossip.Receive(message, now);
    const auto live = gossip.LiveMembers();
    REQUIRE(live.size() == 2);
    CHECK(live[1].mId == DaemonId(id));
  }
}

TEST_CASE("a process suspects no one for answers missed while it was paused")
{
  Gossip gossip({ .mId = DaemonId("a#0"),
                  .mIncarnation = {},
                  .mStatus = MemberStatus::Alive,
                  .mZone = ZoneId("z"),
                  .mEndpoint = GossipSimulation::AddressOf(0) },
                kSettings,
                1);
  Instant now = Instant() + 1000s;
  GossipMessage message;
  for (const std::size_t n : { 1UL, 2UL }) {
    message.mSender.mId = DaemonId("peer-" + std::to_string(n));
    message.mSender.mEndpoint = GossipSimulation::AddressOf(n);
    // One of them is already a suspect.
    message.mSender.mStatus =
      n == 2 ? MemberStatus::Suspect : MemberStatus::Alive;
    (void)gossip.Receive(message, now);
  }
  (void)gossip.Tick(now);
  now += 60s;
  bool requestsSync = false;
  for (const auto& it : gossip.Tick(now)) {
    CHECK_FALSE(std::holds_alternative<MemberChanged>(it));
    const auto* send = std::get_if<SendGossip>(&it);
    requestsSync =
      requestsSync ||
      (send != nullptr && send->mMessage.mKind == GossipKind::SyncRequest);
  }
  CHECK(requestsSync);
  CHECK(gossip.LiveMembers().size() == 3);
}

TEST_CASE("the platform's list neither adds nor removes members")
{
  GossipSimulation simulation(10);
  const std::vector<Endpoint> listed = { GossipSimulation::AddressOf(0),
                                         GossipSimulation::AddressOf(99) };
  for (std::size_t n = 0; n < 5; ++n) {
    simulation.Add(n, listed);
  }
  simulation.Run(30s);
  CHECK(simulation.AllCount(5));
  for (std::size_t n = 0; n < 5; ++n) {
    simulation.At(n).mGossip.SetListedEndpoints(
      { GossipSimulation::AddressOf(99) });
  }
  simulation.Run(30s);
  CHECK(simulation.AllCount(5));
}

TEST_CASE("a raised number reaches all members and never decreases")
{
  GossipSimulation simulation(12, 0.05);
  simulation.AddAll(128);
  simulation.Run(20s);
  const std::string name = ReleaseNumberName(ProductId("brotlag"));
  simulation.At(0).mGossip.RaiseNumber(name, 7);
  simulation.At(1).mGossip.RaiseNumber(name, 5);
  const auto reached = simulation.RunUntil(
    [&] {
      return std::all_of(simulation.Nodes().begin(),
                         simulation.Nodes().end(),
                         [&](const auto& aItem) {
                           return aItem.second.mGossip.NumberOf(name) == 7;
                         });
    },
    5s);
  CHECK(reached);
  simulation.At(2).mGossip.RaiseNumber(name, 6);
  CHECK(simulation.At(2).mGossip.NumberOf(name) == 7);
}
