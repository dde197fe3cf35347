#include "fleet_site.h"
#include "raw_server.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr int kMaxRequests = 40;

const std::string kSound = "HTTP/1.1 200 OK\r\nBilberrytrail-Request-Id: ID\r\n"
                           "Bilberrytrail-Response-Signature: sig-ID\r\n"
                           "Bilberrytrail-Weight-Versions: 1\r\n";

std::string
Events(int aFrom, int aTo)
{
  std::string text;
  for (int n = aFrom; n <= aTo; ++n) {
    text += "id: " + std::to_string(n) + "\ndata: x\n\n";
  }
  return text;
}

// Runs a site with a raw server in place of the engine that streams go to
// first, and sends streams until the raw server has got so many requests. Each
// stream must be whole, or fail so that the caller sees it. Returns how many
// were whole.
int
CheckStreams(const RawServer& aServer, int aRequests)
{
  int whole = 0;
  FleetSite site;
  site.Run(1, [&] {
    REQUIRE(site.Status(0, "first", "/stream/1") == 200);
    const std::size_t engine = site.mServers[0]->Runs().empty() ? 1 : 0;
    site.PutServer(*site.mServers[engine], aServer.Address(), "llm", "ready");
    for (int n = 0; n < kMaxRequests && aServer.Requests() < aRequests; ++n) {
      const auto stream = site.Send(0, "a" + std::to_string(n), "/stream/1");
      if (stream && stream.value().mStatus == 200) {
        CHECK(stream.value().mBody == Events(1, 5));
        ++whole;
      }
    }
    CHECK(aServer.Requests() >= aRequests);
  });
  return whole;
}

} // namespace

// Guards against a stream that ends inside an event and reaches the caller as a
// complete one; in chunks, with a length, and with neither.
TEST_CASE("a stream that ends inside an event goes on at another server")
{
  const auto part = Events(1, 2) + "id: 3\nda";
  REQUIRE(part.size() == 38);
  const std::vector<std::string> answers{
    kSound + "Transfer-Encoding: chunked\r\n\r\n26\r\n" + part +
      "\r\n0\r\n\r\n",
    kSound + "Content-Length: 38\r\n\r\n" + part,
    kSound + "Connection: close\r\n\r\n" + part
  };
  for (const auto& bytes : answers) {
    const RawServer raw([&](const std::string& /*aHead*/) {
      return RawAnswer{ bytes, RawEnd::Close };
    });
    CHECK(CheckStreams(raw, 1) > 0);
  }
}

// Guards against the text or the head of an error in the middle of a caller's
// stream: both engines break streams off, or answer a resumption with an error.
TEST_CASE("an error instead of a resumed stream never reaches the caller")
{
  const std::string error = "\r\nContent-Length: 13\r\n\r\nerror: gone\n\n";
  const std::vector<std::string> errors{
    "HTTP/1.1 500 Error\r\nBilberrytrail-Request-Id: ID" + error,
    kSound + "Content-Type: text/plain" + error,
    kSound + "Content-Length: 13\r\n\r\nerror: gone\n\n",
    "HTTP/1.1 204 None\r\nBilberrytrail-Request-Id: ID\r\n"
    "Bilberrytrail-Response-Signature: sig-ID\r\n\r\n"
  };
  for (const auto& bytes : errors) {
    CAPTURE(bytes);
    const RawServer raw([&](const std::string& aHead) {
      return HeaderIn(aHead, "Last-Event-Id").empty()
               ? RawAnswer{ kSound + "\r\n" + Events(1, 2), RawEnd::Reset }
               : RawAnswer{ bytes, RawEnd::Close };
    });
    FleetSite site;
    site.Run(1, [&] {
      for (std::size_t n = 0; n < 2; ++n) {
        site.PutServer(*site.mServers[n], raw.Address(), "llm", "ready");
      }
      REQUIRE(site.Await([&] {
        (void)site.Send(0, "warm", "/stream/1");
        return raw.Requests() >= 4;
      }));
      const auto stream = site.Send(0, "a1", "/stream/1");
      CHECK_FALSE(stream.has_value());
    });
  }
}

// Guards against "not run" being said of a request that ran: an engine that has
// newer weights than its row refuses a request, gets it again for these, and
// writes the refusal once more before it runs the request.
TEST_CASE("a refusal written once more is not taken for a later send")
{
  const std::string refusal = "HTTP/1.1 421 Other\r\n"
                              "Bilberrytrail-Request-Id: ID\r\n"
                              "Bilberrytrail-Instance-Id: i-0\r\n"
                              "Content-Length: 0\r\n\r\n";
  std::atomic<int> refusals = 0;
  std::atomic<int> runs = 0;
  const RawServer raw([&](const std::string& aHead) {
    if (HeaderIn(aHead, "Bilberrytrail-Expected-Version") != "2") {
      ++refusals;
      return RawAnswer{ refusal, RawEnd::KeepOpen, refusal };
    }
    ++runs;
    const auto body = Events(1, 5);
    return RawAnswer{ kSound + "Content-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                      RawEnd::KeepOpen };
  });
  FleetSite site;
  site.mTable.Remove("servers", "i-1");
  site.PutServer(*site.mServers[0], raw.Address(), "llm", "ready");
  site.Run(1, [&] {
    // Weights that the daemon finds at its start would count as named long ago,
    // and it would send no prompts to servers with older ones.
    site.mTable.Put("op", "version/m", R"({"model":"m","version":2})");
    (void)site.mLoop.Sleep(1s);
    const auto stream = site.Send(0, "a1", "/stream/1");
    REQUIRE(stream.has_value());
    CHECK(stream.value().mStatus == 200);
    CHECK(stream.value().mBody == Events(1, 5));
  });
  CHECK(refusals > 0);
  CHECK(runs == 1);
}

// Guards against an answer with neither a length nor chunks that is lost, or
// that counts as complete although its connection was reset.
TEST_CASE("an answer that ends with its connection is whole unless it is reset")
{
  for (const bool isStream : { false, true }) {
    for (const auto end : { RawEnd::Close, RawEnd::Reset }) {
      CAPTURE(isStream);
      CAPTURE(static_cast<int>(end));
      const auto body = isStream ? Events(1, 5) : std::string("whole");
      auto bytes = kSound;
      bytes.append("\r\n").append(body);
      const RawServer raw([&](const std::string& /*aHead*/) {
        return RawAnswer{ bytes, end };
      });
      FleetSite site;
      const std::size_t first = isStream ? 0 : 2;
      site.mTable.Remove("servers", "i-" + std::to_string(first + 1));
      site.PutServer(*site.mServers[first],
                     raw.Address(),
                     isStream ? "llm" : "shop",
                     "ready");
      site.Run(1, [&] {
        const auto answer =
          site.Send(0, "a1", isStream ? "/stream/1" : "/order/1");
        const bool isWhole = answer && answer.value().mStatus == 200;
        CHECK(isWhole == (end == RawEnd::Close));
        if (isWhole) {
          CHECK(answer.value().mBody == body);
          // The caller must be able to tell an early end.
          const auto& headers = answer.value().mHeaders;
          CHECK((FindHeader(headers, "Content-Length").empty() &&
                 FindHeader(headers, "Transfer-Encoding").empty()) == false);
        }
      });
      CHECK(raw.Requests() == 1);
    }
  }
}
