#include "peer_call.h"

namespace bilberrytrail {

Result<Json>
CallPeer(PeerTransport& aTransport,
         const PeerAddress& aPeer,
         std::string_view aMethod,
         const Json& aParams,
         Duration aTimeout)
{
  return CallRpc(std::string(aMethod), aParams, [&](const std::string& aText) {
    return aTransport.Call(
      aPeer.mEndpoint, kRpcPath, aText, AnswerLimits::Within(aTimeout));
  });
}

} // namespace bilberrytrail
