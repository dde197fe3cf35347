#include <bilberrytrail/entry/rate_gate.h>

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
    double mMinRequests;
    // Time between two requests that arrive at the gate.
    Duration mGap;
    std::size_t mLeast;
    std::size_t mMost;
  };
  // Requests of 40 s.
  const Row rows[] = {
    { 1, 1, 0, 10ms, 39, 41 },       { 10, 1, 0, 10ms, 395, 402 },
    { 10, 0.25, 0, 10ms, 98, 101 },  { 1, 0.25, 0, 10ms, 9, 11 },
    { 100, 1, 0, 10ms, 3900, 4000 }, { 1, 0.125, 1, 10ms, 0, 0 },
    { 8, 0.125, 1, 10ms, 39, 41 },   { 10, 0, 1, 10ms, 0, 0 },
    { 10, 1, 0, 1s, 38, 40 }
  };
  for (const auto& row : rows) {
    CAPTURE(row.mLimit);
    CAPTURE(row.mShare);
    ServerLimits limits;
    limits.Observe(kServer, row.mLimit, At(0s), At(0s));
    RateGate gate(limits);
    gate.SetShare(row.mShare);
    gate.SetMinRequests(row.mMinRequests);
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
