#include <bilberrytrail/entry/rate_gate.h>

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

const ServerId kServer("s1");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

} // namespace

TEST_CASE("a gate passes its share of a limit, evenly spaced")
{
  struct Row
  {
    double mLimit;
    double mShare;
    // Time between two requests that arrive at the gate.
    Duration mGap;
    std::size_t mLeast;
    std::size_t mMost;
  };
  // Requests of 40 s.
  const Row rows[] = { { 1, 1, 10ms, 39, 41 },       { 10, 1, 10ms, 395, 402 },
                       { 10, 0.25, 10ms, 98, 101 },  { 1, 0.25, 10ms, 9, 11 },
                       { 100, 1, 10ms, 3900, 4000 }, { 10, 0, 10ms, 0, 0 },
                       { 10, 1, 1s, 38, 40 } };
  for (const auto& row : rows) {
    CAPTURE(row.mLimit);
    CAPTURE(row.mShare);
    ServerLimits limits;
    limits.Observe(kServer, row.mLimit, At(0s), At(0s));
    RateGate gate(limits);
    gate.SetShare(row.mShare);
    std::vector<Instant> passed;
    for (Instant now = At(0s); now < At(40s); now += row.mGap) {
      if (gate.IsOpen(kServer, now)) {
        gate.Take(kServer, now);
        passed.push_back(now);
      }
    }
    CHECK(passed.size() >= row.mLeast);
    CHECK(passed.size() <= row.mMost);
    for (auto it = passed.begin(); it != passed.end(); ++it) {
      const auto end = std::ranges::lower_bound(passed, *it + 4s);
      CHECK(static_cast<double>(end - it) <=
            4.125 * row.mLimit * row.mShare + 2);
    }
  }
}

// Guards against a burst of all daemons at once: the home of a server falls
// silent after a pause, and every daemon has requests for it.
TEST_CASE("senders that split a share do not send a burst after a pause")
{
  struct Row
  {
    std::size_t mSenders;
    double mLimit;
  };
  constexpr double kShare = 0.125;
  for (const Row& row : { Row{ 1, 1 },
                          Row{ 8, 1 },
                          Row{ 8, 4 },
                          Row{ 61, 1 },
                          Row{ 61, 10 },
                          Row{ 295, 2 },
                          Row{ 295, 20 } }) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(row.mSenders);
      CAPTURE(row.mLimit);
      CAPTURE(seed);
      Random random(seed);
      ServerLimits limits;
      limits.Observe(kServer, row.mLimit, At(0s), At(0s));
      std::vector<RateGate> gates(row.mSenders, RateGate(limits));
      for (auto& it : gates) {
        it.SetSplitShare(kShare, row.mSenders, random.Unit());
      }
      std::size_t sent = 0;
      for (Instant now = At(600s); now < At(604s); now += 20ms) {
        for (auto& it : gates) {
          if (it.IsOpen(kServer, now)) {
            it.Take(kServer, now);
            ++sent;
          }
        }
      }
      // What 1.5 times the limit and 5 requests leave beside a home that uses
      // all of the limit.
      CHECK(static_cast<double>(sent) <= 1.875 * row.mLimit + 3);
    }
  }
}

TEST_CASE("a sender with a part of a share sends once in each of its slots")
{
  ServerLimits limits;
  limits.Observe(kServer, 1, At(0s), At(0s));
  RateGate gate(limits);
  // A request in 16 s.
  gate.SetSplitShare(0.25, 4, 0.5);
  int sent = 0;
  for (Instant now = At(0s); now < At(320s); now += 100ms) {
    if (gate.IsOpen(kServer, now)) {
      gate.Take(kServer, now);
      ++sent;
    } else {
      const auto wait = gate.WaitFor(kServer, now);
      REQUIRE(wait);
      CHECK(gate.IsOpen(kServer, now + *wait));
    }
  }
  CHECK(sent >= 19);
  CHECK(sent <= 21);
}

TEST_CASE("a gate is open for a server that names no limit any more")
{
  ServerLimits limits;
  RateGate gate(limits);
  gate.SetShare(0);
  CHECK(gate.IsOpen(kServer, At(0s)));
  limits.Observe(kServer, 1, At(0s), At(1s));
  CHECK_FALSE(gate.IsOpen(kServer, At(500s)));
  limits.Observe(kServer, std::nullopt, At(2s), At(3s));
  CHECK(gate.IsOpen(kServer, At(3s)));
}

// Callers that all return at one time would be refused again.
TEST_CASE("refused callers are told to return one after the other")
{
  ServerLimits limits;
  limits.Observe(kServer, 2, At(0s), At(0s));
  RateGate gate(limits);
  gate.Take(kServer, At(1s));
  CHECK_FALSE(gate.IsOpen(kServer, At(1s)));
  const auto wait = gate.WaitFor(kServer, At(1s));
  REQUIRE(wait);
  CHECK(gate.PromiseReturn(kServer, At(1s)) == *wait);
  CHECK(gate.PromiseReturn(kServer, At(1s)) == *wait + 500ms);
  CHECK(gate.PromiseReturn(kServer, At(1s)) == *wait + 1000ms);
  for (int n = 0; n < 100; ++n) {
    CHECK(gate.PromiseReturn(kServer, At(1s)) <= 10s);
  }
  // The server's own rate is told by a sender without a share.
  gate.SetShare(0);
  CHECK(gate.PromiseReturn(kServer, At(60s)) == 500ms);
}
