#include <bilberrytrail/entry/route_table.h>

#include <doctest/doctest.h>

#include <map>

using namespace bilberrytrail;

namespace {

Route
MakeRoute(std::string aName, std::string aHost, std::string aPrefix)
{
  Route route;
  route.mName = std::move(aName);
  route.mHost = std::move(aHost);
  route.mPrefix = std::move(aPrefix);
  route.mTargets = { { ServiceId("s"), 1.0 } };
  return route;
}

} // namespace

TEST_CASE("a request gets the route of its host with the longest prefix")
{
  const RouteTable table({ MakeRoute("all", "a.example", "/"),
                           MakeRoute("fold", "a.example", "/fold/"),
                           MakeRoute("deep", "a.example", "/fold/x/"),
                           MakeRoute("other", "b.example", "/fold/") });
  struct Row
  {
    const char* mHost;
    const char* mTarget;
    const char* mRoute;
  };
  for (const Row& row : { Row{ "a.example", "/fold/1", "fold" },
                          Row{ "A.Example:80", "/fold/x/1?y=/", "deep" },
                          Row{ "a.example", "/fold", "all" },
                          Row{ "b.example", "/fold/x/1", "other" },
                          Row{ "b.example", "/other", "" },
                          Row{ "c.example", "/fold/1", "" },
                          Row{ "b.example", "/?/fold/", "" } }) {
    CAPTURE(row.mTarget);
    const auto* route = table.Find(row.mHost, row.mTarget);
    CHECK((route == nullptr ? "" : route->mName) == row.mRoute);
  }
}

TEST_CASE("a split route gives each target the share of its weight")
{
  Route route = MakeRoute("r", "h", "/");
  route.mTargets = { { ServiceId("a"), 90 },
                     { ServiceId("none"), 0 },
                     { ServiceId("b"), 10 } };
  std::map<std::string, int> counts;
  constexpr int kRequests = 10000;
  for (std::uint64_t n = 0; n < kRequests; ++n) {
    ++counts[PickTarget(route, n * 0x9e3779b97f4a7c15ULL)->mService.Text()];
  }
  CHECK(counts["none"] == 0);
  CHECK(counts["a"] == doctest::Approx(0.9 * kRequests).epsilon(0.05));
  CHECK(counts["b"] == doctest::Approx(0.1 * kRequests).epsilon(0.2));
  route.mTargets = { { ServiceId("a"), 0 } };
  CHECK(PickTarget(route, 1) == nullptr);
}

TEST_CASE("a key finds its account only on an exact match")
{
  ClientAccount account;
  account.mName = AccountId("wick");
  account.mKeys = { "k1", "k2" };
  const AccountKeys keys({ account });
  CHECK(keys.Find("k1")->mName == AccountId("wick"));
  CHECK(keys.Find("k2") != nullptr);
  CHECK(keys.Find("") == nullptr);
  CHECK(keys.Find("K1") == nullptr);
  CHECK(keys.Find("k1 ") == nullptr);
  CHECK(AccountKeys({}).IsEmpty());
}
