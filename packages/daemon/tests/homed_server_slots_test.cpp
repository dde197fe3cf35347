#include "homed_server.h"

#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("a server's queue runs as many requests as the server has slots")
{
  struct Row
  {
    const char* mName;
    std::vector<std::uint32_t> mReported;
    std::size_t mRunning;
  };
  const Row rows[] = {
    { "no report yet", {}, QueueSettings().mSlots },
    { "few", { 3 }, 3 },
    { "many", { 24 }, 24 },
    { "grown", { 3, 12 }, 12 },
    { "not told", { 0 }, QueueSettings().mSlots },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    Loop loop;
    HomedServer server(VmEntry(), MakeFairServerQueue(QueueSettings()));
    for (const auto slots : row.mReported) {
      EngineState state;
      state.mSlots = slots;
      server.SetState(state);
    }
    std::vector<std::unique_ptr<QueuePlace>> places;
    for (int n = 0; n < 40; ++n) {
      QueueEntry entry;
      entry.mAccount = AccountId("a");
      entry.mClass = WorkClass::Short;
      entry.mService = 10ms;
      places.push_back(server.Queue().Join(loop, entry));
    }
    CHECK(server.Queue().Running() == row.mRunning);
  }
}
