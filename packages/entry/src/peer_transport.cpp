#include "peer_transport.h"

namespace bilberrytrail {

Result<std::string>
HttpPeerTransport::Call(const Endpoint& aDaemon,
                        const std::string& aPath,
                        std::string aBody,
                        const AnswerLimits& aLimits)
{
  constexpr unsigned kSuccess = 200;
  auto response =
    mClient.Call(aDaemon, { "POST", aPath, {}, std::move(aBody) }, aLimits);
  if (!response) {
    return Fail(response.error().mCode, response.error().mMessage);
  }
  if (response.value().mStatus != kSuccess) {
    return Fail(ErrorCode::Refused,
                "status " + std::to_string(response.value().mStatus));
  }
  return std::move(response.value().mBody);
}

} // namespace bilberrytrail
