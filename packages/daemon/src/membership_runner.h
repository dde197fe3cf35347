#pragma once

#include "control_state.h"
#include "peer_channel.h"

#include <bilberrytrail/membership/gossip.h>
#include <bilberrytrail/runtime/datagram.h>
#include <bilberrytrail/runtime/loop.h>

#include <functional>

namespace bilberrytrail {

// Carries gossip over UDP on the control thread and keeps the members of the
// control state up to date.
class MembershipRunner
{
public:
  using NumberListener = std::function<void(const SharedNumber&)>;

  MembershipRunner(Loop& aLoop,
                   PeerSeal& aSeal,
                   ControlState& aState,
                   const MemberRecord& aSelf,
                   const GossipSettings& aSettings);

  [[nodiscard]] Gossip& Members() noexcept { return mGossip; }

  // Binds the socket and starts the fibers.
  [[nodiscard]] Result<void> Start(const Endpoint& aListen);
  // Calls the function when a shared number grew.
  void OnNumber(NumberListener aListener);
  // Announces a planned stop to the other daemons.
  void Leave();

private:
  void ReceiveAll();
  void TickAll();
  void Perform(const GossipActions& aActions);

  Loop& mLoop;
  PeerSeal& mSeal;
  ControlState& mState;
  DatagramSocket mSocket;
  Gossip mGossip;
  NumberListener mOnNumber;
};

} // namespace bilberrytrail
