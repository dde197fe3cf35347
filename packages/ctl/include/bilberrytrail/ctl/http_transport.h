#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/ctl/operator_api.h>

namespace bilberrytrail {

// Sends requests over HTTP, one at a time. Each call blocks and runs its own
// event loop.
class HttpTransport : public OperatorTransport
{
public:
  HttpTransport(Endpoint aDaemon, Duration aTimeout);

  [[nodiscard]] Result<HttpResponse, HttpError> Send(
    const HttpRequest& aRequest) override;

private:
  Endpoint mDaemon;
  Duration mTimeout;
};

} // namespace bilberrytrail
