#include "peer_call.h"

namespace bilberrytrail {

namespace {

constexpr const char* kRpcPath = "/rpc";

} // namespace

Result<Json>
CallPeer(HttpClient& aClient,
         const PeerAddress& aPeer,
         std::string_view aMethod,
         const Json& aParams,
         Duration aTimeout)
{
  return CallRpc(
    std::string(aMethod),
    aParams,
    [&](const std::string& aText) -> Result<std::string> {
      auto response = aClient.Call(
        aPeer.mEndpoint, { "POST", kRpcPath, {}, aText }, aTimeout);
      if (!response) {
        return Fail(response.error().mCode, response.error().mMessage);
      }
      return std::move(response.value().mBody);
    });
}

} // namespace bilberrytrail
