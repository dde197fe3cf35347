#include "running_site.h"

#include <bilberrytrail/membership/list_readers.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <thread>

using namespace bilberrytrail;

namespace {

constexpr std::size_t kDaemons = 5;
constexpr Duration kPoll = 200ms;
constexpr Duration kHold = 6s;

SiteShape
Shape()
{
  SiteShape shape;
  shape.mDaemons = kDaemons;
  shape.mSettings["control"] = "list_poll = 200ms\nlist_heartbeat = 500ms\n"
                               "list_silence = 2s\nleaving_hold = 6s\n";
  return shape;
}

// Indexes of the daemons that read the list, as daemon 0 sees it.
std::set<std::size_t>
ReadersOf(RunningSite& aSite)
{
  std::vector<HomeCandidate> candidates;
  for (const auto& it : aSite.Status(0).value("daemons", Json::array())) {
    candidates.push_back(
      { DaemonId(it.value("name", "")), ZoneId(it.value("zone", "")), 1.0 });
  }
  REQUIRE(candidates.size() == kDaemons);
  std::set<std::size_t> readers;
  for (const auto& id : ListReadersOf(candidates[0].mZone, candidates)) {
    const std::string name = id.Text().substr(0, id.Text().find('~'));
    for (std::size_t n = 0; n < kDaemons; ++n) {
      if (aSite->Daemons()[n].mName == name) {
        readers.insert(n);
      }
    }
  }
  REQUIRE(readers.size() == kListReadersPerZone);
  return readers;
}

bool
IsLeavingAt(RunningSite& aSite, std::size_t aDaemon, const std::string& aName)
{
  const Json status = aSite.Status(aDaemon);
  const Json servers = status.value("servers", Json::array());
  return std::any_of(servers.begin(), servers.end(), [&](const Json& aServer) {
    return aServer.value("name", "") == aName &&
           aServer.value("state", "") == "leaving";
  });
}

// Counts the daemons, but for those left out, that show the server as leaving.
std::size_t
CountLeaving(RunningSite& aSite,
             const std::string& aName,
             const std::set<std::size_t>& aLeftOut = {})
{
  std::size_t count = 0;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    if (!aLeftOut.contains(n) && IsLeavingAt(aSite, n, aName)) {
      ++count;
    }
  }
  return count;
}

} // namespace

TEST_CASE("two daemons of a zone read the list, and all learn its changes")
{
  RunningSite site(Shape());
  (void)ReadersOf(site);
  const auto& platform = site->Platform();
  const auto reads = site.Count(platform, "list_reads");
  const auto unchanged = site.Count(platform, "list_unchanged");
  const auto start = MonotonicNow();
  std::this_thread::sleep_for(5s);
  const auto periods = (MonotonicNow() - start) / kPoll + 1;
  const auto more = site.Count(platform, "list_reads") - reads;
  MESSAGE("list reads: " << more << " in " << periods << " periods, "
                         << site.Count(platform, "list_unchanged") - unchanged
                         << " of them unchanged");
  CHECK(more >= static_cast<std::uint64_t>(periods / 4));
  CHECK(more <= static_cast<std::uint64_t>(2 * periods));
  CHECK(site.Count(platform, "list_unchanged") - unchanged == more);
  site->PublishList({ "engine-1" });
  const auto told = MonotonicNow();
  CHECK(site->Await(
    kLeavingBound, [&] { return CountLeaving(site, "engine-1") == kDaemons; }));
  MESSAGE("all know after " << ToMillis(MonotonicNow() - told) << " ms");
}

TEST_CASE("daemons whose readers are frozen read the list themselves, and the "
          "readers bring no old list back")
{
  RunningSite site(Shape());
  const auto readers = ReadersOf(site);
  for (const auto n : readers) {
    site->Daemons()[n].mProcess->Signal(SIGSTOP);
  }
  // Listed and taken back: the readers wake with a list in which it stays.
  site->PublishList({ "engine-1" });
  const auto start = MonotonicNow();
  CHECK(site->Await(kPatience, [&] {
    return CountLeaving(site, "engine-1", readers) == kDaemons - 2;
  }));
  MESSAGE("known without readers after " << ToMillis(MonotonicNow() - start)
                                         << " ms");
  for (const auto n : readers) {
    site->Daemons()[n].mProcess->Signal(SIGCONT);
  }
  std::size_t lowest = kDaemons;
  const auto end = MonotonicNow() + 3s;
  while (MonotonicNow() < end) {
    lowest = std::min(lowest, CountLeaving(site, "engine-1", readers));
  }
  CHECK(lowest == kDaemons - 2);
  CHECK(CountLeaving(site, "engine-1") == kDaemons);
}

TEST_CASE("word that a server leaves holds its time against older lists")
{
  RunningSite site(Shape());
  site->PublishList({ "engine-1" });
  REQUIRE(site->Await(
    kLeavingBound, [&] { return CountLeaving(site, "engine-1") == kDaemons; }));
  // As a replica of the list that lags more would show it.
  site->PublishList();
  const auto start = MonotonicNow();
  std::size_t lowest = kDaemons;
  while (MonotonicNow() < start + kHold / 2) {
    lowest = std::min(lowest, CountLeaving(site, "engine-1"));
  }
  CHECK(lowest == kDaemons);
  CHECK(site->Await(kPatience,
                    [&] { return CountLeaving(site, "engine-1") == 0; }));
  // It takes work again.
  site.RunOnlyOn(0);
  CHECK(site->Await(
    kPatience, [&] { return site.Complete(0, "after the word", 2).mDone; }));
}
