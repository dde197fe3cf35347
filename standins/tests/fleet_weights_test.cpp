#include "fleet_site.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::size_t kDaemons = 2;
// Time from the announcement of new weights to the last request that may begin
// on older ones.
constexpr Duration kWithin = 4s;
constexpr Duration kRequestGap = 40ms;
// Time for which an engine with newer weights holds each request, so that the
// others answer sooner and are preferred while they may be used.
constexpr Duration kNewestQueueTime = 700ms;
// Time after the bound for which an engine with the newest weights has room.
constexpr Duration kServedTime = 800ms;
// A refusal that takes longer was held back.
constexpr Duration kMaxRefusalTime = 500ms;

// The two engines of a site, the daemons, and the weights announced for them.
// The engines refuse orders to load weights, so that they keep what they have.
class WeightsSite
{
public:
  WeightsSite();

  // Announces weights of a version; the time limit for older ones counts from
  // the first call.
  void Announce(std::uint64_t aVersion);
  // Makes an engine load weights of a version, and lists it with them.
  void Load(std::size_t aEngine, std::uint64_t aVersion);
  // Waits until a time after the announcement.
  void SleepUntil(Duration aTime);
  // Sends prompts to all daemons until a time after the announcement.
  void SendUntil(Duration aTime);
  // Returns how long after the bound the latest run on weights below a version
  // began; negative when all began before it.
  [[nodiscard]] Duration Lateness(std::uint64_t aVersion) const;
  // Returns the number of runs on a version that began after the bound.
  [[nodiscard]] std::size_t RunsAfterBound(std::uint64_t aVersion) const;

  FleetSite mSite;
  Instant mAnnouncedAt;
  int mServed = 0;
  int mRefused = 0;
  int mLateRefusals = 0;
  int mRefusalsWithoutDelay = 0;

private:
  void SendOne(std::size_t aDaemon);

  int mSent = 0;
  int mRunning = 0;
};

WeightsSite::WeightsSite()
{
  mSite.mWeightsWithin = kWithin;
  for (const auto& it : mSite.mServers) {
    it->SetRefusesOrders(true);
  }
}

void
WeightsSite::Announce(std::uint64_t aVersion)
{
  if (mAnnouncedAt == Instant()) {
    mAnnouncedAt = MonotonicNow();
  }
  mSite.mTable.Put("op",
                   "version/m",
                   R"({"model":"m","version":)" + std::to_string(aVersion) +
                     "}");
}

void
WeightsSite::Load(std::size_t aEngine, std::uint64_t aVersion)
{
  mSite.mServers[aEngine]->SetWeights(aVersion);
  mSite.mServers[aEngine]->SetQueueTime(kNewestQueueTime);
  mSite.PutServer(aEngine);
}

void
WeightsSite::SleepUntil(Duration aTime)
{
  (void)mSite.mLoop.Sleep(
    std::max<Duration>(mAnnouncedAt + aTime - MonotonicNow(), 0ms));
}

void
WeightsSite::SendUntil(Duration aTime)
{
  while (MonotonicNow() < mAnnouncedAt + aTime) {
    for (std::size_t n = 0; n < mSite.mDaemons.size(); ++n) {
      ++mRunning;
      mSite.mLoop.Spawn([this, n] { SendOne(n); });
    }
    (void)mSite.mLoop.Sleep(kRequestGap);
  }
  CHECK(mSite.Await([this] { return mRunning == 0; }));
}

void
WeightsSite::SendOne(std::size_t aDaemon)
{
  const auto number = std::to_string(++mSent);
  const auto start = MonotonicNow();
  const auto response = mSite.Send(aDaemon, "r" + number, "/stream/" + number);
  --mRunning;
  if (response && response.value().mStatus == 200) {
    ++mServed;
    return;
  }
  ++mRefused;
  mLateRefusals += MonotonicNow() - start > kMaxRefusalTime ? 1 : 0;
  const auto delay =
    response ? FindHeader(response.value().mHeaders, "Retry-After") : "";
  mRefusalsWithoutDelay +=
    std::strtod(std::string(delay).c_str(), nullptr) > 0 ? 0 : 1;
}

Duration
WeightsSite::Lateness(std::uint64_t aVersion) const
{
  auto latest = Duration::min();
  for (const auto& server : mSite.mServers) {
    for (const auto& it : server->Begun()) {
      if (it.mWeights < aVersion) {
        latest = std::max(latest, it.mAt - (mAnnouncedAt + kWithin));
      }
    }
  }
  return latest;
}

std::size_t
WeightsSite::RunsAfterBound(std::uint64_t aVersion) const
{
  std::size_t count = 0;
  for (const auto& server : mSite.mServers) {
    count += static_cast<std::size_t>(
      std::ranges::count_if(server->Begun(), [&](const FleetRun& aRun) {
        return aRun.mWeights == aVersion && aRun.mAt > mAnnouncedAt + kWithin;
      }));
  }
  return count;
}

struct BoundRow
{
  const char* mName;
  // What happens after the announcement while prompts are sent.
  void (*mDisturb)(WeightsSite&);
  // An engine has the newest weights after the bound, so that prompts are
  // served.
  bool mIsServed;
  // What happens before the announcement; may be null.
  void (*mPrepare)(WeightsSite&) = nullptr;
};

} // namespace

// Guards against requests that begin on older weights after the bound: sent
// after it, or sent before and held by the server.
TEST_CASE("no request begins on older weights after the bound")
{
  const BoundRow rows[] = {
    { "no engine loads", [](WeightsSite&) {}, false },
    { "an engine holds requests",
      [](WeightsSite& aSite) {
        aSite.Load(1, 2);
        aSite.SleepUntil(kWithin - 3s);
        aSite.mSite.mServers[0]->SetQueueTime(3s);
      },
      true },
    { "all engines hold requests, then one loads",
      [](WeightsSite& aSite) {
        aSite.SleepUntil(kWithin - 3s);
        aSite.mSite.mServers[0]->SetQueueTime(3s);
        aSite.mSite.mServers[1]->SetQueueTime(3s);
        aSite.SleepUntil(kWithin);
        aSite.Load(1, 2);
      },
      true },
    { "the table service fails for a while",
      [](WeightsSite& aSite) {
        aSite.Load(1, 2);
        aSite.SleepUntil(300ms);
        aSite.mSite.mTable.SetFault(RowTableFault::Busy);
        aSite.SleepUntil(kWithin - 600ms);
        aSite.mSite.mTable.SetFault(RowTableFault::None);
      },
      true },
    { "the announcement is read late",
      [](WeightsSite& aSite) {
        aSite.Load(1, 2);
        aSite.SleepUntil(1500ms);
        aSite.mSite.mTable.SetFault(RowTableFault::None);
      },
      true,
      [](WeightsSite& aSite) {
        aSite.mSite.mTable.SetFault(RowTableFault::Busy);
        // Waits for changes that began before the fault end with an answer.
        (void)aSite.mSite.mLoop.Sleep(3s);
      } },
    { "an engine breaks streams off",
      [](WeightsSite& aSite) {
        aSite.mSite.mServers[0]->SetCutAfter(2);
        aSite.Load(1, 2);
        aSite.mSite.mServers[1]->SetCutAfter(4);
      },
      true },
    { "the newest engine starts again with older weights",
      [](WeightsSite& aSite) {
        aSite.Load(1, 2);
        aSite.SleepUntil(kWithin - 2s);
        aSite.mSite.mServers[1]->SetWeights(1);
      },
      false },
    { "an engine with older weights is listed late",
      [](WeightsSite& aSite) {
        aSite.mSite.mTable.Remove("servers", aSite.mSite.mServers[0]->Id());
        aSite.Load(1, 2);
        aSite.SleepUntil(kWithin);
        aSite.mSite.PutServer(0);
      },
      true },
    { "weights are announced again",
      [](WeightsSite& aSite) {
        aSite.Load(1, 2);
        aSite.SleepUntil(kWithin - 500ms);
        aSite.Announce(3);
      },
      true },
    { "a daemon starts",
      [](WeightsSite& aSite) {
        aSite.Load(1, 2);
        aSite.SleepUntil(kWithin - 2s);
        aSite.mSite.StartDaemon();
      },
      true }
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    WeightsSite site;
    site.mSite.Run(kDaemons, [&] {
      if (row.mPrepare != nullptr) {
        row.mPrepare(site);
      }
      site.Announce(2);
      bool hasEnded = false;
      site.mSite.mLoop.Spawn([&] {
        row.mDisturb(site);
        // The newest engine has no room at the end, so that older weights would
        // be used if they may be.
        site.SleepUntil(kWithin + kServedTime);
        site.mSite.mServers[1]->SetFull(true);
        hasEnded = true;
      });
      site.SendUntil(kWithin + 2 * kServedTime);
      CHECK(site.mSite.Await([&] { return hasEnded; }));
      CAPTURE(site.mServed);
      CAPTURE(site.mRefused);
      CHECK(ToMillis(site.Lateness(2)) <= 0);
      CHECK(site.mServed > 0);
      CHECK((site.RunsAfterBound(2) > 0) == row.mIsServed);
    });
  }
}

// Guards against callers that wait for weights that no server has: they are
// refused at once, and told when to return.
TEST_CASE("prompts are refused at once while no server has the newest weights")
{
  WeightsSite site;
  site.mSite.Run(kDaemons, [&] {
    site.Announce(2);
    site.SleepUntil(kWithin);
    site.SendUntil(kWithin + 1s);
    CHECK(site.mServed == 0);
    CHECK(site.mRefused > 0);
    CHECK(site.mLateRefusals == 0);
    CHECK(site.mRefusalsWithoutDelay == 0);
    site.Load(0, 2);
    CHECK(site.mSite.Await(
      [&] { return site.mSite.Status(0, "late", "/stream/late") == 200; }));
  });
}
