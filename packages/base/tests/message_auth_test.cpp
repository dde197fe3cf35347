#include <bilberrytrail/base/message_auth.h>
#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;

namespace {

const std::string kKey(32, 'k');
const DaemonId kAlice("alice");
const DaemonId kBob("bob");
constexpr std::int64_t kNow = 1'790'000'000'000;
constexpr std::int64_t kWindow = 30'000;

MessageOpener
BobOpener(std::size_t aMaxSenders = 16)
{
  return { kKey, kBob, { kWindow, 0, aMaxSenders } };
}

// Returns the name of the fault, or "" when the message is opened.
std::string
FaultOf(MessageOpener& aOpener, std::string_view aWire, std::int64_t aNow)
{
  const auto opened = aOpener.Open(aWire, aNow);
  return opened ? "" : std::string(ToName(opened.error()));
}

} // namespace

TEST_CASE("a sealed message opens once, with its sender and body")
{
  MessageSealer sealer(kKey, kAlice, 7);
  auto opener = BobOpener();
  const std::string body("\0body", 5);
  const auto wire = sealer.Seal(kBob, body, kNow);
  CHECK(wire.size() == body.size() + kSealBytes + 5 + 3);
  const auto opened = opener.Open(wire, kNow);
  REQUIRE(opened.has_value());
  CHECK(opened.value().mSender == kAlice);
  CHECK(opened.value().mSequence == 7);
  CHECK(opened.value().mBody == body);
  CHECK(FaultOf(opener, wire, kNow) == "replayed");
}

TEST_CASE("messages with another key, receiver or time are rejected")
{
  struct Row
  {
    std::string mKey;
    DaemonId mReceiver;
    std::int64_t mSentAt;
    std::string mFault;
  };
  const Row rows[] = {
    { kKey, kBob, kNow, "" },
    { kKey, kBob, kNow - kWindow, "" },
    { kKey, kBob, kNow + kWindow, "" },
    { kKey, kBob, kNow - kWindow - 1, "old" },
    { kKey, kBob, kNow + kWindow + 1, "old" },
    { kKey, DaemonId("carol"), kNow, "wrong_receiver" },
    { std::string(32, 'x'), kBob, kNow, "bad_mac" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mFault);
    MessageSealer sealer(row.mKey, kAlice, 1);
    auto opener = BobOpener();
    CHECK(FaultOf(opener, sealer.Seal(row.mReceiver, "x", row.mSentAt), kNow) ==
          row.mFault);
  }
}

TEST_CASE("messages may arrive out of order within the replay window")
{
  MessageSealer sealer(kKey, kAlice, 1);
  auto opener = BobOpener();
  constexpr std::size_t kMessages = 8193;
  std::vector<std::string> wires;
  wires.reserve(kMessages);
  for (std::size_t n = 0; n < kMessages; ++n) {
    wires.push_back(sealer.Seal(kBob, "x", kNow));
  }
  CHECK(FaultOf(opener, wires[kMessages - 1], kNow).empty());
  CHECK(FaultOf(opener, wires[1], kNow).empty());
  CHECK(FaultOf(opener, wires[1], kNow) == "replayed");
  CHECK(FaultOf(opener, wires[0], kNow) == "replayed");
  CHECK(FaultOf(opener, wires[5000], kNow).empty());
  CHECK(FaultOf(opener, wires[kMessages - 1], kNow) == "replayed");
}

TEST_CASE("a message cannot be replayed after its sender was dropped")
{
  MessageSealer alice(kKey, kAlice, 1);
  auto opener = BobOpener(1);
  const auto ahead = alice.Seal(kBob, "ahead", kNow + kWindow);
  const auto wire = alice.Seal(kBob, "x", kNow);
  CHECK(FaultOf(opener, ahead, kNow).empty());
  CHECK(FaultOf(opener, wire, kNow).empty());
  MessageSealer carol(kKey, DaemonId("carol"), 1);
  struct Row
  {
    std::int64_t mNow;
    std::string mCarol;
    std::string mReplay;
  };
  const Row rows[] = {
    { kNow + 1, "too_many_senders", "replayed" },
    { kNow + 2 * kWindow, "too_many_senders", "replayed" },
    { kNow + 2 * kWindow + 1, "", "old" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mNow);
    CHECK(FaultOf(opener, ahead, row.mNow) == row.mReplay);
    CHECK(FaultOf(opener, carol.Seal(kBob, "c", row.mNow), row.mNow) ==
          row.mCarol);
    CHECK(opener.SenderCount() == 1);
  }
}

TEST_CASE("a restarted sender with a higher first sequence is accepted")
{
  auto opener = BobOpener();
  MessageSealer before(kKey, kAlice, 1'000'000);
  MessageSealer after(kKey, kAlice, 9'000'000);
  CHECK(FaultOf(opener, before.Seal(kBob, "x", kNow), kNow).empty());
  CHECK(FaultOf(opener, after.Seal(kBob, "x", kNow), kNow).empty());
  CHECK(FaultOf(opener, before.Seal(kBob, "x", kNow), kNow) == "replayed");
}

TEST_CASE("a sealer with many receivers does not reuse sequence numbers")
{
  MessageSealer sealer(kKey, kAlice, 1);
  auto opener = BobOpener();
  for (int n = 0; n < 10'000; ++n) {
    if (n % 100 == 0) {
      REQUIRE(FaultOf(opener, sealer.Seal(kBob, "x", kNow), kNow).empty());
    }
    (void)sealer.Seal(DaemonId(std::to_string(n)), "x", kNow);
  }
}

TEST_CASE("a restarted receiver rejects messages sent before its start")
{
  MessageSealer sealer(kKey, kAlice, 1);
  const auto wire = sealer.Seal(kBob, "x", kNow);
  auto before = BobOpener();
  CHECK(FaultOf(before, wire, kNow).empty());
  MessageOpener after(kKey, kBob, { kWindow, kNow + 1, 16 });
  CHECK(FaultOf(after, wire, kNow + 1) == "old");
  CHECK(FaultOf(after, sealer.Seal(kBob, "x", kNow + 1), kNow + 1).empty());
}
