#include <bilberrytrail/entry/server_limits.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const ServerId kServer("s1");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

double
LimitOf(const ServerLimits& aLimits)
{
  const auto* limit = aLimits.Find(kServer);
  return limit == nullptr ? 0 : limit->mPerSecond;
}

ServerRecord
Listed(std::uint64_t aStartedAtMs)
{
  ServerRecord record;
  record.mId = kServer;
  record.mStartedAtMs = aStartedAtMs;
  return record;
}

} // namespace

TEST_CASE("a limit holds until a later request is answered without one")
{
  struct Answer
  {
    Duration mSentAt;
    Duration mAt;
    std::optional<double> mLimit;
  };
  struct Row
  {
    const char* mName;
    std::vector<Answer> mAnswers;
    double mExpected;
  };
  const Row rows[] = {
    { "no limit", { { 0s, 1s, std::nullopt } }, 0 },
    { "named", { { 0s, 1s, 2.5 } }, 2.5 },
    { "changed", { { 0s, 1s, 2.5 }, { 0s, 2s, 4 } }, 4 },
    { "ended", { { 0s, 1s, 2.5 }, { 1100ms, 2s, std::nullopt } }, 0 },
    { "answer to an older request",
      { { 0s, 1s, 2.5 }, { 900ms, 2s, std::nullopt } },
      2.5 },
    { "named again",
      { { 0s, 1s, 2.5 }, { 1100ms, 2s, std::nullopt }, { 2s, 3s, 1 } },
      1 },
    { "no requests at all", { { 0s, 1s, 0.0 } }, 0.1 }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    ServerLimits limits;
    for (const auto& it : row.mAnswers) {
      limits.Observe(kServer, it.mLimit, At(it.mSentAt), At(it.mAt));
    }
    CHECK(LimitOf(limits) == row.mExpected);
  }
}

// Daemons exchange observations by datagrams, which may be reordered.
TEST_CASE("the newest observation of all daemons counts")
{
  struct Row
  {
    std::vector<LimitObservation> mMerged;
    double mExpected;
  };
  const Row rows[] = {
    { {}, 2 },
    { { { kServer, 3, At(500ms) } }, 2 },
    { { { kServer, 3, At(1500ms) } }, 3 },
    { { { kServer, 0, At(1500ms) } }, 0 },
    { { { kServer, 0, At(1500ms) }, { kServer, 3, At(1200ms) } }, 0 },
    { { { kServer, 0, At(1500ms) }, { kServer, 3, At(1600ms) } }, 3 }
  };
  for (const auto& row : rows) {
    ServerLimits limits;
    limits.Observe(kServer, 2, At(0s), At(1s));
    limits.Merge(row.mMerged, At(2s));
    CHECK(LimitOf(limits) == row.mExpected);
  }
  ServerLimits unaware;
  const LimitObservation ended{ kServer, 0, At(1s) };
  unaware.Merge({ &ended, 1 }, At(1s));
  CHECK(unaware.Recent(At(1s)).empty());
}

// Guards against a server that gets more than the limit that it named, since a
// daemon without processor time has read late that it named none before.
TEST_CASE("the end of a limit is as old as the request whose answer shows it")
{
  struct Row
  {
    Duration mNamedElsewhere;
    double mExpected;
  };
  for (const Row& row : { Row{ 2500ms, 0 }, Row{ 5s, 4 } }) {
    CAPTURE(row.mNamedElsewhere.count());
    ServerLimits limits;
    limits.Observe(kServer, 2, At(0s), At(1s));
    limits.Observe(kServer, std::nullopt, At(3s), At(8s));
    const LimitObservation named{ kServer, 4, At(row.mNamedElsewhere) };
    limits.Merge({ &named, 1 }, At(9s));
    CHECK(LimitOf(limits) == row.mExpected);
  }
}

TEST_CASE("the end of a limit is passed on for a while")
{
  ServerLimits limits;
  limits.Observe(kServer, 2, At(0s), At(1s));
  CHECK(limits.Recent(At(500s)).size() == 1);
  limits.Observe(kServer, std::nullopt, At(2s), At(3s));
  REQUIRE(limits.Recent(At(4s)).size() == 1);
  CHECK(limits.Recent(At(4s))[0].mPerSecond == 0);
  CHECK(limits.Recent(At(60s)).empty());
}

// Guards against datagrams that grow with the number of limited servers.
TEST_CASE("only the newest observations are passed on")
{
  ServerLimits limits;
  constexpr int kServers = 100;
  for (int n = 0; n < kServers; ++n) {
    const auto now = At(n * 10ms);
    limits.Observe(ServerId("s" + std::to_string(n)), 2, now, now);
  }
  const auto recent = limits.Recent(At(2s));
  REQUIRE(recent.size() == ServerLimits::kMaxRecent);
  CHECK(recent.front().mServer == ServerId("s99"));
  CHECK(recent.back().mServer == ServerId("s68"));
}

// Guards against forgetting a limit while the table of servers is incomplete.
TEST_CASE("a limit outlasts a gap in the list but no restart")
{
  struct Row
  {
    const char* mName;
    std::vector<ServerRecord> mList;
    Duration mAt;
    double mExpected;
  };
  const Row rows[] = { { "listed", { Listed(7) }, 500s, 2 },
                       { "restarted", { Listed(8) }, 2s, 0 },
                       { "not listed", {}, 20s, 2 },
                       { "gone", {}, 100s, 0 } };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    ServerLimits limits;
    limits.Observe(kServer, 2, At(0s), At(1s));
    limits.Retain(std::vector{ Listed(7) }, At(1s));
    limits.Retain(row.mList, At(row.mAt));
    CHECK(LimitOf(limits) == row.mExpected);
  }
}
