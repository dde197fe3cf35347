#include "slow_server_driver.h"

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

ServerCandidate
Candidate(double aWeight, Duration aWait, Duration aFirst, bool aPreferred)
{
  return { ServerId("s"), aWeight, aWait, aFirst, aPreferred };
}

// Returns the 0.99 quantile of the trial's latencies in milliseconds.
double
SlowServerP99(ServerChooser& aChooser,
              ServerHealth& aHealth,
              std::uint64_t aSeed,
              int aSlowdown = 10)
{
  SlowServerTrial trial;
  trial.mSeed = aSeed;
  trial.mSlowdown = aSlowdown;
  const auto millis = SlowServerDriver(trial, aChooser, aHealth).Run();
  REQUIRE(millis.has_value());
  return *millis;
}

} // namespace

TEST_CASE("the candidate with the lowest estimated time by weight is chosen")
{
  struct Row
  {
    std::string mName;
    std::vector<ServerCandidate> mCandidates;
    std::optional<std::size_t> mChosen;
  };
  const Row rows[] = {
    { "no candidates", {}, std::nullopt },
    { "all excluded by weight 0",
      { Candidate(0, 0ms, 0ms, true) },
      std::nullopt },
    { "shorter queue",
      { Candidate(1, 50ms, 10ms, false), Candidate(1, 5ms, 10ms, false) },
      1 },
    { "holds the prefix",
      { Candidate(1, 0ms, 900ms, false),
        Candidate(1, 0ms, 900ms, false),
        Candidate(1, 100ms, 50ms, true),
        Candidate(1, 0ms, 900ms, false) },
      2 },
    { "holds the prefix, but has a long queue",
      { Candidate(1, 0ms, 900ms, false), Candidate(1, 2s, 50ms, true) },
      0 },
    { "slow server",
      { Candidate(0.1, 0ms, 50ms, false), Candidate(1, 0ms, 60ms, false) },
      1 },
    { "weight 0",
      { Candidate(0, 0ms, 1ms, true), Candidate(1, 0ms, 60ms, false) },
      1 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      Random random(seed);
      CHECK(MakePowerOfTwoChooser()->Choose(row.mCandidates, random) ==
            row.mChosen);
    }
  }
}

TEST_CASE("round robin skips candidates with weight 0")
{
  Random random(1);
  const auto chooser = MakeRoundRobinChooser();
  const std::vector<ServerCandidate> candidates = {
    Candidate(1, 0ms, 0ms, false),
    Candidate(0, 0ms, 0ms, false),
    Candidate(1, 0ms, 0ms, false)
  };
  for (const std::size_t expected : { 0, 2, 0, 2 }) {
    CHECK(chooser->Choose(candidates, random) == expected);
  }
}

TEST_CASE(
  "detection and two choices each lower p99 with one slow server of nine")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    const auto none = MakeNoDetection();
    const auto health = MakeServerHealth({});
    const auto roundRobin =
      SlowServerP99(*MakeRoundRobinChooser(), *none, seed);
    const auto undetected =
      SlowServerP99(*MakePowerOfTwoChooser(), *none, seed);
    const auto detected =
      SlowServerP99(*MakePowerOfTwoChooser(), *health, seed);
    const auto healthy =
      SlowServerP99(*MakePowerOfTwoChooser(), *none, seed, 1);
    MESSAGE("p99 ms: all healthy " << healthy << ", round robin " << roundRobin
                                   << ", two choices " << undetected
                                   << ", with detection " << detected);
    CHECK(detected < undetected);
    CHECK(undetected < roundRobin);
  }
}
