#include "soak_site.h"

#include <bilberrytrail/platform/json_fields.h>

#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>

namespace bilberrytrail::soak {

namespace {

using standins::FleetServer;

constexpr Duration kRowPeriod = 50ms;
// Deadline of the requests, and the time after which a call is given up.
constexpr Duration kPatience = 3s;
constexpr Duration kCallTime = 6s;

} // namespace

SoakSite::SoakSite(Loop& aLoop, const std::string& aFolder, SoakShape aShape)
  : mLoop(aLoop)
  , mClient(aLoop)
  , mTable(aLoop)
  , mFolder(aFolder)
  , mShape(std::move(aShape))
{
  for (std::size_t n = 0; n < mShape.mServices.size(); ++n) {
    AddServer(static_cast<int>(n));
  }
  PutConfig(standins::SmallSiteConfig(mConfigVersion, { mKey }));
  mTable.SetRewrite([this](const std::string& aKey, std::string aValue) {
    return RewriteRow(aKey, std::move(aValue));
  });
  for (std::size_t n = 0; n < mShape.mDaemons; ++n) {
    AddDaemon(n);
  }
}

Endpoint
SoakSite::Listen(HttpHandler& aHandler)
{
  mHttpServers.push_back(std::make_unique<HttpServer>(mLoop, HttpLimits()));
  const auto port = mHttpServers.back()->Listen({ "127.0.0.1", mPorts.Next() });
  REQUIRE(port.has_value());
  mHttpServers.back()->Serve(aHandler);
  return { "127.0.0.1", port.value() };
}

void
SoakSite::AddServer(int aNumber)
{
  mServers.push_back(
    std::make_unique<FleetServer>(mLoop, "i-" + std::to_string(aNumber)));
  mEndpoints.push_back(Listen(*mServers.back()));
  mStates.emplace_back("ready");
  mWrittenWeights.push_back(0);
}

void
SoakSite::AddDaemon(std::size_t aNumber)
{
  auto daemon = std::make_unique<SoakDaemon>();
  daemon->mName = "d" + std::to_string(aNumber);
  daemon->mZone = "z" + std::to_string(aNumber % mShape.mZones);
  daemon->mSettingsFile = mFolder + "/" + daemon->mName + ".ini";
  daemon->mDoor = std::make_unique<standins::TableDoor>(mLoop, mTable);
  const auto next = [&] { return Endpoint{ "127.0.0.1", mPorts.Next() }; };
  daemon->mCallers = next();
  daemon->mReadiness = next();
  const auto peers = next();
  if (mShape.mHasPeerLinks) {
    AddPeerLink(*daemon, peers);
  }
  const auto link = next();
  daemon->mTableLink =
    std::make_unique<FaultProxy>(link, Listen(*daemon->mDoor));
  std::ofstream(daemon->mSettingsFile)
    << "[daemon]\nname = " << daemon->mName << "\nzone = " << daemon->mZone
    << "\n"
    << "[listen]\ncallers = " << ToText(daemon->mCallers)
    << "\nreadiness = " << ToText(daemon->mReadiness)
    << "\npeers = " << ToText(peers) << "\nmetrics = " << ToText(next())
    << "\n[store]\naddress = " << ToText(link)
    << "\n[stop]\ntime = 5s\n[retries]\nslack = 100\n";
  StartProcess(*daemon);
  mDaemons.push_back(std::move(daemon));
}

// A daemon's row begins with its own address; others read that of the way to
// it.
std::string
SoakSite::RewriteRow(const std::string& aKey, std::string aValue) const
{
  const auto length = aValue.find(' ');
  const auto it = mPeerAddresses.find(aValue.substr(0, length));
  if (aKey.starts_with("daemon/") && it != mPeerAddresses.end()) {
    aValue.replace(0, length, it->second);
  }
  return aValue;
}

void
SoakSite::AddPeerLink(SoakDaemon& aDaemon, const Endpoint& aPeers)
{
  const Endpoint way{ "127.0.0.1", mPorts.Next() };
  mPeerAddresses[ToText(aPeers)] = ToText(way);
  aDaemon.mPeerLink = std::make_unique<FaultProxy>(way, aPeers);
  aDaemon.mPeerDatagrams =
    std::make_unique<standins::DatagramRelay>(mLoop, aPeers);
  REQUIRE(aDaemon.mPeerDatagrams->Start(way).has_value());
}

void
SoakSite::StartProcess(SoakDaemon& aDaemon)
{
  const auto log = mFolder + "/" + aDaemon.mName + "-" +
                   std::to_string(++aDaemon.mStarts) + ".log";
  aDaemon.mProcess.reset();
  const char* program = std::getenv("BILBERRYTRAIL_SOAK_DAEMON");
  aDaemon.mProcess.emplace(
    program == nullptr ? BuiltProgram("packages/daemon/bilberryd") : program,
    std::vector<std::string>{ "--entry", "--settings", aDaemon.mSettingsFile },
    log);
}

void
SoakSite::PutServer(std::size_t aNumber, const std::string& aState)
{
  mStates[aNumber] = aState;
  mWrittenWeights[aNumber] = mServers[aNumber]->Weights();
  mTable.Put("servers",
             mServers[aNumber]->Id(),
             ServerRow(*mServers[aNumber],
                       mEndpoints[aNumber],
                       mShape.mServices[aNumber],
                       aState));
}

void
SoakSite::WriteRows()
{
  do {
    for (std::size_t n = 0; n < mServers.size(); ++n) {
      if (mWrittenWeights[n] != mServers[n]->Weights()) {
        PutServer(n, mStates[n]);
      }
    }
  } while (mLoop.Sleep(kRowPeriod));
}

std::optional<HttpResponse>
SoakSite::Send(std::size_t aDaemon,
               const std::string& aId,
               const std::string& aTarget,
               const std::string& aKey)
{
  const auto request =
    standins::SmallSiteRequest(aId, aTarget, aKey, kPatience);
  auto response = mClient.Call(mDaemons[aDaemon]->mCallers, request, kCallTime);
  return response ? std::optional(std::move(response).value()) : std::nullopt;
}

bool
SoakSite::IsReady(std::size_t aDaemon)
{
  HttpRequest request;
  request.mTarget = "/ready";
  const auto response =
    mClient.Call(mDaemons[aDaemon]->mReadiness, request, 1s);
  return response && response.value().mStatus == 200;
}

int
SoakSite::Runs(const std::string& aId) const
{
  int runs = 0;
  for (const auto& server : mServers) {
    const auto it = server->Runs().find(aId);
    runs += it == server->Runs().end() ? 0 : it->second;
  }
  return runs;
}

std::optional<std::string>
SoakSite::RanBy(const std::string& aId) const
{
  for (std::size_t n = 0; n < mServers.size(); ++n) {
    if (mServers[n]->Runs().contains(aId)) {
      return mShape.mServices[n];
    }
  }
  return std::nullopt;
}

void
SoakSite::ChangeKey()
{
  mOldKeys.insert(mKey);
  ++mConfigVersion;
  mKey = "key-" + std::to_string(mConfigVersion);
  PutConfig(standins::SmallSiteConfig(mConfigVersion, { mKey }));
}

void
SoakSite::PutConfig(std::string aConfig)
{
  mConfig = std::move(aConfig);
  mTable.Put("op", "config", mConfig);
}

void
SoakSite::Stop()
{
  for (auto& it : mDaemons) {
    it->mProcess.reset();
  }
}

} // namespace bilberrytrail::soak
