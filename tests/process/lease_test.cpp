// Leases of control shards as they stand in the platform's table.

#include "running_site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace bilberrytrail;

namespace {

struct Holder
{
  std::string mName;
  std::uint64_t mEpoch = 0;
};

// Returns the holder of each lease row that has one.
std::map<std::string, Holder>
ReadLeases(RunningSite& aSite)
{
  const auto scan = aSite->Call(
    aSite->Platform().mEndpoint,
    { "POST", "/table/scan", {}, R"({"prefix":"lease","limit":64})" });
  std::map<std::string, Holder> leases;
  const auto json = ParseJson(scan.mBody);
  if (!json || !json.value().contains("rows")) {
    return leases;
  }
  for (const auto& row : json.value()["rows"]) {
    const auto value = ParseJson(row.value("value", ""));
    if (value && value.value().value("holder", "") != "") {
      leases[row.value("key", "")] = { value.value().value("holder", ""),
                                       value.value().value("epoch", 0U) };
    }
  }
  return leases;
}

} // namespace

TEST_CASE("Each control shard's lease names a live daemon, and another one "
          "with a higher epoch after the holder was killed")
{
  constexpr std::size_t kShards = 8;
  SiteShape shape;
  shape.mStores = false;
  shape.mSettings["control"] = "lease_length = 2s\nlease_renewal = 500ms\n"
                               "order_timeout = 1s\n";
  RunningSite site(std::move(shape));
  std::map<std::string, Holder> before;
  REQUIRE(site->Await(kPatience, [&] {
    before = ReadLeases(site);
    return before.size() == kShards;
  }));
  std::set<std::string> members;
  const Json status = site.Status(0);
  for (const auto& it : status["daemons"]) {
    members.insert(it.value("name", ""));
  }
  for (const auto& lease : before) {
    CAPTURE(lease.first);
    CHECK(members.contains(lease.second.mName));
  }
  const std::string victim = before.begin()->second.mName;
  for (auto& daemon : site->Daemons()) {
    if (victim.starts_with(daemon.mName + "~")) {
      site.Kill(daemon);
    }
  }
  CHECK(site->Await(kPatience, [&] {
    const auto after = ReadLeases(site);
    return after.size() == kShards &&
           std::all_of(before.begin(), before.end(), [&](const auto& aLease) {
             const auto it = after.find(aLease.first);
             const bool isMoved = aLease.second.mName == victim;
             return it != after.end() && it->second.mName != victim &&
                    (!isMoved || it->second.mEpoch > aLease.second.mEpoch);
           });
  }));
}
