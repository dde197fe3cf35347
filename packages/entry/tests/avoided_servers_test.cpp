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
    { "gone for good", 5, { 5, 0, 0 }, 400s, false }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    AvoidedServers avoided;
    avoided.AddLeaving(kServer, row.mStartedAtMs, At(0s));
    Duration time = 0s;
    for (const auto started : row.mLists) {
      time += row.mListGap;
      std::vector<ServerRecord> list;
      if (started != 0) {
        list.push_back(Listed(started));
      }
      avoided.Retain(list, At(time));
    }
    CHECK(avoided.Contains(kServer) == row.mIsAvoided);
    CHECK(avoided.Some(2).size() == (row.mIsAvoided ? 1 : 0));
    CHECK(avoided.Some(0).empty());
    CHECK_FALSE(avoided.Contains(ServerId("s2")));
  }
}
