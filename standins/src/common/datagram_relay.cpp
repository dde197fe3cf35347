#include "common/datagram_relay.h"

namespace bilberrytrail::standins {

Result<void>
DatagramRelay::Start(const Endpoint& aListen)
{
  if (auto port = mSocket.Bind(aListen); !port) {
    return std::move(port).error();
  }
  mLoop.Spawn([this] { Forward(); });
  return Ok();
}

void
DatagramRelay::Forward()
{
  while (const auto datagram = mSocket.Receive()) {
    if (mIsCut) {
      continue;
    }
    const auto& sender = datagram.value().mFrom;
    auto& socket = mSenders[sender];
    if (socket == nullptr) {
      socket = std::make_unique<DatagramSocket>(mLoop);
      if (!socket->Bind({ mTarget.mHost, 0 })) {
        socket.reset();
        continue;
      }
      mLoop.Spawn(
        [this, sender, it = socket.get()] { ForwardAnswers(sender, *it); });
    }
    socket->Send(mTarget, datagram.value().mBody);
  }
}

void
DatagramRelay::ForwardAnswers(const Endpoint& aSender, DatagramSocket& aSocket)
{
  while (const auto datagram = aSocket.Receive()) {
    if (!mIsCut) {
      aSocket.Send(aSender, datagram.value().mBody);
    }
  }
}

} // namespace bilberrytrail::standins
