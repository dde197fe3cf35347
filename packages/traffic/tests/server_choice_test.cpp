#include <bilberrytrail/traffic/server_choice.h>
#include <bilberrytrail/traffic/server_health.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

using namespace bilberrytrail;

namespace {

ServerCandidate
Candidate(double aWeight, Duration aWait, Duration aFirst, bool aPreferred)
{
  return { ServerId("s"), aWeight, aWait, aFirst, aPreferred };
}

// Returns the 0.99 quantile in ms of the time of reads over nine servers, each
// with one slot, of which the first is slow from 10 s to 20 s; of the requests
// from that time only.
double
SlowServerP99(ServerChooser& aChooser,
              ServerHealth& aHealth,
              std::uint64_t aSeed,
              int aSlowdown = 10)
{
  constexpr std::size_t kServers = 9;
  constexpr Duration kService = 20ms;
  Random random(aSeed);
  std::vector<Instant> freeAt(kServers);
  struct Pending
  {
    std::size_t mServer;
    Instant mEnd;
    Duration mTook;
    // Multiples of the predicted time that were told as overdue.
    std::int64_t mTold = 1;
  };
  std::vector<Pending> pending;
  std::vector<double> millis;
  for (Instant now{}; now < Instant(30s);
       now += Duration(static_cast<std::int64_t>(random.Below(10000)))) {
    std::vector<ServerCandidate> candidates;
    for (std::size_t n = 0; n < kServers; ++n) {
      const ServerId id("s" + std::to_string(n));
      for (auto& run : pending) {
        if (run.mServer != n) {
          continue;
        }
        const auto since = now - (run.mEnd - run.mTook);
        if (run.mEnd <= now) {
          aHealth.AddSample(id, { kService, run.mTook }, run.mEnd);
        } else if (since / kService > run.mTold) {
          run.mTold = since / kService;
          aHealth.AddOverdue(id, { kService, since }, now);
        }
      }
      const auto queued = std::max(Duration(), freeAt[n] - now);
      const bool isSlow = n == 0 && now >= Instant(10s) && now < Instant(20s);
      // The estimate does not know that the server is slow.
      const auto believed = isSlow ? queued / aSlowdown : queued;
      candidates.push_back(
        { id, aHealth.Weight(id, now), believed, kService, false });
      if (aHealth.TakeProbe(id, now)) {
        candidates.back().mPreferred = true;
        candidates.back().mWeight = 1;
      }
    }
    std::erase_if(pending, [&](const auto& aRun) { return aRun.mEnd <= now; });
    const auto chosen = aChooser.Choose(candidates, random);
    REQUIRE(chosen.has_value());
    const bool isSlow =
      *chosen == 0 && now >= Instant(10s) && now < Instant(20s);
    const auto took = isSlow ? aSlowdown * kService : kService;
    const auto start = std::max(now, freeAt[*chosen]);
    freeAt[*chosen] = start + took;
    pending.push_back({ *chosen, start + took, took });
    if (now >= Instant(10s) && now < Instant(20s)) {
      millis.push_back(ToMillis(start + took - now));
    }
  }
  std::sort(millis.begin(), millis.end());
  return millis[millis.size() * 99 / 100];
}

} // namespace

TEST_CASE("the candidate with the least estimated time by weight is taken")
{
  struct Row
  {
    std::string mName;
    std::vector<ServerCandidate> mCandidates;
    std::optional<std::size_t> mChosen;
  };
  const Row rows[] = {
    { "none", {}, std::nullopt },
    { "all out", { Candidate(0, 0ms, 0ms, true) }, std::nullopt },
    { "shorter queue",
      { Candidate(1, 50ms, 10ms, false), Candidate(1, 5ms, 10ms, false) },
      1 },
    { "holds the prefix",
      { Candidate(1, 0ms, 900ms, false),
        Candidate(1, 0ms, 900ms, false),
        Candidate(1, 100ms, 50ms, true),
        Candidate(1, 0ms, 900ms, false) },
      2 },
    { "prefix behind a long queue",
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

TEST_CASE("round robin takes the candidates with a weight in turn")
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

TEST_CASE("a slow server among nine raises the tail little")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    const auto none = MakeNoDetection();
    const auto health = MakeServerHealth({});
    const auto blind = SlowServerP99(*MakeRoundRobinChooser(), *none, seed);
    const auto undetected =
      SlowServerP99(*MakePowerOfTwoChooser(), *none, seed);
    const auto detected =
      SlowServerP99(*MakePowerOfTwoChooser(), *health, seed);
    const auto sound = SlowServerP99(*MakePowerOfTwoChooser(), *none, seed, 1);
    MESSAGE("p99 ms: all sound " << sound << ", round robin " << blind
                                 << ", two choices " << undetected
                                 << ", with detection " << detected);
    CHECK(detected < undetected);
    CHECK(undetected < blind);
  }
}
