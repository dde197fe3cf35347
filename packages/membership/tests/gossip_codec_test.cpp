#include <bilberrytrail/base/random.h>
#include <bilberrytrail/membership/gossip_message.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

MemberRecord
MakeRecord(int aIndex)
{
  return { DaemonId("10.0.0.1:7000#" + std::to_string(aIndex)),
           Incarnation(3),
           MemberStatus::Suspect,
           ZoneId("zone-1"),
           { "10.0.0.1", 7000 } };
}

GossipMessage
MakeMessage()
{
  GossipMessage message;
  message.mKind = GossipKind::PingRequest;
  message.mSequence = 1ULL << 40U;
  message.mSender = MakeRecord(0);
  message.mTarget = DaemonId("target");
  message.mTargetEndpoint = { "10.0.0.2", 65535 };
  message.mMembers = { MakeRecord(1), MakeRecord(2) };
  message.mNumbers = { { "release/brotlag", 7 } };
  return message;
}

} // namespace

TEST_CASE("a decoded message equals the encoded one")
{
  GossipMessage bare;
  bare.mSender = MakeRecord(0);
  for (const GossipMessage& it : { bare, MakeMessage() }) {
    const auto back = GossipMessageFromBytes(ToBytes(it));
    REQUIRE(back);
    CHECK(back.value() == it);
  }
}

TEST_CASE("malformed, truncated and oversized messages are rejected")
{
  const std::string good = ToBytes(MakeMessage());
  struct Row
  {
    const char* mName;
    std::string mBytes;
  };
  const Row rows[] = {
    { "empty", "" },
    { "text", "hello" },
    { "deep nesting", std::string(200000, '\x81') },
    { "deep nesting of indefinite-length arrays", std::string(200000, '\x9f') },
    { "huge array", std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", 9) },
    { "huge text", std::string("\x7b\x7f\xff\xff\xff\xff\xff\xff\xff", 9) },
    { "too many bytes", std::string(kMaxGossipBytes + 1, '\x80') },
    { "trailing bytes", good + "x" },
    { "map", std::string("\xa0", 1) },
  };
  for (const auto& it : rows) {
    CAPTURE(it.mName);
    CHECK_FALSE(GossipMessageFromBytes(it.mBytes));
  }
  for (std::size_t n = 0; n < good.size(); ++n) {
    CHECK_FALSE(GossipMessageFromBytes(good.substr(0, n)));
  }
}

TEST_CASE("fields that are out of range are rejected")
{
  GossipMessage wrong = MakeMessage();
  SUBCASE("status")
  {
    wrong.mMembers[0].mStatus = static_cast<MemberStatus>(9);
  }
  SUBCASE("kind")
  {
    wrong.mKind = static_cast<GossipKind>(9);
  }
  SUBCASE("sender without an id")
  {
    wrong.mSender.mId = DaemonId();
  }
  SUBCASE("long text")
  {
    wrong.mTarget = DaemonId(std::string(200, 'a'));
  }
  SUBCASE("many members")
  {
    wrong.mMembers.assign(kMaxGossipMembers + 1, MemberRecord{});
  }
  SUBCASE("many numbers")
  {
    wrong.mNumbers.assign(kMaxGossipNumbers + 1, { "n", 1 });
  }
  CHECK_FALSE(GossipMessageFromBytes(ToBytes(wrong)));
}

TEST_CASE("randomly corrupted messages do not crash the decoder")
{
  Random random(7);
  const std::string good = ToBytes(MakeMessage());
  int rejected = 0;
  for (int n = 0; n < 20000; ++n) {
    std::string bytes = good;
    for (int flips = 0; flips < 3; ++flips) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    }
    rejected += GossipMessageFromBytes(bytes) ? 0 : 1;
  }
  CHECK(rejected > 0);
}
