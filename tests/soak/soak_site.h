#pragma once

#include "common/datagram_relay.h"
#include "common/fault_proxy.h"
#include "fleet/fleet_rows.h"
#include "fleet/row_table.h"
#include "fleet/table_door.h"
#include "port_block.h"
#include "process.h"
#include "soak_plan.h"

#include <bilberrytrail/runtime/http_client.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberrytrail::soak {

using standins::FaultProxy;
using standins::LinkFault;

// One daemon: its process, the files of its settings and log, and its way to
// the table service: a proxy, and a door behind it.
struct SoakDaemon
{
  std::string mName;
  std::string mZone;
  Endpoint mCallers;
  Endpoint mReadiness;
  std::string mSettingsFile;
  std::unique_ptr<standins::TableDoor> mDoor;
  std::unique_ptr<FaultProxy> mTableLink;
  // The way of other daemons to this one, if the site has such ways.
  std::unique_ptr<FaultProxy> mPeerLink;
  std::unique_ptr<standins::DatagramRelay> mPeerDatagrams;
  std::optional<Process> mProcess;
  // Number of its processes so far.
  int mStarts = 0;
  // Actions that hold it now.
  int mHeld = 0;
};

// Size and parts of a site.
struct SoakShape
{
  std::size_t mDaemons = 0;
  // The daemons stand in these availability zones by turns.
  std::size_t mZones = 1;
  // Whether daemons reach each other by ways that can be cut.
  bool mHasPeerLinks = false;
  // The service of each server; engines have a name that begins with "llm".
  std::vector<std::string> mServices{ "llm", "llm", "shop", "shop" };
};

// A site on loopback: daemons as processes of their own, and the table service,
// two engines and two servers of a plain service on the loop of the test.
// Actions of a plan are carried out on it from outside the daemons.
class SoakSite
{
public:
  // aFolder takes settings and logs.
  SoakSite(Loop& aLoop, const std::string& aFolder, SoakShape aShape);

  [[nodiscard]] std::size_t DaemonCount() const noexcept
  {
    return mDaemons.size();
  }
  // Returns what a daemon answers to a request; nothing without an answer.
  [[nodiscard]] std::optional<HttpResponse> Send(std::size_t aDaemon,
                                                 const std::string& aId,
                                                 const std::string& aTarget,
                                                 const std::string& aKey);
  [[nodiscard]] bool IsReady(std::size_t aDaemon);
  // The key in force, and those that were taken away.
  [[nodiscard]] const std::string& Key() const noexcept { return mKey; }
  [[nodiscard]] const std::set<std::string>& OldKeys() const noexcept
  {
    return mOldKeys;
  }
  [[nodiscard]] std::uint64_t Weights() const noexcept { return mWeights; }
  // Writes a configuration, as the operator does.
  void PutConfig(std::string aConfig);
  // Returns whether the table service is being restored from a copy, so that
  // the operator waits.
  [[nodiscard]] bool IsRestoring() const noexcept { return mIsRestoring; }
  // Number of processes that a daemon has had so far.
  [[nodiscard]] int Starts(std::size_t aDaemon) const
  {
    return mDaemons[aDaemon]->mStarts;
  }
  // Returns the service that ran a request; nothing if none did.
  [[nodiscard]] std::optional<std::string> RanBy(const std::string& aId) const;
  // Runs of a request on all servers together.
  [[nodiscard]] int Runs(const std::string& aId) const;
  [[nodiscard]] const std::vector<std::unique_ptr<standins::FleetServer>>&
  Servers() const noexcept
  {
    return mServers;
  }
  // Exit statuses of processes that ended after SIGTERM; others are faults.
  [[nodiscard]] const std::vector<int>& Ends() const noexcept { return mEnds; }

  // Carries out one action; waits until it is undone.
  void Do(const Action& aAction);
  // Writes the rows of the servers as they change, until the loop stops.
  void WriteRows();
  // Ends all processes.
  void Stop();

private:
  Endpoint Listen(HttpHandler& aHandler);
  void AddServer(int aNumber);
  void AddDaemon(std::size_t aNumber);
  void StartProcess(SoakDaemon& aDaemon);
  void PutServer(std::size_t aNumber, const std::string& aState);
  void DoToDaemon(const Action& aAction, SoakDaemon& aDaemon);
  void DoToTable(const Action& aAction);
  void DoToLink(const Action& aAction, SoakDaemon& aDaemon);
  void DoToPeers(const Action& aAction, SoakDaemon& aDaemon);
  [[nodiscard]] std::string RewriteRow(const std::string& aKey,
                                       std::string aValue) const;
  void AddPeerLink(SoakDaemon& aDaemon, const Endpoint& aPeers);
  void DoToDoor(const Action& aAction, SoakDaemon& aDaemon);
  // Gives a daemon a part of the time only.
  void Starve(const Process& aProcess, Duration aLength);
  void KillAll(Duration aLength);
  void RestoreTable(Duration aLength);
  void DoToServer(const Action& aAction);
  void ChangeKey();

  Loop& mLoop;
  PortBlock mPorts;
  HttpClient mClient;
  standins::RowTable mTable;
  std::vector<std::unique_ptr<HttpServer>> mHttpServers;
  std::vector<std::unique_ptr<standins::FleetServer>> mServers;
  std::vector<Endpoint> mEndpoints;
  std::vector<std::string> mStates;
  std::vector<std::uint64_t> mWrittenWeights;
  std::vector<std::unique_ptr<SoakDaemon>> mDaemons;
  std::string mFolder;
  SoakShape mShape;
  // Where other daemons reach one, by its own address.
  std::map<std::string, std::string> mPeerAddresses;
  std::string mConfig;
  bool mIsRestoring = false;
  std::string mKey = "key-1";
  std::set<std::string> mOldKeys;
  std::uint64_t mConfigVersion = 1;
  std::uint64_t mWeights = 1;
  int mTableFaults = 0;
  std::vector<int> mEnds;
};

} // namespace bilberrytrail::soak
