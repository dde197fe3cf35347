#include <bilberrytrail/ctl/http_transport.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

namespace {

// Replies with the target and the Authorization header of the request.
class EchoHandler : public HttpHandler
{
public:
  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override
  {
    HttpResponse response;
    response.mBody =
      aRequest.mTarget + " " +
      std::string(FindHeader(aRequest.mHeaders, "Authorization"));
    (void)aResponder.Send(std::move(response));
  }
};

// An HTTP server on its own thread.
class Daemon
{
public:
  Daemon()
    : mServer(mLoop, HttpLimits())
  {
    mPort = mServer.Listen({ "127.0.0.1", 0 }).value();
    mServer.Serve(mHandler);
    mThread = std::thread([this] { mLoop.Run(); });
  }
  ~Daemon()
  {
    mLoop.Stop();
    mThread.join();
  }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  [[nodiscard]] Endpoint Address() const { return { "127.0.0.1", mPort }; }

private:
  Loop mLoop;
  EchoHandler mHandler;
  HttpServer mServer;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

} // namespace

TEST_CASE("consecutive requests reach a daemon over HTTP")
{
  const Daemon daemon;
  HttpTransport transport(daemon.Address(), 10s);
  OperatorApi api(transport, "secret");
  for (const auto* path : { "/operator/status", "/operator/metrics" }) {
    const auto reply = api.Get(path, {});
    CHECK(reply.mKind == ReplyKind::Done);
    CHECK(reply.mBody == std::string(path) + " Bearer secret");
  }
}

TEST_CASE("a change sent to an unreachable daemon is reported as not run")
{
  Endpoint closed;
  {
    const Daemon daemon;
    closed = daemon.Address();
  }
  HttpTransport transport(closed, 10s);
  OperatorApi api(transport, "secret");
  CHECK(api.Post("/operator/drain", "{}").mKind == ReplyKind::NotRun);
}
