#include <bilberrytrail/base/random.h>
#include <bilberrytrail/entry/placement_ledger.h>

#include <doctest/doctest.h>

#include <deque>

using namespace bilberrytrail;

namespace {

const ServiceId kEngines("engines");
const ModelId kModel("m");
const ServerId kServer("s0");
const PlacementGroup kGroup{ kEngines, 0, 1 };
constexpr double kOver = 1.5;
constexpr double kSlack = 5;
constexpr double kPerSecond = 14;
constexpr Duration kColdTime = 3s;

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

std::vector<BackendService>
Services(double aPerSecond = kPerSecond)
{
  BackendService service;
  service.mName = kEngines;
  service.mColdPerSecond = aPerSecond;
  service.mColdTime = kColdTime;
  return { service };
}

std::vector<ServerRecord>
Servers(std::size_t aCount)
{
  std::vector<ServerRecord> servers(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    servers[n].mId = ServerId("s" + std::to_string(n));
    servers[n].mService = kEngines;
    servers[n].mStartedAtMs = 1;
    servers[n].mModels = { { kModel, 1 } };
  }
  return servers;
}

PlacementRequest
MakeRequest(std::uint64_t aTicket, std::uint64_t aAffinity = 0)
{
  PlacementRequest request;
  request.mGroup = kGroup;
  request.mTicket = aTicket;
  request.mTimeLeft = 4s;
  request.mQuery.mService = kEngines;
  request.mQuery.mModel = kModel;
  request.mQuery.mWork = 300;
  request.mQuery.mAffinity = aAffinity;
  request.mQuery.mObjective = 500ms;
  return request;
}

// Most times within any second.
std::size_t
MostInASecond(const std::vector<Instant>& aTimes)
{
  std::size_t most = 0;
  for (auto it = aTimes.begin(); it != aTimes.end(); ++it) {
    const auto end = std::lower_bound(it, aTimes.end(), *it + 1s);
    most = std::max(most, static_cast<std::size_t>(end - it));
  }
  return most;
}

// What one daemon knows, as a home.
struct Home
{
  explicit Home(std::size_t aServers)
    : mColds(kOver, kSlack)
    , mLedger(ZoneId("z"), HomeAdmissionSettings(), mLimits, &mColds)
  {
    mColds.SetServices(Services());
    SetServers(Servers(aServers), At(0s));
  }
  void SetServers(const std::vector<ServerRecord>& aServers, Instant aNow)
  {
    mColds.Update(aServers, aNow);
    mLedger.SetServers(aServers, aNow);
  }

  ServerLimits mLimits;
  ColdServers mColds;
  PlacementLedger mLedger;
};

} // namespace

TEST_CASE("a server is cold for as long as its row, failures or news tell")
{
  enum class Event : unsigned char
  {
    // A row with a later start that says how long the server stays cold.
    Restarted,
    // A row of the same start that says so.
    ColdAgain,
    Refused,
    // Broken off once, and twice in a row.
    BrokenOnce,
    BrokenTwice,
    Answered,
    // The server's availability zone is evacuated.
    Evacuated,
    // The row as it was at first.
    Listed,
    // Another daemon knows it to be cold for a second, or lost.
    ToldCold,
    ToldLost
  };
  struct Row
  {
    std::vector<std::pair<Duration, Event>> mEvents;
    Duration mAt;
    bool mIsCold;
  };
  using enum Event;
  const Row rows[] = {
    { {}, 0s, false },
    { { { 0s, Restarted } }, 2900ms, true },
    { { { 0s, Restarted } }, 3100ms, false },
    { { { 0s, ColdAgain } }, 2900ms, true },
    { { { 0s, BrokenOnce } }, 1ms, false },
    { { { 0s, BrokenOnce }, { 1s, Answered }, { 2s, BrokenOnce } },
      2100ms,
      false },
    { { { 0s, BrokenTwice } }, 1ms, true },
    // A server that can't be reached may start at any time.
    { { { 0s, Refused } }, 60s, true },
    { { { 0s, Refused }, { 4s, Answered } }, 6900ms, true },
    { { { 0s, Refused }, { 4s, Answered } }, 7100ms, false },
    // It answers others: only the way to it failed.
    { { { 0s, Answered }, { 50ms, Refused } }, 51ms, false },
    { { { 0s, Answered }, { 150ms, Refused } }, 151ms, true },
    { { { 0s, Refused }, { 200ms, Answered } }, 201ms, false },
    { { { 0s, Answered }, { 50ms, ToldLost } }, 51ms, false },
    { { { 0s, Refused }, { 1s, Restarted } }, 3900ms, true },
    { { { 0s, Refused }, { 1s, Restarted } }, 4100ms, false },
    { { { 0s, Evacuated }, { 9s, Listed } }, 11900ms, true },
    { { { 0s, Evacuated }, { 9s, Listed } }, 12100ms, false },
    { { { 0s, ToldCold } }, 900ms, true },
    { { { 0s, ToldCold } }, 1100ms, false },
    // Told by others, it lasts as long as a cold start.
    { { { 0s, ToldLost } }, 2900ms, true },
    { { { 0s, ToldLost } }, 3100ms, false },
    { { { 0s, ToldLost }, { 1s, Answered } }, 4100ms, false },
  };
  for (const auto& row : rows) {
    CAPTURE(&row - rows);
    ColdServers colds(kOver, kSlack);
    colds.SetServices(Services());
    colds.Update(Servers(1), At(-60s));
    for (const auto& [at, event] : row.mEvents) {
      const auto now = At(at);
      auto servers = Servers(1);
      switch (event) {
        case Restarted:
          servers[0].mStartedAtMs = 2;
          [[fallthrough]];
        case ColdAgain:
          servers[0].mColdLeft = 3s;
          colds.Update(servers, now);
          break;
        case Refused:
          colds.OnLost(kServer, true, now);
          break;
        case BrokenTwice:
          colds.OnLost(kServer, false, now);
          [[fallthrough]];
        case BrokenOnce:
          colds.OnLost(kServer, false, now);
          break;
        case Answered:
          colds.OnAnswer(kServer, now);
          break;
        case Evacuated:
          servers[0].mIsEvacuated = true;
          [[fallthrough]];
        case Listed:
          colds.Update(servers, now);
          break;
        case ToldCold:
          colds.Merge(std::vector<ColdObservation>{ { kServer, 1s, now } },
                      now);
          break;
        case ToldLost:
          colds.Merge(
            std::vector<ColdObservation>{ { kServer, std::nullopt, now } },
            now);
          break;
      }
    }
    CHECK((colds.Find(kServer, At(row.mAt)) != nullptr) == row.mIsCold);
  }
}

TEST_CASE("servers of services without a bound are never cold")
{
  ColdServers colds(kOver, kSlack);
  colds.SetServices(Services(0));
  auto servers = Servers(1);
  servers[0].mColdLeft = 3s;
  colds.Update(servers, At(0s));
  colds.OnLost(kServer, true, At(0s));
  CHECK(colds.Find(kServer, At(0s)) == nullptr);
  CHECK(colds.Recent(At(0s)).empty());
}

// Load: more requests than a cold server takes, at all daemons at once, while
// the homes of its group change. Half of the daemons get no word of any home.
TEST_CASE("all daemons together keep the bound of a cold server")
{
  constexpr std::size_t kDaemons = 73;
  constexpr double kDirectShare = 0.125;
  constexpr double kStandInShare = 0.25;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    std::deque<Home> homes;
    for (int n = 0; n < 3; ++n) {
      homes.emplace_back(1);
    }
    ServerLimits limits;
    ColdServers colds(kOver, kSlack);
    colds.SetServices(Services());
    std::vector<RateGate> gates(kDaemons, RateGate(limits, &colds));
    for (auto& it : gates) {
      it.SetSplitShare(kDirectShare, kDaemons, random.Unit());
    }
    auto servers = Servers(1);
    servers[0].mColdLeft = kColdTime;
    colds.Update(servers, At(0s));
    for (auto& it : homes) {
      it.SetServers(servers, At(0s));
    }
    std::vector<Instant> sent;
    std::uint64_t ticket = 0;
    for (Instant now = At(0s); now < At(kColdTime); now += 5ms) {
      for (std::size_t n = 0; n < homes.size(); ++n) {
        const auto reply =
          homes[n].mLedger.HandleRequest({ DaemonId("d"), 1 },
                                         MakeRequest(++ticket),
                                         now,
                                         n == 0 ? 1 : kStandInShare);
        if (reply.mOutcome == PlacementOutcome::Granted) {
          sent.push_back(now);
        }
      }
      for (auto& it : gates) {
        if (it.IsOpen(kServer, now)) {
          it.Take(kServer, now);
          sent.push_back(now);
        }
      }
    }
    CHECK(sent.size() >= 30);
    CHECK(static_cast<double>(MostInASecond(sent)) <=
          kPerSecond * kOver + kSlack);
  }
}

// Load: ten requests a second for each of 60 servers, of which 20 restart three
// times within 10 s. A server that gets more than its bound falls over again.
TEST_CASE("servers that restart at full load don't fall over again")
{
  constexpr std::size_t kServers = 60;
  constexpr std::size_t kRestarting = 20;
  constexpr Duration kGap = 1667us;
  const Duration downAt[] = { 4s, 7500ms, 11s };
  Home home(kServers);
  struct Run
  {
    Instant mEndsAt;
    std::uint64_t mTicket;
  };
  const PlacementClientId client{ DaemonId("d"), 1 };
  Random random(7);
  std::deque<Run> runs;
  std::map<ServerId, std::vector<Instant>> sent;
  std::vector<Duration> refusedFor;
  std::size_t granted = 0;
  std::size_t refused = 0;
  std::uint64_t ticket = 0;
  const auto isDown = [&](const ServerId& aServer, Instant aNow) {
    const auto number = std::stoul(aServer.Text().substr(1));
    return number < kRestarting &&
           std::ranges::any_of(downAt, [&](Duration aDown) {
             return aNow >= At(aDown) && aNow < At(aDown + 1s);
           });
  };
  std::uint64_t starts = 1;
  for (Instant now = At(0s); now < At(16s); now += kGap) {
    for (const auto& it : downAt) {
      // The table tells of the start 200 ms after it.
      if (now >= At(it + 1200ms) && now < At(it + 1200ms) + kGap) {
        ++starts;
        auto servers = Servers(kServers);
        for (std::size_t n = 0; n < kRestarting; ++n) {
          servers[n].mStartedAtMs = starts;
          servers[n].mColdLeft = kColdTime;
        }
        home.SetServers(servers, now);
      }
    }
    while (!runs.empty() && runs.front().mEndsAt <= now) {
      home.mLedger.Report(
        client, { runs.front().mTicket, SendOutcome::Answered }, now);
      runs.pop_front();
    }
    const auto reply = home.mLedger.HandleRequest(
      client, MakeRequest(++ticket, random.Next() | 1U), now);
    if (reply.mOutcome != PlacementOutcome::Granted) {
      ++refused;
      refusedFor.push_back(reply.mTime);
      continue;
    }
    ++granted;
    if (isDown(reply.mServer, now)) {
      home.mLedger.Report(client, { ticket, SendOutcome::NoConnection }, now);
      continue;
    }
    sent[reply.mServer].push_back(now);
    home.mLedger.Report(client, { ticket, std::nullopt }, now);
    runs.push_back({ now + 80ms, ticket });
  }
  for (std::size_t n = 0; n < kRestarting; ++n) {
    // From a restart on.
    for (const auto& it : downAt) {
      std::vector<Instant> cold;
      for (const auto& at : sent[ServerId("s" + std::to_string(n))]) {
        if (at >= At(it + 1s) && at < At(it + 1s + kColdTime)) {
          cold.push_back(at);
        }
      }
      CHECK(static_cast<double>(MostInASecond(cold)) <=
            kPerSecond * kOver + kSlack);
    }
  }
  // The 40 other servers, and the cold ones at their pace, bear nearly all.
  CHECK(static_cast<double>(refused) <= 0.05 * static_cast<double>(granted));
}
