#include <bilberrytrail/platform/list_sender.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr ListSenderSettings kSettings;

std::vector<DaemonId>
Daemons(int aCount)
{
  std::vector<DaemonId> daemons;
  daemons.reserve(static_cast<std::size_t>(aCount));
  for (int n = 0; n < aCount; ++n) {
    daemons.emplace_back("daemon-" + std::to_string(n));
  }
  return daemons;
}

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

} // namespace

TEST_CASE("a change is sent at once, an unchanged list as a heartbeat")
{
  ListSender sender(kSettings);
  const DaemonId receiver = Daemons(1)[0];
  sender.SetReceivers({ receiver });
  const auto first = sender.Due("a", At(0s));
  REQUIRE(first.size() == 1);
  CHECK(first[0].mHeld.empty());
  CHECK_FALSE(first[0].mClock);
  CHECK(sender.Due("a", At(10s)).empty());
  sender.OnAnswer(receiver, "a", 77, At(10s));
  CHECK(sender.Due("a", At(10s)).size() == 1);
  sender.OnAnswer(receiver, "a", 78, At(10s));
  CHECK(sender.Due("a", At(10s + kSettings.mHeartbeatInterval - 1ms)).empty());
  const auto changed = sender.Due("b", At(11s));
  REQUIRE(changed.size() == 1);
  CHECK(changed[0].mHeld == "a");
  CHECK(changed[0].mClock == 78);
  CHECK(changed[0].mAnsweredAt == At(10s));
}

TEST_CASE(
  "a message is retried when lost or when the receiver has another list")
{
  ListSender sender(kSettings);
  const DaemonId receiver = Daemons(1)[0];
  sender.SetReceivers({ receiver });
  REQUIRE(sender.Due("a", At(0s)).size() == 1);
  SUBCASE("lost")
  {
    sender.OnFailed(receiver);
  }
  SUBCASE("other list")
  {
    sender.OnAnswer(receiver, "x", 1, At(0s));
  }
  CHECK(sender.Due("a", At(kSettings.mRetryDelay - 1ms)).empty());
  CHECK(sender.Due("a", At(kSettings.mRetryDelay)).size() == 1);
}

TEST_CASE("messages in flight are limited and every receiver is served")
{
  ListSender sender(kSettings);
  const auto all = Daemons(400);
  sender.SetReceivers(all);
  std::size_t sent = 0;
  while (true) {
    const auto due = sender.Due("a", At(0s));
    CHECK(due.size() <= kSettings.mMaxInFlight);
    CHECK(sender.Due("a", At(0s)).empty());
    if (due.empty()) {
      break;
    }
    for (const auto& it : due) {
      sender.OnAnswer(it.mReceiver, "a", 1, At(0s));
    }
    sent += due.size();
  }
  CHECK(sent == all.size());
  // A removed receiver no longer counts towards the messages in flight.
  REQUIRE(sender.Due("b", At(1s)).size() == kSettings.mMaxInFlight);
  sender.SetReceivers({ DaemonId("other") });
  CHECK(sender.Due("b", At(1s)).size() == 1);
}
