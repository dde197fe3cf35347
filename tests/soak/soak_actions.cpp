#include "soak_site.h"

#include <bilberrytrail/platform/json_fields.h>

#include <csignal>

// What is done to a site from outside the daemons.

namespace bilberrytrail::soak {

namespace {

using standins::RowTableFault;

// Longest time between SIGTERM and the end, as their settings say.
constexpr Duration kStopTime = 5s;
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

} // namespace bilberrytrail::soak
