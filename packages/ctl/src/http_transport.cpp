#include <bilberrytrail/ctl/http_transport.h>

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <optional>
#include <utility>

namespace bilberrytrail {

HttpTransport::HttpTransport(Endpoint aDaemon, Duration aTimeout)
  : mDaemon(std::move(aDaemon))
  , mTimeout(aTimeout)
{
}

Result<HttpResponse, HttpError>
HttpTransport::Send(const HttpRequest& aRequest)
{
  std::optional<Result<HttpResponse, HttpError>> result;
  Loop loop;
  HttpClient client(loop);
  loop.Spawn([&] {
    result.emplace(client.Call(mDaemon, aRequest, mTimeout));
    loop.Stop();
  });
  loop.Run();
  if (!result) {
    return HttpError{ SendState::MaybeSent,
                      ErrorCode::Cancelled,
                      "event loop stopped before a reply came" };
  }
  return std::move(*result);
}

} // namespace bilberrytrail
