#pragma once

#include "simulated_node.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bilberrytrail::relays {

// A zone of daemons, of which some have fast links and more processor time, on
// one loop in virtual time.
class SimulatedFleet
{
public:
  explicit SimulatedFleet(std::size_t aWide, std::size_t aNarrow);

  // Runs the body on a fiber beside the daemons, once they have started.
  void Run(const std::function<void()>& aBody);
  // Puts the next configuration.
  void PutConfig();
  // Runs for a time, and watches each daemon meanwhile.
  void RunFor(Duration aTime);

  [[nodiscard]] SimulatedNode& At(std::size_t aNumber)
  {
    return *mNodes[aNumber];
  }
  // Returns the number of the daemon that the most others query.
  [[nodiscard]] std::size_t MostQueried() const;

  // By how much later than the first daemon the others had each configuration
  // in force that was put since the last Forget, or all the time until now if
  // they have not; daemons that are left out don't count. Sorted.
  [[nodiscard]] std::vector<Duration> Delays() const;
  // Calls between daemons that failed since then, by the daemon that was
  // called; those that are left out don't count, as callers too.
  [[nodiscard]] std::map<std::string, std::size_t> FailedCalls() const;
  // Daemons that followed the stores since then.
  [[nodiscard]] std::set<std::string> StoreFollowers() const;
  // Forgets what was watched so far.
  void Forget();
  // Leaves a daemon out of what is watched, as long as it is disturbed.
  void LeaveOut(std::size_t aNumber) { mLeftOut.insert(aNumber); }
  // Silences all connections that are open now, between the daemons or to the
  // table service.
  void SilencePeers() { mNetwork.Silence(); }
  void SilenceTables()
  {
    for (auto& it : mNodes) {
      it->mFeed.Silence();
    }
  }
  // Makes a daemon refuse the connections of others.
  void Stop(std::size_t aNumber)
  {
    mNetwork.Stop(mNodes[aNumber]->Self().mEndpoint);
  }

  Loop mLoop{ LoopTime::Virtual };
  SimulatedSite mSite;
  // Bytes of a configuration's row.
  std::size_t mConfigBytes = 12'000;

private:
  void Watch();
  [[nodiscard]] bool IsLeftOut(const Endpoint& aDaemon) const;

  SimulatedNetwork mNetwork;
  std::vector<std::unique_ptr<SimulatedNode>> mNodes;
  std::set<std::size_t> mLeftOut;
  std::uint64_t mConfig = 0;
  // When each configuration was put.
  std::map<std::uint64_t, Instant> mPutAt;
  // When each daemon had each configuration, or a later one, in force.
  std::map<std::uint64_t, std::map<std::size_t, Instant>> mInForceAt;
  std::set<std::string> mStoreFollowers;
};

} // namespace bilberrytrail::relays
