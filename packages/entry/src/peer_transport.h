#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/runtime/http_client.h>

#include <string>

namespace bilberrytrail {

// Carries calls to other daemons.
class PeerTransport
{
public:
  virtual ~PeerTransport() = default;

  // Posts a body to a path of another daemon and returns the body of its
  // answer. Fails with the transport's error, or with Refused when the daemon
  // answers with another status than 200.
  [[nodiscard]] virtual Result<std::string> Call(
    const Endpoint& aDaemon,
    const std::string& aPath,
    std::string aBody,
    const AnswerLimits& aLimits) = 0;
};

// Calls over HTTP.
class HttpPeerTransport final : public PeerTransport
{
public:
  explicit HttpPeerTransport(Loop& aLoop)
    : mClient(aLoop)
  {
  }

  [[nodiscard]] Result<std::string> Call(const Endpoint& aDaemon,
                                         const std::string& aPath,
                                         std::string aBody,
                                         const AnswerLimits& aLimits) override;

private:
  HttpClient mClient;
};

} // namespace bilberrytrail
