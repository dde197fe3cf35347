#include "simulated_fleet.h"

#include <bilberrytrail/base/log.h>

#include <doctest/doctest.h>

#include <algorithm>

namespace bilberrytrail::relays {

namespace {

constexpr std::size_t kStores = 49;
constexpr std::size_t kServers = 40;
constexpr double kWideShare = 0.5;
constexpr double kNarrowShare = 0.12;
constexpr double kWideMbps = 200;
constexpr double kNarrowMbps = 20;
constexpr Duration kWatchPeriod = 20ms;
// Time in which the daemons start and find each other.
constexpr Duration kStartTime = 14s;
constexpr Duration kStartGap = 5ms;

} // namespace

SimulatedFleet::SimulatedFleet(std::size_t aWide, std::size_t aNarrow)
  : mSite(mLoop, kStores)
  , mNetwork(mLoop)
{
  // Thousands of lines otherwise.
  REQUIRE(OpenLog({ LogLevel::Error, {} }).has_value());
  for (std::size_t n = 0; n < aWide + aNarrow; ++n) {
    const bool isWide = n < aWide;
    const Endpoint endpoint{ "10.0.0.1", static_cast<std::uint16_t>(n + 1) };
    const PeerAddress self{ DaemonId((isWide ? "wide" : "narrow") +
                                     std::to_string(n)),
                            endpoint,
                            ZoneId("a"),
                            isWide ? kWideMbps : kNarrowMbps,
                            endpoint };
    mSite.PutDaemon("daemon/" + self.mName.Text(), ToRowText(self));
    mNodes.push_back(std::make_unique<SimulatedNode>(
      mLoop, mSite, mNetwork, self, isWide ? kWideShare : kNarrowShare));
  }
  for (std::size_t n = 0; n < kServers; ++n) {
    mSite.PutServer("s" + std::to_string(n));
  }
}

void
SimulatedFleet::Run(const std::function<void()>& aBody)
{
  mLoop.Spawn([&] {
    PutConfig();
    for (auto& it : mNodes) {
      it->Start();
      (void)mLoop.Sleep(kStartGap);
    }
    RunFor(kStartTime);
    for (auto& it : mNodes) {
      CHECK(it->IsReady());
    }
    Forget();
    aBody();
    mLoop.Stop();
  });
  mLoop.Run();
}

void
SimulatedFleet::PutConfig()
{
  mSite.PutConfig(++mConfig, mConfigBytes);
  mPutAt[mConfig] = MonotonicNow();
}

void
SimulatedFleet::RunFor(Duration aTime)
{
  const auto end = MonotonicNow() + aTime;
  while (MonotonicNow() < end && mLoop.Sleep(kWatchPeriod)) {
    Watch();
  }
}

void
SimulatedFleet::Watch()
{
  const auto now = MonotonicNow();
  for (std::size_t n = 0; n < mNodes.size(); ++n) {
    const auto config = mNodes[n]->Config();
    for (const auto& [version, at] : mPutAt) {
      if (version <= config) {
        mInForceAt[version].try_emplace(n, now);
      }
    }
    if (mNodes[n]->FollowsStores()) {
      mStoreFollowers.insert(mNodes[n]->Self().mName.Text());
    }
  }
}

void
SimulatedFleet::Forget()
{
  mPutAt.clear();
  mInForceAt.clear();
  mStoreFollowers.clear();
  mNetwork.mFailed.clear();
  mNetwork.mReceived.clear();
}

std::size_t
SimulatedFleet::MostQueried() const
{
  const auto it = std::ranges::max_element(
    mNetwork.mReceived, {}, [](const auto& aEntry) { return aEntry.second; });
  return it == mNetwork.mReceived.end() ? 0 : it->first - 1U;
}

bool
SimulatedFleet::IsLeftOut(const Endpoint& aDaemon) const
{
  return mLeftOut.contains(aDaemon.mPort - 1U);
}

std::vector<Duration>
SimulatedFleet::Delays() const
{
  std::vector<Duration> delays;
  for (const auto& [version, putAt] : mPutAt) {
    const auto it = mInForceAt.find(version);
    const auto firstOf = [&] {
      Instant first = MonotonicNow();
      if (it != mInForceAt.end()) {
        for (const auto& [n, at] : it->second) {
          first = std::min(first, at);
        }
      }
      return first;
    };
    const auto first = firstOf();
    for (std::size_t n = 0; n < mNodes.size(); ++n) {
      if (mLeftOut.contains(n)) {
        continue;
      }
      const bool isInForce = it != mInForceAt.end() && it->second.contains(n);
      delays.push_back((isInForce ? it->second.at(n) : MonotonicNow()) - first);
    }
  }
  std::ranges::sort(delays);
  return delays;
}

std::map<std::string, std::size_t>
SimulatedFleet::FailedCalls() const
{
  std::map<std::string, std::size_t> failed;
  for (const auto& it : mNetwork.mFailed) {
    if (!IsLeftOut(it.mFrom) && !IsLeftOut(it.mTo)) {
      ++failed[mNodes[it.mTo.mPort - 1U]->Self().mName.Text() + it.mPath +
               ": " + it.mReason];
    }
  }
  return failed;
}

std::set<std::string>
SimulatedFleet::StoreFollowers() const
{
  return mStoreFollowers;
}

} // namespace bilberrytrail::relays
