#include "soak_site.h"

#include <bilberrytrail/platform/json_fields.h>

#include <doctest/doctest.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

namespace bilberrytrail::soak {

namespace {

using standins::FleetServer;
using standins::RowTableFault;

constexpr Duration kRowPeriod = 50ms;
// Longest time between SIGTERM and the end, as the settings below say.
constexpr Duration kStopTime = 5s;
// Deadline of the requests, and the time after which a call is given up.
constexpr Duration kPatience = 3s;
constexpr Duration kCallTime = 6s;

// A starved process runs for the first time, and then stands for the second.
constexpr Duration kRunTime = 15ms;
constexpr Duration kStandTime = 45ms;
// Time for which a table service that is restored is away, and until then the
// operator and the servers have written again.
constexpr Duration kAwayTime = 400ms;
constexpr Duration kWriteAgainTime = 700ms;
// Answers of a slow door are late by a share of the action's length, so that
// some of them come after it.
constexpr int kSlowShare = 3;

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
    case ActionKind::Starve:
      Starve(process, aAction.mLength);
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
SoakSite::Starve(const Process& aProcess, Duration aLength)
{
  const auto end = MonotonicNow() + aLength;
  while (MonotonicNow() < end && mLoop.Sleep(kRunTime)) {
    aProcess.Signal(SIGSTOP);
    (void)mLoop.Sleep(kStandTime);
    aProcess.Signal(SIGCONT);
  }
}

// Daemons that another action holds are left to it.
void
SoakSite::KillAll(Duration aLength)
{
  std::vector<SoakDaemon*> killed;
  for (auto& it : mDaemons) {
    if (it->mHeld == 0) {
      ++it->mHeld;
      it->mProcess->Signal(SIGKILL);
      killed.push_back(it.get());
    }
  }
  (void)mLoop.Sleep(aLength);
  for (auto* it : killed) {
    StartProcess(*it);
    --it->mHeld;
  }
}

void
SoakSite::RestoreTable(Duration aLength)
{
  if (mIsRestoring) {
    return;
  }
  mTable.TakeCopy();
  (void)mLoop.Sleep(aLength);
  mIsRestoring = true;
  mTable.SetFault(RowTableFault::Busy);
  ++mTableFaults;
  (void)mLoop.Sleep(kAwayTime);
  mTable.Restore();
  if (--mTableFaults == 0) {
    mTable.SetFault(RowTableFault::None);
  }
  (void)mLoop.Sleep(kWriteAgainTime);
  PutConfig(mConfig);
  mTable.Put("op",
             "version/m",
             Json{ { "model", "m" }, { "version", mWeights } }.dump());
  for (std::size_t n = 0; n < mServers.size(); ++n) {
    PutServer(n, mStates[n]);
  }
  mIsRestoring = false;
}

void
SoakSite::DoToLink(const Action& aAction, SoakDaemon& aDaemon)
{
  if (aAction.mKind == ActionKind::LinkSilentOnce) {
    aDaemon.mTableLink->SilenceOpen();
    return;
  }
  aDaemon.mTableLink->SetFault(LinkFaultOf(aAction.mKind));
  (void)mLoop.Sleep(aAction.mLength);
  aDaemon.mTableLink->SetFault(LinkFault::None);
}

void
SoakSite::DoToPeers(const Action& aAction, SoakDaemon& aDaemon)
{
  if (aDaemon.mPeerLink == nullptr) {
    return;
  }
  if (aAction.mKind == ActionKind::PeersSilentOnce) {
    aDaemon.mPeerLink->SilenceOpen();
    return;
  }
  const bool isCut = aAction.mKind == ActionKind::PeersCut;
  aDaemon.mPeerLink->SetFault(isCut ? LinkFault::Silent : LinkFault::Delayed);
  aDaemon.mPeerDatagrams->SetCut(isCut);
  (void)mLoop.Sleep(aAction.mLength);
  aDaemon.mPeerLink->SetFault(LinkFault::None);
  aDaemon.mPeerDatagrams->SetCut(false);
}

void
SoakSite::DoToDoor(const Action& aAction, SoakDaemon& aDaemon)
{
  using standins::DoorFault;
  const auto fault = aAction.mKind == ActionKind::DoorBusy   ? DoorFault::Busy
                     : aAction.mKind == ActionKind::DoorMany ? DoorFault::Many
                     : aAction.mKind == ActionKind::DoorSlow ? DoorFault::Slow
                     : aAction.mKind == ActionKind::DoorCutsAnswers
                       ? DoorFault::CutsAnswers
                       : DoorFault::LosesAnswers;
  aDaemon.mDoor->SetFault(fault, aAction.mLength / kSlowShare);
  (void)mLoop.Sleep(aAction.mLength);
  aDaemon.mDoor->SetFault(DoorFault::None);
}

void
SoakSite::DoToTable(const Action& aAction)
{
  if (aAction.mKind == ActionKind::TableForgets) {
    mTable.DropHistory();
    return;
  }
  if (aAction.mKind == ActionKind::TableRestored) {
    RestoreTable(aAction.mLength);
    return;
  }
  mTable.SetFault(aAction.mKind == ActionKind::TableBusy   ? RowTableFault::Busy
                  : aAction.mKind == ActionKind::TableMany ? RowTableFault::Many
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
    case ActionKind::Starve:
      DoToDaemon(aAction, daemon);
      break;
    case ActionKind::KillAll:
      KillAll(aAction.mLength);
      break;
    case ActionKind::LinkDelayed:
    case ActionKind::LinkReset:
    case ActionKind::LinkSilent:
    case ActionKind::LinkOneWay:
    case ActionKind::LinkSilentOnce:
      DoToLink(aAction, daemon);
      break;
    case ActionKind::LinksSilentOnce:
      for (auto& it : mDaemons) {
        it->mTableLink->SilenceOpen();
      }
      break;
    case ActionKind::DoorBusy:
    case ActionKind::DoorMany:
    case ActionKind::DoorSlow:
    case ActionKind::DoorCutsAnswers:
    case ActionKind::DoorLosesAnswers:
      DoToDoor(aAction, daemon);
      break;
    case ActionKind::PeersCut:
    case ActionKind::PeersDelayed:
    case ActionKind::PeersSilentOnce:
      DoToPeers(aAction, daemon);
      break;
    case ActionKind::TableBusy:
    case ActionKind::TableSilent:
    case ActionKind::TableLosesAnswers:
    case ActionKind::TableForgets:
    case ActionKind::TableMany:
    case ActionKind::TableRestored:
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
    case ActionKind::InvalidConfig:
      mTable.Put("op", "config", R"({"version": "none"})");
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
