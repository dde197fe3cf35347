#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/runtime/datagram.h>
#include <bilberrytrail/runtime/loop.h>

#include <cstdint>
#include <map>
#include <memory>

namespace bilberrytrail::standins {

// Forwards datagrams from a port of loopback to another one, and the answers
// back to each sender, or drops them.
class DatagramRelay
{
public:
  DatagramRelay(Loop& aLoop, const Endpoint& aTarget)
    : mLoop(aLoop)
    , mTarget(aTarget)
    , mSocket(aLoop)
  {
  }

  // Binds the port and starts to forward.
  Result<void> Start(const Endpoint& aListen);
  void SetCut(bool aIsCut) noexcept { mIsCut = aIsCut; }

private:
  void Forward();
  void ForwardAnswers(const Endpoint& aSender, DatagramSocket& aSocket);

  Loop& mLoop;
  const Endpoint mTarget;
  DatagramSocket mSocket;
  bool mIsCut = false;
  // The socket that stands for each sender, by the sender's address.
  std::map<Endpoint, std::unique_ptr<DatagramSocket>> mSenders;
};

} // namespace bilberrytrail::standins
