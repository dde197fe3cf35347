#include "fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

const std::string kWholeStream =
  "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
  "id: 4\ndata: x\n\nid: 5\ndata: x\n\n";

// Writes the weights that servers have loaded to their rows.
void
PutLoadedWeights(FleetSite& aSite)
{
  for (std::size_t n = 0; n < aSite.mServers.size(); ++n) {
    const auto value = aSite.mTable.Value("servers", aSite.mServers[n]->Id());
    const auto written =
      "\"version\":" + std::to_string(aSite.mServers[n]->Weights());
    if (value.find(written) == std::string::npos) {
      aSite.PutServer(n);
    }
  }
}

} // namespace

TEST_CASE("requests pass through to the servers and back")
{
  FleetSite site;
  site.Run(1, [&] {
    const auto order = site.Send(0, "a1", "/order/7");
    REQUIRE(order.has_value());
    CHECK(order.value().mStatus == 200);
    CHECK(order.value().mBody == "body of a1");
    CHECK(FindHeader(order.value().mHeaders,
                     "Bilberrytrail-Response-Signature") == "sig-a1");
    const auto stream = site.Send(0, "a2", "/stream/7");
    REQUIRE(stream.has_value());
    CHECK(stream.value().mBody == kWholeStream);
    const auto& engine =
      site.mServers[0]->Runs().empty() ? *site.mServers[1] : *site.mServers[0];
    CHECK(FindHeader(engine.LastHeaders(), "Bilberrytrail-Tenant") == "wick");
    CHECK(FindHeader(engine.LastHeaders(), "Bilberrytrail-Credential").empty());
    CHECK(site.Status(0, "a3", "/nowhere/1") == 404);
    CHECK(site.Status(0, "a4", "/order/1", "wrong") == 401);
    CHECK(site.Runs().find("a4") == std::string::npos);
  });
}

TEST_CASE("a stream that a server cuts goes on at the other one")
{
  FleetSite site;
  site.mServers[0]->SetCutAfter(2);
  // Neither breaks off what the other one has left.
  site.mServers[1]->SetCutAfter(4);
  site.Run(1, [&] {
    const auto stream = site.Send(0, "a1", "/stream/7");
    REQUIRE(stream.has_value());
    CHECK(stream.value().mBody == kWholeStream);
    CHECK(site.Runs() == "a1:1 a1:1 ");
  });
}

TEST_CASE("an order that a full server refuses runs at the other one, once")
{
  FleetSite site;
  site.Run(1, [&] {
    site.mServers[2]->SetFull(true);
    for (const char* id : { "a1", "a2", "a3" }) {
      CHECK(site.Status(0, id, "/order/7") == 200);
    }
    CHECK(site.Runs() == "a1:1 a2:1 a3:1 ");
    site.mServers[3]->SetFull(true);
    const auto refused = site.Send(0, "a4", "/order/7");
    REQUIRE(refused.has_value());
    CHECK(refused.value().mStatus == 503);
    CHECK_FALSE(FindHeader(refused.value().mHeaders, "Retry-After").empty());
  });
}

TEST_CASE("changes come into force, also behind dropped history")
{
  FleetSite site;
  site.Run(1, [&] {
    CHECK(site.Status(0, "a1", "/read/1", "new") == 401);
    site.PutConfig(2, "new");
    CHECK(
      site.Await([&] { return site.Status(0, "b", "/read/1", "new") == 200; }));
    CHECK(site.Status(0, "a2", "/read/1", "key") == 401);
    site.mTable.DropHistory();
    site.PutServer(2, "draining");
    site.PutConfig(3, "newer");
    CHECK(site.Await(
      [&] { return site.Status(0, "c", "/read/1", "newer") == 200; }));
    const auto before = site.mServers[2]->Runs().size();
    for (const char* id : { "d1", "d2", "d3", "d4" }) {
      CHECK(site.Status(0, id, "/read/1", "newer") == 200);
    }
    CHECK(site.mServers[2]->Runs().size() == before);
  });
}

TEST_CASE("a daemon that the table service turns away learns from another one")
{
  for (const auto fault : { RowTableFault::Busy, RowTableFault::Silent }) {
    CAPTURE(fault);
    FleetSite site;
    site.Run(2, [&] {
      // Both know each other by their rows.
      CHECK(site.Await([&] {
        return !site.mTable.Value("bilberrytrail", "daemon/d0").empty() &&
               !site.mTable.Value("bilberrytrail", "daemon/d1").empty();
      }));
      (void)site.mLoop.Sleep(1200ms);
      site.mTable.SetFault(fault);
      CHECK(site.Status(0, "a1", "/read/1") == 200);
      CHECK(site.Status(1, "a2", "/read/1") == 200);
      CHECK(site.Readiness(0) == 200);
      // Old enough to be unsure of what it does not know: a wait for changes
      // that began just before the fault is answered still, 2.5 s later, and
      // the copy counts as new for 3.2 s behind it.
      (void)site.mLoop.Sleep(6s);
      CHECK(site.Status(0, "a3", "/read/1", "unknown") == 503);
      CHECK(site.Status(0, "a4", "/nowhere/1") == 503);
      CHECK(site.Status(0, "a5", "/read/1") == 200);
      site.mTable.SetFault(RowTableFault::None);
      CHECK(
        site.Await([&] { return site.Status(0, "b", "/nowhere/1") == 404; }));
    });
  }
}

// Guards against a daemon that gets callers before it knows any server, and
// refuses them: the table service fails on the servers' rows only.
TEST_CASE("a daemon is ready only when it has read the list of servers")
{
  FleetSite site;
  site.Run(1, [&] {
    site.mTable.SetFault(RowTableFault::Busy, "servers");
    site.StartDaemon();
    CHECK(site.Await([&] { return site.Readiness(1) == 200; }));
    CHECK(site.Status(1, "a1", "/read/1") == 200);
  });
}

TEST_CASE("a daemon is ready at a site without servers")
{
  FleetSite site;
  for (const auto& it : site.mServers) {
    site.mTable.Remove("servers", it->Id());
  }
  site.Run(1, [&] { CHECK(site.Status(0, "a1", "/read/1") == 503); });
}

TEST_CASE("one daemon brings all servers to the newest weights")
{
  FleetSite site;
  site.Run(2, [&] {
    site.mTable.Put("op", "version/m", R"({"model":"m","version":2})");
    CHECK(site.Await([&] {
      PutLoadedWeights(site);
      return std::ranges::all_of(site.mServers, [](const auto& aServer) {
        return aServer->Weights() == 2;
      });
    }));
    for (const auto& it : site.mServers) {
      CHECK(it->Fences() == std::vector<std::uint64_t>{ 1 });
    }
    CHECK(site.Await([&] { return site.Status(0, "s", "/stream/1") == 200; }));
  });
}

// Guards against servers that wait for their first order until others, whose
// orders got no reply, have executed theirs.
TEST_CASE("all servers are ordered before late orders are executed")
{
  FleetSite site;
  for (const auto& it : site.mServers) {
    it->SetOrderDelay(5s);
  }
  site.Run(2, [&] {
    site.mTable.Put("op", "version/m", R"({"model":"m","version":2})");
    const auto hasWeights = [](const auto& aServer) {
      return aServer->Weights() == 2;
    };
    CHECK(site.Await(
      [&] { return std::ranges::any_of(site.mServers, hasWeights); }));
    for (const auto& it : site.mServers) {
      CHECK(it->OrdersReceived() > 0);
    }
    CHECK(site.Await([&] {
      PutLoadedWeights(site);
      return std::ranges::all_of(site.mServers, hasWeights);
    }));
    for (const auto& it : site.mServers) {
      CHECK(it->Fences().size() == 1);
    }
  });
}

TEST_CASE("a planned stop cuts no request, and no new connections come")
{
  FleetSite site;
  site.mServers[0]->SetEventTime(300ms);
  site.mServers[1]->SetEventTime(300ms);
  site.Run(1, [&] {
    std::string body;
    bool hasEnded = false;
    site.mLoop.Spawn([&] {
      const auto stream = site.Send(0, "a1", "/stream/1");
      body = stream ? stream.value().mBody : "cut";
      hasEnded = true;
    });
    CHECK(site.Await([&] { return site.Runs() == "a1:1 "; }));
    site.mDaemons[0]->Drain();
    CHECK(site.Await([&] { return site.Readiness(0) == 503; }));
    const auto late = site.Send(0, "a2", "/order/1");
    REQUIRE(late.has_value());
    CHECK(late.value().mStatus == 200);
    CHECK(FindHeader(late.value().mHeaders, "Connection") == "close");
    CHECK(site.Await([&] { return hasEnded; }));
    CHECK(body == kWholeStream);
  });
}
