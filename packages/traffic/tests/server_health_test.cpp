#include <bilberrytrail/traffic/server_health.h>

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 1000s };
constexpr Duration kToken = 20ms;
// Time within which a slow server's weight must fall.
constexpr Duration kDetectionBound = 100ms;
const ServerId kServer("s0");

std::unique_ptr<ServerHealth>
Make()
{
  return MakeServerHealth({});
}

void
AddRatios(ServerHealth& aHealth,
          const ServerId& aServer,
          const std::vector<double>& aRatios,
          Instant aNow)
{
  for (const double ratio : aRatios) {
    aHealth.AddSample(
      aServer, { kToken, FromMillis(ToMillis(kToken) * ratio) }, aNow);
  }
}

} // namespace

TEST_CASE("the weight falls only after repeated slow samples")
{
  struct Row
  {
    std::string mName;
    std::vector<double> mRatios;
    bool mSlow;
  };
  const Row rows[] = {
    { "healthy", { 1, 1.1, 0.9 }, false },
    { "one outlier", { 40 }, false },
    { "two outliers", { 40, 1, 40 }, false },
    { "three slow samples", { 3, 3, 3 }, true },
    { "slightly slower", { 1.4, 1.4, 1.4, 1.4, 1.4 }, false },
    { "healthy again", { 3, 3, 3, 1, 1, 1 }, false },
    { "between the two factors stays slow", { 3, 3, 3, 1.3, 1.3, 1.3 }, true },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto health = Make();
    AddRatios(*health, kServer, row.mRatios, kStart);
    CHECK((health->Weight(kServer, kStart) < 1) == row.mSlow);
    const auto none = MakeNoDetection();
    AddRatios(*none, kServer, row.mRatios, kStart);
    CHECK(none->Weight(kServer, kStart) == 1);
  }
}

TEST_CASE("a server that slows down is detected within 100 ms")
{
  struct Row
  {
    std::string mName;
    double mSlowdown;
  };
  // Eight streams on each of 9 servers; a token takes 20 ms on a healthy one.
  const Row rows[] = {
    { "twice", 2 },
    { "four times", 4 },
    { "stopped, detected by overdue tokens", 1e9 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto health = Make();
    for (int server = 0; server < 9; ++server) {
      AddRatios(*health,
                ServerId("s" + std::to_string(server)),
                { 1, 1, 1, 1, 1 },
                kStart);
    }
    const auto slowToken =
      FromMillis(std::min(1e6, ToMillis(kToken) * row.mSlowdown));
    std::optional<Duration> found;
    for (auto at = 0ms; at < 200ms && !found; at += 1ms) {
      for (int stream = 0; stream < 8; ++stream) {
        // The streams are staggered evenly over one token time.
        const auto since = at - stream * (kToken / 8);
        if (since == slowToken) {
          health->AddSample(kServer, { kToken, since }, kStart + at);
        } else if (since == 2 * kToken && since < slowToken) {
          health->AddOverdue(kServer, { kToken, since }, kStart + at);
        }
      }
      if (health->Weight(kServer, kStart + at) < 1) {
        found = at;
      }
    }
    REQUIRE(found.has_value());
    MESSAGE(row.mName << ": detected after ms " << ToMillis(*found));
    CHECK(*found < kDetectionBound);
  }
}

TEST_CASE("delayed load reports do not override newer samples")
{
  struct Row
  {
    std::string mName;
    std::vector<double> mRatios;
    // Time from the last sample to the report.
    Duration mReportAfter;
    double mReported;
    bool mSlow;
  };
  const Row rows[] = {
    { "delayed slow report after healthy samples",
      { 1, 1, 1, 1, 1 },
      1900ms,
      5,
      false },
    { "delayed healthy report after slow samples",
      { 5, 5, 5, 5, 5 },
      1900ms,
      1,
      true },
    { "no samples", {}, 0ms, 5, true },
    { "samples older than the report", { 5, 5, 5, 5, 5 }, 2100ms, 1, false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto health = Make();
    AddRatios(*health, kServer, row.mRatios, kStart);
    const auto now = kStart + row.mReportAfter;
    health->AddReport(kServer, { row.mReported }, now);
    CHECK((health->Weight(kServer, now) < 1) == row.mSlow);
  }
}

TEST_CASE("predictions wrong for all servers do not make any server slow")
{
  const auto health = Make();
  for (int n = 0; n < 10; ++n) {
    for (int server = 0; server < 9; ++server) {
      AddRatios(
        *health, ServerId("s" + std::to_string(server)), { 2.5 }, kStart);
    }
  }
  for (int server = 0; server < 9; ++server) {
    const ServerId id("s" + std::to_string(server));
    CHECK(health->Weight(id, kStart) == 1);
    CHECK(!health->TakeProbe(id, kStart + 1s));
  }
}

TEST_CASE("a slow server is probed with back-off until it is healthy")
{
  const auto health = Make();
  CHECK(!health->TakeProbe(kServer, kStart));
  AddRatios(*health, kServer, { 4, 4, 4, 4, 4 }, kStart);
  CHECK(health->Weight(kServer, kStart) <= 0.1);
  std::vector<Duration> probes;
  for (auto at = 0ms; at < 10s; at += 1ms) {
    if (health->TakeProbe(kServer, kStart + at)) {
      probes.emplace_back(at);
      AddRatios(*health, kServer, { 4 }, kStart + at);
    }
  }
  CHECK(probes ==
        std::vector<Duration>{ 200ms, 600ms, 1400ms, 3s, 5s, 7s, 9s });
  // A healthy answer resets the back-off of the next probe.
  REQUIRE(health->TakeProbe(kServer, kStart + 11s));
  AddRatios(*health, kServer, { 1 }, kStart + 11s);
  CHECK(!health->TakeProbe(kServer, kStart + 11199ms));
  CHECK(health->TakeProbe(kServer, kStart + 11200ms));
  AddRatios(*health, kServer, { 1, 1 }, kStart + 11200ms);
  CHECK(health->Weight(kServer, kStart + 11200ms) == 1);
  CHECK(!health->TakeProbe(kServer, kStart + 20s));
}
