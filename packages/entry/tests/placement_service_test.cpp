#include "../src/placement_service.h"

#include <doctest/doctest.h>

#include <deque>

using namespace bilberrytrail;

namespace {

const ServiceId kEngines("engines");
const ModelId kModel("m");

std::vector<ServerRecord>
Servers()
{
  std::vector<ServerRecord> servers(4);
  for (std::size_t n = 0; n < servers.size(); ++n) {
    servers[n].mId = ServerId("s" + std::to_string(n));
    servers[n].mService = kEngines;
    servers[n].mModels = { { kModel, 1 } };
  }
  return servers;
}

ServerQuery
Query()
{
  ServerQuery query;
  query.mService = kEngines;
  query.mModel = kModel;
  query.mWork = 1000;
  query.mObjective = 500ms;
  return query;
}

// Daemons of one site. Those that are not started are listed but do not answer.
class Site
{
public:
  explicit Site(std::size_t aDaemons)
  {
    for (std::size_t n = 0; n < aDaemons; ++n) {
      const auto name = DaemonId("d" + std::to_string(n));
      DatagramSocket probe(mLoop);
      const auto port = probe.Bind({ "127.0.0.1", 0 });
      REQUIRE(port.has_value());
      mCandidates.push_back({ name, { "127.0.0.1", port.value() }, 0 });
      mServices.push_back(
        std::make_unique<PlacementService>(mLoop,
                                           ZoneId("z"),
                                           name,
                                           n + 1,
                                           mLimits.emplace_back(),
                                           mColds.emplace_back(),
                                           mParts.emplace_back(),
                                           mRequests.emplace_back()));
    }
    const auto servers = Servers();
    mMap = std::make_shared<const PlacementMap>(servers, mCandidates);
  }

  // Starts a daemon.
  void Start(std::size_t aDaemon)
  {
    REQUIRE(
      mServices[aDaemon]->Start(mCandidates[aDaemon].mEndpoint).has_value());
    mServices[aDaemon]->SetMap(mMap);
    mServices[aDaemon]->Ledger().SetServers(Servers(), MonotonicNow());
  }
  // Returns the number of the daemon at a place among the homes of the only
  // group.
  std::size_t Home(std::size_t aPlace)
  {
    const auto homes = mMap->HomesOf({ kEngines, 0, 1 });
    for (std::size_t n = 0; n < mCandidates.size(); ++n) {
      if (mCandidates[n].mDaemon == homes[aPlace].mDaemon) {
        return n;
      }
    }
    return mCandidates.size();
  }
  // Returns a daemon that is not a home.
  std::size_t Entry()
  {
    std::size_t n = 0;
    while (n == Home(0) || n == Home(1) || n == Home(2)) {
      ++n;
    }
    return n;
  }
  template<class Function>
  void Run(Function aFunction)
  {
    mLoop.Spawn([this, aFunction] {
      aFunction();
      mLoop.Stop();
    });
    mLoop.Run();
  }

  Loop mLoop;
  // What each daemon knows of the servers' rate limits.
  std::deque<ServerLimits> mLimits;
  std::deque<ColdServers> mColds;
  std::deque<PartQuarantine> mParts;
  std::deque<PartQuarantine> mRequests;
  std::vector<PlacementCandidate> mCandidates;
  std::vector<std::unique_ptr<PlacementService>> mServices;
  std::shared_ptr<const PlacementMap> mMap;
};

} // namespace

TEST_CASE(
  "an entry gets a server from the home and reports the end of the grant")
{
  Site site(5);
  const auto entry = site.Entry();
  const auto home = site.Home(0);
  site.Start(entry);
  site.Start(home);
  site.Run([&] {
    auto& service = *site.mServices[entry];
    const auto reply = service.Place(Query(), 1, 4s, false);
    REQUIRE(reply);
    CHECK(reply->mOutcome == PlacementOutcome::Granted);
    auto& ledger = site.mServices[home]->Ledger();
    CHECK(ledger.Grants() == 1);
    service.OnBegun(reply->mTicket);
    service.OnEnd(reply->mTicket, SendOutcome::Answered);
    (void)site.mLoop.Sleep(60ms);
    CHECK(ledger.Grants() == 0);
  });
}

TEST_CASE("a home places its own requests without a datagram")
{
  Site site(3);
  const auto home = site.Home(0);
  site.Start(home);
  site.Run([&] {
    auto& service = *site.mServices[home];
    const auto reply = service.Place(Query(), 1, 4s, false);
    REQUIRE(reply);
    service.OnEnd(reply->mTicket, SendOutcome::Answered);
    CHECK(service.Ledger().Grants() == 0);
  });
}

// The home may have been killed, may be frozen or cut off from the network.
TEST_CASE("an entry backs off from a silent home and tries the next one")
{
  for (const bool hasSecond : { true, false }) {
    CAPTURE(hasSecond);
    Site site(6);
    const auto entry = site.Entry();
    site.Start(entry);
    if (hasSecond) {
      site.Start(site.Home(1));
    }
    site.Run([&] {
      auto& service = *site.mServices[entry];
      const auto start = MonotonicNow();
      CHECK(service.Place(Query(), 1, 4s, false).has_value() == hasSecond);
      CHECK(MonotonicNow() - start < 400ms);
      // The silent home is not tried again: Place returns at once, with or
      // without a reply.
      const auto second = MonotonicNow();
      CHECK(service.Place(Query(), 2, 4s, false).has_value() == hasSecond);
      CHECK(MonotonicNow() - second < 100ms);
    });
  }
}

TEST_CASE("Place returns nothing when there is no placement map")
{
  Site site(2);
  site.Run([&] {
    CHECK_FALSE(site.mServices[0]->Place(Query(), 1, 4s, false).has_value());
  });
}

namespace {

// Returns the grants among as many requests as fit into aTime.
int
CountGrants(Site& aSite, PlacementService& aService, Duration aTime)
{
  int granted = 0;
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end) {
    const auto reply = aService.Place(Query(), 1, 4s, true);
    if (reply && reply->mOutcome == PlacementOutcome::Granted) {
      ++granted;
      aService.OnEnd(reply->mTicket, SendOutcome::Answered);
    } else if (reply) {
      CHECK(reply->mOutcome == PlacementOutcome::Limited);
      CHECK(reply->mTime > 0ms);
    }
    (void)aSite.mLoop.Sleep(5ms);
  }
  return granted;
}

} // namespace

// Guards against a new home that sends at the full rate while the daemons that
// still take another one for the home do so too. Only the entry has seen the
// limit, so the home has to learn it from the request.
TEST_CASE("a home that is new or stands in uses a share of a server's limit")
{
  constexpr double kLimit = 16;
  constexpr Duration kTime = 2s;
  // A quarter of the limit over kTime, and a burst of each server.
  constexpr double kMostGrants = kLimit / 4 * 2 + 2;
  for (const std::size_t place : { 0U, 1U }) {
    CAPTURE(place);
    Site site(6);
    const auto entry = site.Entry();
    site.Start(entry);
    site.Start(site.Home(place));
    const auto servers = Servers();
    for (const auto& it : servers) {
      site.mLimits[entry].Observe(
        it.mId, kLimit, MonotonicNow(), MonotonicNow());
    }
    site.Run([&] {
      const auto granted = CountGrants(site, *site.mServices[entry], kTime);
      const auto most = kMostGrants * static_cast<double>(servers.size());
      CHECK(granted <= most);
      // A limited server stays in use.
      CHECK(granted >= most / 4);
      CHECK(site.mLimits[site.Home(place)].Find(servers[0].mId) != nullptr);
    });
  }
}

TEST_CASE("the end of a limit reaches the home and the other daemons")
{
  Site site(6);
  const auto entry = site.Entry();
  const auto home = site.Home(0);
  site.Start(entry);
  site.Start(home);
  const auto servers = Servers();
  for (const auto& it : servers) {
    site.mLimits[entry].Observe(it.mId, 1, MonotonicNow(), MonotonicNow());
  }
  site.Run([&] {
    auto& service = *site.mServices[entry];
    (void)service.Place(Query(), 1, 4s, true);
    CHECK(site.mLimits[home].Find(servers[0].mId) != nullptr);
    (void)site.mLoop.Sleep(20ms);
    for (const auto& it : servers) {
      site.mLimits[home].Observe(
        it.mId, std::nullopt, MonotonicNow(), MonotonicNow());
    }
    const auto reply = service.Place(Query(), 1, 4s, true);
    REQUIRE(reply);
    CHECK(reply->mOutcome == PlacementOutcome::Granted);
    CHECK(site.mLimits[entry].Find(servers[0].mId) == nullptr);
  });
}

// Guards against a daemon that doesn't hear what the daemons that it exchanges
// requests with know of the tables.
TEST_CASE("requests and replies tell of newer rows, once each")
{
  Site site(4);
  std::vector<std::vector<TableVersion>> heard(4);
  site.Run([&] {
    for (std::size_t n = 0; n < 4; ++n) {
      site.Start(n);
      site.mServices[n]->SetNewestRows({ TableVersion(5), TableVersion(5) });
      site.mServices[n]->OnNewerRow([&heard, n](SiteTable aTable, auto aRow) {
        CHECK(aTable == SiteTable::Operator);
        heard[n].push_back(aRow);
      });
    }
    auto& entry = *site.mServices[site.Entry()];
    auto& home = *site.mServices[site.Home(0)];
    const auto ask = [&] {
      for (int n = 0; n < 3; ++n) {
        CHECK(entry.Place(Query(), 1, 1s, false).has_value());
      }
    };
    ask();
    home.SetNewestRows({ TableVersion(6), TableVersion(5) });
    ask();
    entry.SetNewestRows({ TableVersion(8), TableVersion(5) });
    ask();
  });
  CHECK(heard[site.Entry()] == std::vector{ TableVersion(6) });
  CHECK(heard[site.Home(0)] == std::vector{ TableVersion(8) });
}
