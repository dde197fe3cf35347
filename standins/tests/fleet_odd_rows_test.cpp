#include "fleet_site.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

// Puts rows that can't be read, with keys that begin with aPrefix.
void
PutOddRows(FleetSite& aSite, const std::string& aPrefix)
{
  constexpr std::size_t kDepth = 200'000;
  const std::string server = R"({"service":"shop","zone":"z","state":"ready",)";
  const std::vector<std::string> rows{
    std::string(kDepth, '[') + std::string(kDepth, ']'),
    std::string(kDepth, '['),
    "\xff\xfe",
    "",
    server + R"("slots":1e400,"address":"127.0.0.1:80"})",
    server + R"("slots":18446744073709551616,"address":"127.0.0.1:80"})",
    server + R"("slots":1,"address":"127.0.0.1:70000"})",
    server + R"("slots":1,"address":"127.0.0.1:80","models":[)" +
      std::string(kDepth, '[') + std::string(kDepth, ']') + "]}"
  };
  for (std::size_t n = 0; n < rows.size(); ++n) {
    aSite.mTable.Put("servers", aPrefix + std::to_string(n), rows[n]);
  }
}

} // namespace

// Guards against an odd row that ends the daemons, or that keeps them from
// following the table: at their start, later, and passed on between them.
TEST_CASE("daemons go on following the table beside rows that can't be read")
{
  FleetSite site;
  PutOddRows(site, "a");
  site.Run(2, [&] {
    CHECK(site.Status(0, "r1", "/read/1") == 200);
    PutOddRows(site, "z");
    site.PutConfig(2, "new");
    site.mTable.Remove("servers", "i-2");
    for (std::size_t n = 0; n < 2; ++n) {
      CAPTURE(n);
      CHECK(site.Await(
        [&] { return site.Status(n, "r2", "/read/1", "new") == 200; }));
      // The rows of the servers come behind each other too: the removal holds.
      CHECK(site.Await([&] {
        const auto before = site.mServers[2]->Arrivals().size();
        for (const char* id : { "s1", "s2", "s3", "s4" }) {
          (void)site.Status(n, id, "/read/1", "new");
        }
        return site.mServers[2]->Arrivals().size() == before;
      }));
      for (const char* id : { "t1", "t2", "t3", "t4" }) {
        CHECK(site.Status(n, id, "/read/1", "new") == 200);
      }
    }
  });
}

// Guards against "no such key" for one that was confirmed while the daemon was
// turned away, and before the row of the configuration became unreadable.
TEST_CASE("unknown keys are not denied while the configuration can't be read")
{
  FleetSite site;
  site.Run(1, [&] {
    CHECK(site.Status(0, "a", "/read/1", "later") == 401);
    site.PutConfig(2, "later");
    site.mTable.Put("op", "config", R"({"version": "none"})");
    (void)site.mLoop.Sleep(200ms);
    for (int n = 0; n < 50; ++n) {
      const auto id = "b" + std::to_string(n);
      CHECK(site.Status(0, id, "/read/1", "later") == 503);
      CHECK(site.Status(0, id + "x", "/nowhere/1") == 503);
      CHECK(site.Status(0, id + "y", "/read/1") == 200);
    }
    site.PutConfig(3, "later");
    CHECK(site.Await(
      [&] { return site.Status(0, "c", "/read/1", "later") == 200; }));
    CHECK(site.Status(0, "d", "/read/1", "key") == 401);
    CHECK(site.Status(0, "e", "/nowhere/1", "later") == 404);
  });
}
