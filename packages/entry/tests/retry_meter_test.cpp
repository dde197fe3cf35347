#include <bilberrytrail/entry/retry_meter.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace bilberrytrail;

namespace {

const ServiceId kService("s");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

RetryMeterSettings
Settings()
{
  return { 0.2, 50, 10s };
}

} // namespace

// Each daemon makes every retry that it may, and all daemons restart in the
// middle of a window.
TEST_CASE("all daemons together stay within the allowance of each window")
{
  constexpr std::size_t kDaemons = 8;
  constexpr int kRequestsPerSecond = 20;
  std::vector<RetryMeter> meters(kDaemons, RetryMeter(Settings(), At(0s)));
  std::vector<std::pair<int, int>> seconds;
  for (int n = 0; n < 60; ++n) {
    if (n == 33) {
      meters.assign(kDaemons, RetryMeter(Settings(), At(33s)));
    }
    seconds.emplace_back(0, 0);
    for (auto& it : meters) {
      const auto now = At(std::chrono::seconds(n));
      it.SetDaemons(kDaemons, now);
      for (int k = 0; k < kRequestsPerSecond; ++k) {
        it.AddRequest(kService, now);
        ++seconds.back().first;
        while (it.TryRetry(kService, now)) {
          ++seconds.back().second;
        }
      }
    }
    int requests = 0;
    int retries = 0;
    for (int k = std::max(0, n - 9); k <= n; ++k) {
      requests += seconds[static_cast<std::size_t>(k)].first;
      retries += seconds[static_cast<std::size_t>(k)].second;
    }
    CAPTURE(n);
    CHECK(retries <= 0.2 * requests + 50);
  }
}

// Guards against retries that all daemons together make within one window, as a
// user counts it, beyond the allowance: the meters forgot retries up to a tenth
// of a window early, and daemons that were killed forgot all of theirs.
TEST_CASE("trouble that begins at any part of a second stays in the allowance")
{
  constexpr std::size_t kDaemons = 4;
  constexpr Duration kStep = 10ms;
  constexpr Duration kTrouble = 23s;
  struct Row
  {
    const char* mName;
    int mRequestsPerSecond;
    // Time between the ends of two daemons; 0 for none.
    Duration mKillGap;
    // How often each daemon ends.
    std::size_t mKills = 1;
  };
  for (const Row& row : { Row{ "100/s", 100, 0s },
                          Row{ "200/s", 200, 0s },
                          Row{ "100/s, killed in turn", 100, 2s },
                          Row{ "200/s, killed in turn", 200, 2s },
                          Row{ "200/s, killed in a moment", 200, 300ms },
                          Row{ "100/s, killed in turn, twice", 100, 1s, 2 },
                          Row{ "200/s, killed often", 200, 600ms, 4 } }) {
    for (Duration phase = 0ms; phase < 1s; phase += 50ms) {
      CAPTURE(std::string(row.mName));
      CAPTURE(ToMillis(phase));
      std::vector<RetryMeter> meters(kDaemons, RetryMeter(Settings(), At(0s)));
      std::deque<Instant> requests;
      std::deque<Instant> retries;
      double mostOver = 0;
      std::size_t next = 0;
      std::size_t killed = 0;
      double due = 0;
      for (Duration t = 0s; t < 60s; t += kStep) {
        const auto now = At(t);
        const auto trouble = kTrouble + phase;
        if (row.mKillGap > 0s && killed < row.mKills * kDaemons &&
            t >= trouble + 1s + killed * row.mKillGap) {
          meters[killed++ % kDaemons] = RetryMeter(Settings(), now);
        }
        for (due += row.mRequestsPerSecond * 0.01; due >= 1; --due) {
          auto& meter = meters[next++ % kDaemons];
          meter.SetDaemons(kDaemons, now);
          meter.AddRequest(kService, now);
          requests.push_back(now);
          for (int n = 0; t >= trouble && n < 2; ++n) {
            if (meter.TryRetry(kService, now)) {
              retries.push_back(now);
            }
          }
        }
        for (auto* it : { &requests, &retries }) {
          while (!it->empty() && it->front() <= now - Settings().mWindow) {
            it->pop_front();
          }
        }
        const auto allowed =
          Settings().mRatio * static_cast<double>(requests.size()) +
          Settings().mSlack;
        mostOver =
          std::max(mostOver, static_cast<double>(retries.size()) / allowed);
      }
      CHECK(mostOver <= 1);
      // Most of the allowance is used.
      CHECK(mostOver >= 0.5);
    }
  }
}

TEST_CASE("the slack grows over the first window and is shared by the daemons")
{
  RetryMeter meter(Settings(), At(0s));
  meter.SetDaemons(10, At(0s));
  CHECK(meter.Allowance(kService, At(0s)) == doctest::Approx(0));
  CHECK(meter.Allowance(kService, At(5s)) == doctest::Approx(0.375));
  CHECK(meter.Allowance(kService, At(10s)) == doctest::Approx(4));
  CHECK(meter.Allowance(kService, At(60s)) == doctest::Approx(4));
  CHECK(meter.TryRetry(kService, At(60s)));
  CHECK(meter.Allowance(kService, At(60s)) == doctest::Approx(3));
  CHECK(meter.Allowance(ServiceId("other"), At(60s)) == doctest::Approx(4));
  // The whole window after the retry has passed.
  CHECK(meter.Allowance(kService, At(70s)) == doctest::Approx(3));
  CHECK(meter.Allowance(kService, At(70500ms)) == doctest::Approx(4));
}

// Guards against retries for requests that no user counts in the same window.
TEST_CASE("requests older than the window allow no retries")
{
  RetryMeter meter(Settings(), At(-20s));
  meter.SetDaemons(400, At(-20s));
  for (int n = 0; n < 100; ++n) {
    meter.AddRequest(kService, At(400ms));
  }
  CHECK(meter.Allowance(kService, At(9900ms)) > 16);
  CHECK(meter.Allowance(kService, At(10410ms)) < 1);
}

// Guards against slack that is handed out twice within one window: that of
// daemons that have left, by them and by the others, and that of a daemon that
// does not know how many there are.
TEST_CASE("the slack of daemons that leave is free one window later")
{
  constexpr std::size_t kDaemons = 8;
  constexpr Duration kStep = 50ms;
  struct Row
  {
    const char* mName;
    // Daemons that remain, and when the others learn of it.
    std::size_t mRemaining;
    Duration mLearnedAfter;
  };
  for (const Row& row : { Row{ "one leaves", 7, 1s },
                          Row{ "all but one leave", 1, 1s },
                          Row{ "all but two leave, known late", 2, 6s },
                          Row{ "known at once", 1, 0s } }) {
    CAPTURE(std::string(row.mName));
    std::vector<RetryMeter> meters(kDaemons, RetryMeter(Settings(), At(0s)));
    std::deque<Instant> retries;
    std::size_t most = 0;
    for (Duration t = 0s; t < 60s; t += kStep) {
      const auto now = At(t);
      const bool hasLeft = t >= 30s;
      const std::size_t daemons = hasLeft ? row.mRemaining : kDaemons;
      const bool isKnown = t >= 30s + row.mLearnedAfter;
      for (std::size_t n = 0; n < daemons; ++n) {
        meters[n].SetDaemons(isKnown ? row.mRemaining : kDaemons, now);
        // All trouble comes just before the daemons leave, and goes on.
        while (t >= 28s && meters[n].TryRetry(kService, now)) {
          retries.push_back(now);
        }
      }
      while (!retries.empty() && retries.front() <= now - Settings().mWindow) {
        retries.pop_front();
      }
      most = std::max(most, retries.size());
    }
    CHECK(static_cast<double>(most) <= Settings().mSlack);
    // In the end the remaining daemons share all of it.
    CHECK(meters[0].Allowance(kService, At(90s)) ==
          doctest::Approx(0.8 * 50 / static_cast<double>(row.mRemaining)));
  }
  RetryMeter unknown(Settings(), At(0s));
  CHECK(unknown.Allowance(kService, At(60s)) < 0.5);
}
