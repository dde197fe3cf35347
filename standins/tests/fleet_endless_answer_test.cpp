#include "fleet_site.h"
#include "raw_server.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <algorithm>
#include <fstream>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nBilberrytrail-Request-Id: ID\r\n"
                          "Bilberrytrail-Response-Signature: sig-ID\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kNoLength = kHead + "\r\n";

// Messages may take 24 MiB by default; the rest is for sockets, fibers and the
// stand-ins, which run in this process.
constexpr std::size_t kMostGrowth = 48 * 1024 * 1024;

// Returns the memory that this process uses.
std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

// An answer without end.
struct Endless
{
  const char* mName;
  const char* mTarget;
  std::string mBytes;
  std::string mRepeated;
  std::chrono::milliseconds mPause;
  // The caller gets a refusal; it sees the end of the connection otherwise.
  bool mIsRefused;
};

RawServer::Script
ScriptOf(const Endless& aRow)
{
  return [&aRow](const std::string& /*aHead*/) {
    return RawAnswer{
      aRow.mBytes, RawEnd::Close, {}, aRow.mRepeated, aRow.mPause
    };
  };
}

// Replaces one of the two servers of a service by one whose answers have no
// end, and waits until requests reach it.
void
UseEndless(FleetSite& aSite, RawServer& aServer, const Endless& aRow)
{
  const std::string target = aRow.mTarget;
  const bool isStream = target.starts_with("/stream/");
  const std::size_t replaced = isStream ? 0 : 2;
  aSite.mTable.Remove("servers", "i-" + std::to_string(replaced + 1));
  aSite.PutServer(*aSite.mServers[replaced],
                  aServer.Address(),
                  isStream ? "llm" : "shop",
                  "ready");
  int sent = 0;
  REQUIRE(aSite.Await([&] {
    (void)aSite.Send(
      0, SmallSiteRequest("w" + std::to_string(sent++), target, "key", 100ms));
    return aServer.Requests() > 0;
  }));
}

} // namespace

// Guards against answers that go on without end past the deadline of their
// callers, who never got a final answer.
TEST_CASE("callers of an endless answer get a final one at their deadline")
{
  const std::string event = "id: 1\ndata: x\n\n";
  const std::vector<Endless> rows{
    { "chunks, slow", "/order/1", kChunked, "1\r\nx\r\n", 1ms, true },
    { "no length, slow", "/order/1", kNoLength, "x", 1ms, true },
    { "no length, slow, read", "/read/1", kNoLength, "x", 1ms, true },
    { "head, slow", "/order/1", kHead, "X-Field: x\r\n", 20ms, true },
    { "comments, slow", "/stream/1", kNoLength, ": x\n\n", 1ms, false },
    { "one event, slow",
      "/stream/1",
      kChunked + "f\r\n" + event + "\r\n",
      "1\r\nx\r\n",
      1ms,
      false },
  };
  constexpr Duration kWaitLimit = 500ms;
  constexpr int kRequests = 4;
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    RawServer server(ScriptOf(row));
    FleetSite site;
    site.Run(1, [&] {
      UseEndless(site, server, row);
      int sent = 0;
      const int end = server.Requests() + kRequests;
      while (server.Requests() < end) {
        const auto start = MonotonicNow();
        const auto before = server.Requests();
        const auto answer = site.Send(
          0,
          SmallSiteRequest(
            "a" + std::to_string(sent++), row.mTarget, "key", kWaitLimit));
        CHECK(MonotonicNow() - start < kWaitLimit + 500ms);
        if (server.Requests() == before) {
          // A server whose row is no longer in force has answered.
          continue;
        }
        CHECK(answer.has_value() == row.mIsRefused);
        if (answer) {
          CHECK(answer.value().mStatus >= 500);
        }
      }
    });
  }
}

// Guards against endless answers to many requests at once, which filled the
// memory of a VM though each of them was bounded.
TEST_CASE("endless answers to many requests take a bounded memory")
{
  const std::string block(0x8000, 'x');
  const std::vector<Endless> rows{
    { "chunks", "/order/1", kChunked, "8000\r\n" + block + "\r\n", 0ms, true },
    { "no length", "/order/1", kNoLength, block, 0ms, true },
    { "one event", "/stream/1", kNoLength + "data: ", block, 0ms, true },
    { "size of a chunk", "/order/1", kChunked + "1;x=", block, 0ms, true },
  };
  constexpr int kRequests = 30;
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    RawServer server(ScriptOf(row));
    FleetSite site;
    site.Run(1, [&] {
      UseEndless(site, server, row);
      const auto before = ResidentBytes();
      std::size_t most = before;
      int running = kRequests;
      for (int n = 0; n < kRequests; ++n) {
        site.mLoop.Spawn([&, n] {
          (void)site.Send(
            0,
            SmallSiteRequest("a" + std::to_string(n), row.mTarget, "key", 2s));
          --running;
        });
      }
      CHECK(site.Await([&] {
        most = std::max(most, ResidentBytes());
        return running == 0;
      }));
      CAPTURE(most - before);
      CHECK(most - before < kMostGrowth);
    });
  }
}
