#include "fleet_site.h"
#include "raw_server.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nBilberrytrail-Request-Id: ID\r\n"
                          "Bilberrytrail-Response-Signature: sig-ID\r\n";
const std::string kEvent = "id: 1\ndata: x\n\n";

// An answer that a server breaks off.
struct Broken
{
  std::string mBytes;
  RawEnd mEnd;
};

// Returns the answers of a server that ends at each point of a stream, or of a
// whole answer, in each framing. An end between events, or in a body without a
// length, can be told only by a reset or the end of the server.
std::vector<Broken>
MakeBroken(bool aIsStream)
{
  const std::string part = aIsStream ? kEvent + "id: 2\nda" : "who";
  const std::string between = aIsStream ? kEvent : part;
  std::vector<Broken> rows;
  const auto size = between.size();
  const auto chunk = (size < 10 ? std::to_string(size) : "f") + "\r\n";
  for (const auto end : { RawEnd::Close, RawEnd::Reset, RawEnd::Crash }) {
    const auto add = [&](std::string aHead,
                         std::initializer_list<std::string_view> aBody) {
      for (const auto it : aBody) {
        aHead += it;
      }
      rows.push_back({ std::move(aHead), end });
    };
    for (const std::size_t n : { 4, 15, 17, 40, 60 }) {
      add(kHead.substr(0, n), {});
    }
    add(kHead, {});
    const auto length = kHead + "Content-Length: 99\r\n\r\n";
    const auto chunks = kHead + "Transfer-Encoding: chunked\r\n\r\n";
    add(length, {});
    add(length, { between });
    add(length, { part });
    add(chunks, {});
    add(chunks, { chunk, between, "\r\n" });
    add(chunks, { chunk, between });
    add(chunks, { "63\r\n", part });
    if (aIsStream) {
      add(kHead, { "\r\n" });
      add(kHead, { "\r\n", part });
    }
    if (end != RawEnd::Close) {
      add(kHead, { "\r\n" });
      add(kHead, { "\r\n", between });
    }
  }
  return rows;
}

} // namespace

// Guards against answers that servers break off, in the head, before the first
// event, within an event or between two, and that reach callers as complete.
TEST_CASE("no answer that a server breaks off is complete for its caller")
{
  REQUIRE(kEvent.size() == 15);
  for (const bool isStream : { true, false }) {
    FleetSite site;
    const std::size_t first = isStream ? 0 : 2;
    site.mTable.Remove("servers", "i-" + std::to_string(first + 1));
    std::vector<std::unique_ptr<RawServer>> servers;
    const auto rows = MakeBroken(isStream);
    servers.reserve(rows.size());
    for (const auto& it : rows) {
      servers.push_back(
        std::make_unique<RawServer>([&it](const std::string& /*aHead*/) {
          return RawAnswer{ it.mBytes, it.mEnd };
        }));
    }
    site.Run(1, [&] {
      for (std::size_t n = 0; n < rows.size(); ++n) {
        CAPTURE(isStream);
        CAPTURE(n);
        CAPTURE(rows[n].mBytes);
        site.PutServer(*site.mServers[first],
                       servers[n]->Address(),
                       isStream ? "llm" : "shop",
                       "ready");
        int sent = 0;
        REQUIRE(site.Await([&] {
          const auto answer =
            site.Send(0,
                      "a" + std::to_string(n) + "-" + std::to_string(sent++),
                      isStream ? "/stream/1" : "/order/1");
          // Until the new row is in force, another server answers.
          if (servers[n]->Requests() > 0) {
            CHECK_FALSE((answer && answer.value().mStatus < 300));
          }
          return servers[n]->Requests() > 0;
        }));
      }
    });
  }
}
