#include <bilberrytrail/entry/avoided_servers.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const ServerId kServer("s1");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
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

// Guards also against a server that is used again although it said that it is
// leaving: it was listed only then with its start, which looked like a restart.
TEST_CASE("a leaving server is avoided until it restarts or is long gone")
{
  struct Row
  {
    const char* mName;
    std::optional<std::uint64_t> mStartedAtMs;
    // Starts of the incarnations listed one after the other; 0 for a list
    // without the server.
    std::vector<std::uint64_t> mLists;
    Duration mListGap;
    bool mIsAvoided;
    // Time of day of the answer, on the clock of the starts.
    std::uint64_t mUnixMs = 0;
  };
  const Row rows[] = {
    { "not listed", std::nullopt, {}, 1s, true },
    { "listed", 5, { 5, 5 }, 1s, true },
    { "listed later", std::nullopt, { 0, 5 }, 1s, true },
    { "listed for long", 5, { 5, 5, 5 }, 500s, true },
    { "missing for a while", 5, { 0, 0, 5 }, 60s, true },
    { "restarted", 5, { 5, 6 }, 1s, false },
    { "restarted unseen", 5, { 6 }, 1s, false },
    { "listed later, then restarted", std::nullopt, { 5, 6 }, 1s, false },
    { "gone for good", 5, { 5, 0, 0 }, 400s, false },
    { "listed late after a restart", 5000, { 8000 }, 1s, true, 8100 },
    { "the same, clock is late", 5000, { 8000 }, 1s, true, 7800 },
    { "the same, listed again", 5000, { 8000, 8000 }, 1s, true, 8100 },
    { "the same, missing first", 5000, { 0, 8000 }, 1s, true, 8100 },
    { "the same, then restarted", 5000, { 8000, 9900 }, 1s, false, 8100 },
    { "restarted after its answer", 5000, { 8000 }, 1s, false, 5900 }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    AvoidedServers avoided;
    avoided.AddLeaving(kServer, row.mStartedAtMs, At(0s), row.mUnixMs);
    // What it says again doesn't make it another start's.
    avoided.AddLeaving(kServer, row.mStartedAtMs, At(0s), 20'000);
    Duration time = 0s;
    for (const auto started : row.mLists) {
      time += row.mListGap;
      std::vector<ServerRecord> list;
      if (started != 0) {
        list.push_back(Listed(started));
      }
      avoided.Retain(list, At(time));
    }
    CHECK(avoided.Contains(kServer, At(time)) == row.mIsAvoided);
    CHECK(avoided.Some(2, At(time)).size() == (row.mIsAvoided ? 1 : 0));
    CHECK(avoided.Some(0, At(time)).empty());
    CHECK_FALSE(avoided.Contains(ServerId("s2"), At(time)));
  }
}

TEST_CASE("a server is avoided until the latest end of its pauses")
{
  struct Pause
  {
    Duration mAt;
    Duration mTime;
  };
  struct Row
  {
    const char* mName;
    std::vector<Pause> mPauses;
    // Start of the incarnation that is listed before the end.
    std::uint64_t mListed;
    Duration mEnd;
    // Time of day of the answers, on the clock of the starts.
    std::uint64_t mUnixMs = 0;
  };
  const Row rows[] = {
    { "one", { { 0s, 2s } }, 5, 2s },
    { "fraction", { { 0s, 1250ms } }, 5, 1250ms },
    { "none", { { 0s, 0s } }, 5, 0s },
    { "extended", { { 0s, 2s }, { 1s, 2s } }, 5, 3s },
    { "shorter one later", { { 0s, 2s }, { 500ms, 1s } }, 5, 2s },
    { "long", { { 0s, 3600s } }, 5, 3600s },
    { "restarted", { { 0s, 2s } }, 6, 0s },
    { "restarted after its answer", { { 0s, 2s } }, 6000, 0s, 5600 },
    { "listed late after a restart", { { 0s, 2s } }, 6000, 2s, 6100 }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    AvoidedServers avoided;
    for (const auto& it : row.mPauses) {
      avoided.AddPause(kServer, 5, it.mTime, At(it.mAt), row.mUnixMs);
    }
    const std::vector<ServerRecord> list = { Listed(row.mListed) };
    avoided.Retain(list, At(500ms));
    if (row.mEnd > 0s) {
      CHECK(avoided.Contains(kServer, At(row.mEnd - 1ms)));
      CHECK(avoided.TimeUntilAny(list, ServiceId(), At(row.mEnd - 1ms)) == 1ms);
    }
    CHECK_FALSE(avoided.Contains(kServer, At(row.mEnd)));
    CHECK_FALSE(avoided.TimeUntilAny(list, ServiceId(), At(row.mEnd)));
  }
}

TEST_CASE("the time until any server is known only when all are avoided")
{
  struct Row
  {
    const char* mName;
    // Pause of each server; 0 for none.
    std::vector<Duration> mPauses;
    // Number of the server that is leaving; none when out of range.
    std::size_t mLeaving;
    std::optional<Duration> mExpected;
  };
  const Row rows[] = { { "all pause", { 3s, 2s }, 9, 2s },
                       { "one does not", { 3s, 0s }, 9, std::nullopt },
                       { "one leaves", { 3s, 0s }, 1, 3s },
                       { "the first to be back leaves", { 3s, 2s }, 1, 3s },
                       { "the only one leaves", { 0s }, 0, std::nullopt } };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    AvoidedServers avoided;
    std::vector<ServerRecord> list;
    for (std::size_t n = 0; n < row.mPauses.size(); ++n) {
      ServerRecord record;
      record.mId = ServerId("s" + std::to_string(n));
      record.mService = ServiceId("s");
      list.push_back(record);
      if (row.mPauses[n] > 0s) {
        avoided.AddPause(record.mId, 0, row.mPauses[n], At(0s));
      }
      if (n == row.mLeaving) {
        avoided.AddLeaving(record.mId, 0, At(0s));
      }
    }
    ServerRecord other;
    other.mId = ServerId("other");
    other.mService = ServiceId("t");
    list.push_back(other);
    CHECK(avoided.TimeUntilAny(list, ServiceId("s"), At(0s)) == row.mExpected);
  }
}
