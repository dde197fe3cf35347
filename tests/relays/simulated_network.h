#pragma once

#include "simulated_vm.h"

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/error.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "peer_transport.h"

namespace bilberrytrail::relays {

// A daemon as others call it.
struct SimulatedPeer
{
  SimulatedVm* mVm = nullptr;
  // Handles a call; may suspend the fiber.
  std::function<Result<std::string>(const std::string& aPath,
                                    const std::string& aBody)>
    mServe;
  // Returns the bytes of replies that the daemon has built so far, except those
  // of RPC methods, which are built for each call.
  std::function<std::size_t()> mBuiltBytes;
  bool mIsStopped = false;
};

// A call between daemons that failed.
struct FailedCall
{
  Endpoint mFrom;
  Endpoint mTo;
  std::string mPath;
  std::string mReason;
};

// The connections from one client to one server, which are kept while idle and
// may fall silent together.
class KeptConnections
{
public:
  // Takes an idle connection, or opens one.
  [[nodiscard]] std::size_t Take()
  {
    if (mIdle.empty()) {
      return mSilences;
    }
    const auto connection = mIdle.back();
    mIdle.pop_back();
    return connection;
  }
  [[nodiscard]] bool IsSilent(std::size_t aConnection) const noexcept
  {
    return aConnection < mSilences;
  }
  void Keep(std::size_t aConnection) { mIdle.push_back(aConnection); }
  // Closes the idle connections.
  void Forget() { mIdle.clear(); }
  // Silences all connections that are open now.
  void Silence() noexcept { ++mSilences; }

private:
  // Number of silences before the opening of each idle connection.
  std::vector<std::size_t> mIdle;
  std::size_t mSilences = 0;
};

// Carries the calls between the daemons of one loop. Each call takes processor
// time and a part of the link of both VMs, as calls do that were measured.
class SimulatedNetwork
{
public:
  explicit SimulatedNetwork(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  // Adds a daemon.
  void Add(const Endpoint& aDaemon, SimulatedPeer aPeer)
  {
    mPeers[aDaemon.mPort] = std::move(aPeer);
  }
  // Makes a daemon refuse connections, as one whose process has ended.
  void Stop(const Endpoint& aDaemon)
  {
    mPeers[aDaemon.mPort].mIsStopped = true;
  }

  // Silences all connections that are open now.
  void Silence();

  [[nodiscard]] Result<std::string> Call(const Endpoint& aFrom,
                                         const Endpoint& aTo,
                                         const std::string& aPath,
                                         const std::string& aBody,
                                         const AnswerLimits& aLimits);

  // Calls received by each daemon, by its port.
  std::map<std::uint16_t, std::size_t> mReceived;
  std::vector<FailedCall> mFailed;

private:
  // Returns the reply, as it leaves the called daemon's VM.
  [[nodiscard]] Result<std::string> Serve(SimulatedPeer& aPeer,
                                          const std::string& aPath,
                                          const std::string& aBody);

  Loop& mLoop;
  std::map<std::uint16_t, SimulatedPeer> mPeers;
  // By the ports of the calling and of the called daemon.
  std::map<std::pair<std::uint16_t, std::uint16_t>, KeptConnections>
    mConnections;
};

// The calls of one daemon.
class SimulatedTransport final : public PeerTransport
{
public:
  SimulatedTransport(SimulatedNetwork& aNetwork, Endpoint aSelf)
    : mNetwork(aNetwork)
    , mSelf(std::move(aSelf))
  {
  }

  [[nodiscard]] Result<std::string> Call(const Endpoint& aDaemon,
                                         const std::string& aPath,
                                         std::string aBody,
                                         const AnswerLimits& aLimits) override
  {
    return mNetwork.Call(mSelf, aDaemon, aPath, aBody, aLimits);
  }

private:
  SimulatedNetwork& mNetwork;
  const Endpoint mSelf;
};

} // namespace bilberrytrail::relays
