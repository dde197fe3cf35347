#include <bilberrytrail/base/message_auth.h>
#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr std::uint64_t kSeed = 41;
constexpr int kRounds = 5000;
constexpr std::int64_t kNow = 1'790'000'000'000;
const std::string kKey(32, 'k');

std::string
Mutate(Random& aRandom, std::string aWire)
{
  const auto edits = 1 + aRandom.Below(3);
  for (std::uint64_t n = 0; n < edits; ++n) {
    const auto at = aRandom.Below(aWire.size() + 1);
    switch (aRandom.Below(4)) {
      case 0:
        aWire.erase(at, 1 + aRandom.Below(40));
        break;
      case 1:
        aWire.insert(at, 1, static_cast<char>(aRandom.Below(256)));
        break;
      case 2:
        aWire.resize(aRandom.Below(aWire.size() + 1));
        break;
      default:
        if (at < aWire.size()) {
          aWire[at] = static_cast<char>(aRandom.Below(256));
        }
        break;
    }
  }
  return aWire;
}

} // namespace

TEST_CASE("a modified message is rejected and its sender is not tracked")
{
  Random random(kSeed);
  MessageSealer sealer(kKey, DaemonId("alice"), 1);
  MessageOpener opener(kKey, DaemonId("bob"), MessageLimits());
  for (int n = 0; n < kRounds; ++n) {
    CAPTURE(n);
    const std::string body(random.Below(60), 'b');
    const auto wire = sealer.Seal(DaemonId("bob"), body, kNow);
    const auto changed = Mutate(random, wire);
    if (changed != wire) {
      REQUIRE_FALSE(opener.Open(changed, kNow).has_value());
    }
  }
  CHECK(opener.SenderCount() == 0);
}

TEST_CASE("random bytes are rejected")
{
  Random random(kSeed + 1);
  MessageOpener opener(kKey, DaemonId("bob"), MessageLimits());
  for (int n = 0; n < kRounds; ++n) {
    std::string wire = "BT1";
    for (auto size = random.Below(120); size > 0; --size) {
      wire += static_cast<char>(random.Below(256));
    }
    REQUIRE_FALSE(opener.Open(wire, kNow).has_value());
  }
}
