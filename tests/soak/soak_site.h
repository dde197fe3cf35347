#pragma once

#include "common/fault_proxy.h"
#include "fleet/fleet_rows.h"
#include "fleet/row_table.h"
#include "port_block.h"
#include "process.h"
#include "soak_plan.h"

#include <bilberrytrail/runtime/http_client.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberrytrail::soak {

using standins::FaultProxy;
using standins::LinkFault;

// One daemon: its process, the files of its settings and log, and the proxy
// between it and the table service.
struct SoakDaemon
{
  std::string mName;
  Endpoint mCallers;
  Endpoint mReadiness;
  std::string mSettingsFile;
  std::unique_ptr<FaultProxy> mTableLink;
  std::optional<Process> mProcess;
  // Number of its processes so far.
  int mStarts = 0;
  // Actions that hold it now.
  int mHeld = 0;
};

// A site on loopback: daemons as processes of their own, and the table service,
// two engines and two servers of a plain service on the loop of the test.
// Actions of a plan are carried out on it from outside the daemons.
class SoakSite
{
public:
  // aFolder takes settings and logs.
  SoakSite(Loop& aLoop, const std::string& aFolder, std::size_t aDaemons);

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
  void AddDaemon(const std::string& aFolder, std::size_t aNumber);
  void StartProcess(SoakDaemon& aDaemon);
  void PutServer(std::size_t aNumber, const std::string& aState);
  void DoToDaemon(const Action& aAction, SoakDaemon& aDaemon);
  void DoToTable(const Action& aAction);
  void DoToServer(const Action& aAction);
  void ChangeKey();

  Loop& mLoop;
  PortBlock mPorts;
  HttpClient mClient;
  standins::RowTable mTable;
  Endpoint mTableEndpoint;
  std::vector<std::unique_ptr<HttpServer>> mHttpServers;
  std::vector<std::unique_ptr<standins::FleetServer>> mServers;
  std::vector<Endpoint> mEndpoints;
  std::vector<std::string> mStates;
  std::vector<std::uint64_t> mWrittenWeights;
  std::vector<std::unique_ptr<SoakDaemon>> mDaemons;
  std::string mFolder;
  std::string mKey = "key-1";
  std::set<std::string> mOldKeys;
  std::uint64_t mConfigVersion = 1;
  std::uint64_t mWeights = 1;
  int mTableFaults = 0;
  std::vector<int> mEnds;
};

} // namespace bilberrytrail::soak
