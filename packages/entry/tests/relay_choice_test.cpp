#include "relay_choice.h"

#include <doctest/doctest.h>

#include <set>

using namespace bilberrytrail;

namespace {

const ZoneId kZone("a");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

std::vector<PeerAddress>
Daemons(std::size_t aCount, const ZoneId& aZone = kZone)
{
  std::vector<PeerAddress> daemons;
  for (std::size_t n = 0; n < aCount; ++n) {
    daemons.push_back({ DaemonId(aZone.Text() + std::to_string(n)),
                        { "10.0.0.1", static_cast<std::uint16_t>(n + 1) },
                        aZone });
  }
  return daemons;
}

} // namespace

TEST_CASE("all daemons of a large zone choose the same relay")
{
  auto peers = Daemons(20);
  for (const auto& it : Daemons(20, ZoneId("b"))) {
    peers.push_back(it);
  }
  std::set<DaemonId> relays;
  std::size_t direct = 0;
  for (const auto& self : Daemons(20)) {
    const auto relay = RelayChoice(self).Pick(peers, At(0s));
    CHECK(RelayChoice(self).IsFirst(peers) == !relay.has_value());
    if (relay) {
      relays.insert(relay->mName);
      CHECK(relay->mZone == kZone);
    } else {
      ++direct;
    }
  }
  CHECK(relays.size() == 1);
  CHECK(direct == 1);
}

TEST_CASE("daemons of small zones choose no relay")
{
  auto peers = Daemons(RelayChoice::kDirectDaemons);
  for (const auto& it : Daemons(20, ZoneId("b"))) {
    peers.push_back(it);
  }
  for (const auto& self : Daemons(RelayChoice::kDirectDaemons)) {
    CHECK_FALSE(RelayChoice(self).Pick(peers, At(0s)));
    CHECK_FALSE(RelayChoice(self).IsFirst(peers));
  }
}

TEST_CASE("the back-off of a relay doubles with each failure up to its maximum")
{
  const auto peers = Daemons(20);
  PeerAddress self;
  std::optional<PeerAddress> first;
  for (const auto& it : peers) {
    first = RelayChoice(it).Pick(peers, At(0s));
    if (first) {
      self = it;
      break;
    }
  }
  REQUIRE(first);
  RelayChoice choice(self);
  Duration backOff = RelayChoice::kMinBackOff;
  Instant now = At(0s);
  for (int n = 0; n < 8; ++n) {
    CAPTURE(n);
    choice.OnFailure(first->mName, now);
    const auto next = choice.Pick(peers, now);
    CHECK((!next || next->mName != first->mName));
    const auto before = choice.Pick(peers, now + backOff - 1ms);
    CHECK((!before || before->mName != first->mName));
    now += backOff;
    REQUIRE(choice.Pick(peers, now));
    CHECK(choice.Pick(peers, now)->mName == first->mName);
    backOff = std::min(backOff * 2, RelayChoice::kMaxBackOff);
  }
  choice.OnAnswer(first->mName);
  choice.OnFailure(first->mName, now);
  CHECK(choice.Pick(peers, now + RelayChoice::kMinBackOff)->mName ==
        first->mName);
}

TEST_CASE("no relay is chosen while all daemons are in back-off")
{
  const auto peers = Daemons(7);
  RelayChoice choice(peers.front());
  for (const auto& it : peers) {
    choice.OnFailure(it.mName, At(0s));
  }
  CHECK_FALSE(choice.Pick(peers, At(0s)));
}

TEST_CASE("rows of daemons are read with and without a zone")
{
  struct Row
  {
    const char* mText;
    bool mIsGood;
    const char* mZone;
  };
  for (const Row& row : { Row{ "10.0.0.1:7700 a 10", true, "a" },
                          Row{ "10.0.0.1:7700 a", true, "a" },
                          Row{ "10.0.0.1:7700", true, "" },
                          Row{ "10.0.0.1:7700 a 10 10.0.0.1:7701", true, "a" },
                          Row{ "10.0.0.1:7700 a 10 x", true, "a" },
                          Row{ "10.0.0.1:7700 ", true, "" },
                          Row{ "10.0.0.1", false, "" },
                          Row{ "", false, "" } }) {
    CAPTURE(row.mText);
    const auto peer = ReadPeerRow(DaemonId("d"), row.mText);
    CHECK(peer.has_value() == row.mIsGood);
    if (peer) {
      CHECK(peer.value().mZone == ZoneId(row.mZone));
    }
  }
  const Endpoint bulk{ "10.0.0.1", 7701 };
  const PeerAddress peer{
    DaemonId("d"), { "10.0.0.1", 7700 }, kZone, 12.5, bulk
  };
  const auto read = ReadPeerRow(peer.mName, ToRowText(peer));
  REQUIRE(read.has_value());
  CHECK(read.value().mZone == kZone);
  CHECK(read.value().mLinkMbps == 12.5);
  CHECK(read.value().mBulk == bulk);
}

// A relay with a slow link would delay its own requests with its answers to the
// zone.
TEST_CASE("daemons with fast links are preferred as relays")
{
  auto peers = Daemons(20);
  for (auto& it : peers) {
    it.mLinkMbps = 10;
  }
  peers[7].mLinkMbps = 200;
  peers[13].mLinkMbps = 150;
  for (const auto& self : peers) {
    RelayChoice choice(self);
    const auto relay = choice.Pick(peers, At(0s));
    if (relay) {
      CHECK(relay->mLinkMbps >= 150);
    } else {
      CHECK(self.mLinkMbps >= 150);
    }
    choice.OnFailure(peers[7].mName, At(0s));
    choice.OnFailure(peers[13].mName, At(0s));
    const auto next = choice.Pick(peers, At(0s));
    CHECK((!next || next->mLinkMbps == 10));
  }
}

TEST_CASE("a choice for another zone considers only that zone's daemons")
{
  const auto others = Daemons(20, ZoneId("b"));
  const RelayChoice choice(DaemonId("a0"), ZoneId("b"));
  CHECK(choice.Pick(others, At(0s)));
  CHECK_FALSE(choice.Pick(Daemons(20), At(0s)));
}
