#include "soak_site.h"

#include <bilberrytrail/platform/json_fields.h>

#include <doctest/doctest.h>

#include <csignal>
#include <fstream>

namespace bilberrytrail::soak {

namespace {

using standins::FleetServer;
using standins::RowTableFault;

constexpr int kServers = 4;
constexpr int kEngines = 2;
constexpr Duration kRowPeriod = 50ms;
// Longest time between SIGTERM and the end, as the settings below say.
constexpr Duration kStopTime = 5s;
// Deadline of the requests, and the time after which a call is given up.
constexpr Duration kPatience = 3s;
constexpr Duration kCallTime = 6s;

std::string
ServiceOf(std::size_t aNumber)
{
  return aNumber < kEngines ? "llm" : "shop";
}

LinkFault
LinkFaultOf(ActionKind aKind)
{
  switch (aKind) {
    case ActionKind::LinkDelayed:
      return LinkFault::Delayed;
    case ActionKind::LinkReset:
      return LinkFault::Reset;
    case ActionKind::LinkSilent:
      return LinkFault::Silent;
    case ActionKind::LinkOneWay:
      return LinkFault::OneWay;
    default:
      return LinkFault::None;
  }
}

} // namespace

SoakSite::SoakSite(Loop& aLoop,
                   const std::string& aFolder,
                   std::size_t aDaemons)
  : mLoop(aLoop)
  , mClient(aLoop)
  , mTable(aLoop)
  , mFolder(aFolder)
{
  mTableEndpoint = Listen(mTable);
  for (int n = 0; n < kServers; ++n) {
    AddServer(n);
  }
  mTable.Put(
    "op", "config", standins::SmallSiteConfig(mConfigVersion, { mKey }));
  for (std::size_t n = 0; n < aDaemons; ++n) {
    AddDaemon(aFolder, n);
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
SoakSite::AddDaemon(const std::string& aFolder, std::size_t aNumber)
{
  auto daemon = std::make_unique<SoakDaemon>();
  daemon->mName = "d" + std::to_string(aNumber);
  daemon->mSettingsFile = aFolder + "/" + daemon->mName + ".ini";
  const auto next = [&] { return Endpoint{ "127.0.0.1", mPorts.Next() }; };
  daemon->mCallers = next();
  daemon->mReadiness = next();
  const auto link = next();
  daemon->mTableLink = std::make_unique<FaultProxy>(link, mTableEndpoint);
  std::ofstream(daemon->mSettingsFile)
    << "[daemon]\nname = " << daemon->mName << "\nzone = z\n"
    << "[listen]\ncallers = " << ToText(daemon->mCallers)
    << "\nreadiness = " << ToText(daemon->mReadiness)
    << "\npeers = " << ToText(next()) << "\nmetrics = " << ToText(next())
    << "\n[store]\naddress = " << ToText(link)
    << "\n[stop]\ntime = 5s\n[retries]\nslack = 100\n";
  StartProcess(*daemon);
  mDaemons.push_back(std::move(daemon));
}

void
SoakSite::StartProcess(SoakDaemon& aDaemon)
{
  const auto log = mFolder + "/" + aDaemon.mName + "-" +
                   std::to_string(++aDaemon.mStarts) + ".log";
  aDaemon.mProcess.reset();
  aDaemon.mProcess.emplace(
    BuiltProgram("packages/daemon/bilberryd"),
    std::vector<std::string>{ "--entry", "--settings", aDaemon.mSettingsFile },
    log);
}

void
SoakSite::PutServer(std::size_t aNumber, const std::string& aState)
{
  mStates[aNumber] = aState;
  mWrittenWeights[aNumber] = mServers[aNumber]->Weights();
  mTable.Put(
    "servers",
    mServers[aNumber]->Id(),
    ServerRow(
      *mServers[aNumber], mEndpoints[aNumber], ServiceOf(aNumber), aState));
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

void
SoakSite::ChangeKey()
{
  mOldKeys.insert(mKey);
  ++mConfigVersion;
  mKey = "key-" + std::to_string(mConfigVersion);
  mTable.Put(
    "op", "config", standins::SmallSiteConfig(mConfigVersion, { mKey }));
}

// Kills, stops and pauses of one daemon do not overlap: a paused process that
// is to be stopped is a matter of the platform, which kills it.
void
SoakSite::DoToDaemon(const Action& aAction, SoakDaemon& aDaemon)
{
  if (aDaemon.mHeld > 0) {
    return;
  }
  ++aDaemon.mHeld;
  auto& process = *aDaemon.mProcess;
  switch (aAction.mKind) {
    case ActionKind::Kill:
      process.Signal(SIGKILL);
      (void)mLoop.Sleep(aAction.mLength);
      StartProcess(aDaemon);
      break;
    case ActionKind::Pause:
      process.Signal(SIGSTOP);
      (void)mLoop.Sleep(aAction.mLength);
      process.Signal(SIGCONT);
      break;
    case ActionKind::Reload:
      process.Signal(SIGHUP);
      break;
    default: {
      process.Signal(SIGTERM);
      const auto end = MonotonicNow() + kStopTime;
      while (!process.Poll() && MonotonicNow() < end) {
        (void)mLoop.Sleep(20ms);
      }
      mEnds.push_back(process.Poll().value_or(-1));
      StartProcess(aDaemon);
      break;
    }
  }
  --aDaemon.mHeld;
}

void
SoakSite::DoToTable(const Action& aAction)
{
  if (aAction.mKind == ActionKind::TableForgets) {
    mTable.DropHistory();
    return;
  }
  mTable.SetFault(aAction.mKind == ActionKind::TableBusy ? RowTableFault::Busy
                  : aAction.mKind == ActionKind::TableSilent
                    ? RowTableFault::Silent
                    : RowTableFault::LostAnswer);
  ++mTableFaults;
  (void)mLoop.Sleep(aAction.mLength);
  if (--mTableFaults == 0) {
    mTable.SetFault(RowTableFault::None);
  }
}

void
SoakSite::DoToServer(const Action& aAction)
{
  const auto number = aAction.mTarget % mServers.size();
  auto& server = *mServers[number];
  switch (aAction.mKind) {
    case ActionKind::ServerFull:
      server.SetFull(true);
      (void)mLoop.Sleep(aAction.mLength);
      server.SetFull(false);
      break;
    case ActionKind::ServerCutsStreams:
      server.SetCutAfter(2);
      (void)mLoop.Sleep(aAction.mLength);
      server.SetCutAfter(0);
      break;
    default:
      PutServer(number, "draining");
      (void)mLoop.Sleep(aAction.mLength);
      PutServer(number, "ready");
      break;
  }
}

void
SoakSite::Do(const Action& aAction)
{
  auto& daemon = *mDaemons[aAction.mTarget % mDaemons.size()];
  switch (aAction.mKind) {
    case ActionKind::Kill:
    case ActionKind::Terminate:
    case ActionKind::Pause:
    case ActionKind::Reload:
      DoToDaemon(aAction, daemon);
      break;
    case ActionKind::LinkDelayed:
    case ActionKind::LinkReset:
    case ActionKind::LinkSilent:
    case ActionKind::LinkOneWay:
      daemon.mTableLink->SetFault(LinkFaultOf(aAction.mKind));
      (void)mLoop.Sleep(aAction.mLength);
      daemon.mTableLink->SetFault(LinkFault::None);
      break;
    case ActionKind::TableBusy:
    case ActionKind::TableSilent:
    case ActionKind::TableLosesAnswers:
    case ActionKind::TableForgets:
      DoToTable(aAction);
      break;
    case ActionKind::ServerFull:
    case ActionKind::ServerCutsStreams:
    case ActionKind::ServerLeaves:
      DoToServer(aAction);
      break;
    case ActionKind::KeyChange:
      ChangeKey();
      break;
    case ActionKind::NewWeights:
      ++mWeights;
      mTable.Put("op",
                 "version/m",
                 Json{ { "model", "m" }, { "version", mWeights } }.dump());
      break;
  }
}

void
SoakSite::Stop()
{
  for (auto& it : mDaemons) {
    it->mProcess.reset();
  }
}

} // namespace bilberrytrail::soak
