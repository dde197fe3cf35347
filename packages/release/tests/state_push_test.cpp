#include <bilberrytrail/base/random.h>
#include <bilberrytrail/release/state_push.h>

#include <doctest/doctest.h>

#include <functional>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };
constexpr StatePushSettings kSettings;
const ServerId kServer("s");

EngineState
MakeState(const std::string& aVersion)
{
  EngineState state;
  state.mVersions = { { ModelId("m"), VersionId(aVersion), true } };
  state.mRole = "serve";
  return state;
}

std::vector<HomedState>
SingleState(const EngineState& aState, const std::string& aHolder = "h")
{
  return { { kServer, ProductId("p"), DaemonId(aHolder), aState } };
}

} // namespace

TEST_CASE("a state is pushed when a field that the holder uses has changed")
{
  using Change = std::function<void(EngineState&)>;
  struct Row
  {
    const char* mName;
    bool mPushed;
    Change mChange;
  };
  const LoadedVersion second{ ModelId("m"), VersionId("v2"), false };
  const Row rows[] = {
    { "version", true, [&](auto& aIt) { aIt.mVersions.push_back(second); } },
    { "ready", true, [](auto& aIt) { aIt.mVersions[0].mReady = false; } },
    { "adapter", true, [](auto& aIt) { aIt.mAdapters = { "a" }; } },
    { "role", true, [](auto& aIt) { aIt.mRole = "other"; } },
    { "fencing",
      true,
      [](auto& aIt) { aIt.mHighestFencing = FencingNumber(7); } },
    { "leaving", true, [](auto& aIt) { aIt.mLeaving = true; } },
    { "restart", true, [](auto& aIt) { aIt.mIncarnation = 9; } },
    { "running", false, [](auto& aIt) { aIt.mRunning = 3; } },
    { "speed", false, [](auto& aIt) { aIt.mTokensPerSecond = 3; } },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    StatePublisher pushes(kSettings);
    auto state = MakeState("v1");
    CHECK(pushes.Poll(SingleState(state), kStart).size() == 1);
    CHECK(pushes.Poll(SingleState(state), kStart + 1s).empty());
    row.mChange(state);
    CHECK(pushes.Poll(SingleState(state), kStart + 2s).empty() != row.mPushed);
  }
  StatePublisher pushes(kSettings);
  auto state = MakeState("v1");
  state.mVersions.push_back(second);
  (void)pushes.Poll(SingleState(state), kStart);
  state.mRunning = 1;
  CHECK(pushes.Poll(SingleState(state), kStart).size() == 1);
  state.mRunning = 2;
  CHECK(pushes.Poll(SingleState(state), kStart).empty());
}

TEST_CASE("a state is pushed again after the refresh interval, after a loss, "
          "and to a new holder")
{
  StatePublisher pushes(kSettings);
  const auto state = MakeState("v1");
  const auto first = pushes.Poll(SingleState(state), kStart);
  REQUIRE(first.size() == 1);
  CHECK(
    pushes.Poll(SingleState(state), kStart + kSettings.mRefreshInterval - 1us)
      .empty());
  CHECK(pushes.Poll(SingleState(state), kStart + kSettings.mRefreshInterval)
          .size() == 1);
  pushes.OnLost(first.front());
  CHECK(pushes.Poll(SingleState(state), kStart + 31s).size() == 1);
  const auto moved = pushes.Poll(SingleState(state, "other"), kStart + 32s);
  REQUIRE(moved.size() == 1);
  CHECK(moved.front().mHolder == DaemonId("other"));
  CHECK(pushes.Poll({}, kStart + 33s).empty());
  CHECK(pushes.Poll(SingleState(state, "other"), kStart + 34s).size() == 1);
}

TEST_CASE("an expired state is not returned and an overtaken one is dropped")
{
  ReceivedStates received(kSettings);
  const DaemonId home("home");
  received.Update(home, 2, kServer, MakeState("v2"), kStart);
  received.Update(home, 1, kServer, MakeState("v1"), kStart + 1s);
  CHECK(received.Find(kServer, kStart)->mVersions == MakeState("v2").mVersions);
  CHECK(received.Find(kServer, kStart + kSettings.mStateTtl));
  CHECK_FALSE(received.Find(kServer, kStart + kSettings.mStateTtl + 1us));
  received.Update(DaemonId("new"), 1, kServer, MakeState("v3"), kStart + 70s);
  CHECK(received.Find(kServer, kStart + 70s)->mVersions ==
        MakeState("v3").mVersions);
  received.RemoveExpired(kStart + 200s);
  CHECK_FALSE(received.Find(kServer, kStart + 70s));
}

// Messages are lost, arrive although the sender counts them as lost, and
// overtake each other.
TEST_CASE("a holder ends with the home's state after lost and late messages")
{
  struct Late
  {
    Instant mAt;
    std::uint64_t mMessage;
    EngineState mState;
  };
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    StatePublisher pushes(kSettings);
    ReceivedStates received(kSettings);
    std::vector<Late> late;
    std::uint64_t message = 0;
    auto state = MakeState("v0");
    Instant now = kStart;
    const auto step = [&](bool aHasFaults) {
      std::erase_if(late, [&](const Late& aLate) {
        const bool isDue = aLate.mAt <= now;
        if (isDue) {
          received.Update(
            DaemonId("home"), aLate.mMessage, kServer, aLate.mState, now);
        }
        return isDue;
      });
      for (const auto& batch : pushes.Poll(SingleState(state), now)) {
        const auto fault = aHasFaults ? random.Below(4) : 0;
        ++message;
        if (fault != 1) {
          const auto delay = fault == 2 ? 300ms : 0ms;
          late.push_back({ now + delay, message, batch.mStates[0].mState });
        }
        if (fault == 1 || fault == 3) {
          pushes.OnLost(batch);
        }
      }
      now += 100ms;
    };
    for (int n = 0; n < 600; ++n) {
      if (random.Below(20) == 0) {
        state = MakeState("v" + std::to_string(n));
      }
      step(true);
    }
    for (int n = 0; n < 10; ++n) {
      step(false);
    }
    const auto known = received.Find(kServer, now);
    REQUIRE(known);
    CHECK(known->mVersions == state.mVersions);
  }
}
