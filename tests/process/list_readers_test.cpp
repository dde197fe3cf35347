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

// Indexes of the daemons that read the list in a zone, as daemon 0 sees it.
std::set<std::size_t>
ReadersOf(RunningSite& aSite, const std::string& aZone = "zone-1")
{
  std::vector<HomeCandidate> candidates;
  for (const auto& it : aSite.Status(0).value("daemons", Json::array())) {
    candidates.push_back(
      { DaemonId(it.value("name", "")), ZoneId(it.value("zone", "")), 1.0 });
  }
  const auto& daemons = aSite->Daemons();
  REQUIRE(candidates.size() == daemons.size());
  std::set<std::size_t> readers;
  for (const auto& id : ListReadersOf(ZoneId(aZone), candidates)) {
    const std::string name = id.Text().substr(0, id.Text().find('~'));
    for (std::size_t n = 0; n < daemons.size(); ++n) {
      if (daemons[n].mName == name) {
        readers.insert(n);
      }
    }
  }
  REQUIRE(readers.size() == kListReadersPerZone);
  return readers;
}

// Whether the daemon itself, whatever the server's home says, knows that the
// server leaves.
bool
IsLeavingAt(RunningSite& aSite, std::size_t aDaemon, const std::string& aName)
{
  const Json leaving = aSite.Status(aDaemon).value("leaving", Json::array());
  return std::find(leaving.begin(), leaving.end(), aName) != leaving.end();
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
  CHECK(more >= static_cast<std::uint64_t>(periods));
  CHECK(more <= static_cast<std::uint64_t>(2 * periods));
  CHECK(site.Count(platform, "list_unchanged") - unchanged == more);
  site->PublishList({ "engine-1" });
  const auto told = MonotonicNow();
  CHECK(site->Await(
    kLeavingBound, [&] { return CountLeaving(site, "engine-1") == kDaemons; }));
  MESSAGE("all know after " << ToMillis(MonotonicNow() - told) << " ms");
}

TEST_CASE("daemons read the list themselves in the silence of frozen readers")
{
  SiteShape shape = Shape();
  shape.mSettings["control"] = "list_poll = 100ms\nlist_heartbeat = 100ms\n"
                               "list_silence = 300ms\n";
  RunningSite site(shape);
  const auto readers = ReadersOf(site);
  for (const auto n : readers) {
    site->Daemons()[n].mProcess->Signal(SIGSTOP);
  }
  const auto reads = site.Count(site->Platform(), "list_reads");
  // Shorter than the readers are found dead and replaced.
  std::this_thread::sleep_for(900ms);
  const auto more = site.Count(site->Platform(), "list_reads") - reads;
  for (const auto n : readers) {
    site->Daemons()[n].mProcess->Signal(SIGCONT);
  }
  MESSAGE("list reads without readers: " << more);
  CHECK(more >= kDaemons - 2);
}

TEST_CASE("a change reaches all while the readers are frozen, and the readers "
          "bring no old list back")
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

TEST_CASE("when both readers die two others read and tell the rest")
{
  RunningSite site(Shape());
  const auto readers = ReadersOf(site);
  for (const auto n : readers) {
    site.Kill(site->Daemons()[n]);
  }
  site->PublishList({ "engine-1" });
  CHECK(site->Await(kPatience, [&] {
    return CountLeaving(site, "engine-1", readers) == kDaemons - 2;
  }));
  const auto& platform = site->Platform();
  const auto hasTwoReaders = [&] {
    const auto reads = site.Count(platform, "list_reads");
    const auto start = MonotonicNow();
    std::this_thread::sleep_for(3s);
    const auto periods = (MonotonicNow() - start) / kPoll + 1;
    const auto more = site.Count(platform, "list_reads") - reads;
    return more >= static_cast<std::uint64_t>(periods) &&
           more <= static_cast<std::uint64_t>(2 * periods);
  };
  CHECK(site->Await(kPatience, hasTwoReaders));
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

TEST_CASE("an operator's word reaches a zone whose readers are frozen")
{
  SiteShape shape = Shape();
  shape.mDaemons = 6;
  shape.mZones = 2;
  RunningSite site(shape);
  const auto readers = ReadersOf(site, "zone-2");
  std::set<std::size_t> followers = { 1, 3, 5 };
  for (const auto n : readers) {
    followers.erase(n);
    site->Daemons()[n].mProcess->Signal(SIGSTOP);
  }
  REQUIRE(followers.size() == 1);
  const auto start = MonotonicNow();
  const auto drained =
    site->Operate(0, "POST", "/operator/drain", R"({"server":"engine-1"})");
  REQUIRE(drained.mStatus == 200);
  for (const std::size_t n : { *followers.begin(), std::size_t{ 2 } }) {
    CHECK(site->Await(kLeavingBound - (MonotonicNow() - start),
                      [&] { return IsLeavingAt(site, n, "engine-1"); }));
  }
  MESSAGE("known in both zones after " << ToMillis(MonotonicNow() - start)
                                       << " ms");
  for (const auto n : readers) {
    site->Daemons()[n].mProcess->Signal(SIGCONT);
  }
}
