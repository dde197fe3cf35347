#include "peer_channel.h"
#include "site_seal.h"

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

namespace bilberrytrail {
namespace {

constexpr std::string_view kKey = "a site key of thirty-two bytes !";
constexpr Duration kTimeLeft = 200ms;
// Far above the time left, and below the silence that a home may keep.
constexpr Duration kBound = 2s;

// A home that is frozen: it takes requests and answers nothing.
class SilentHome final : public HttpHandler
{
public:
  explicit SilentHome(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void Handle(const HttpRequest& /*aRequest*/,
              HttpResponder& /*aResponder*/) override
  {
    (void)mLoop.Sleep(60s);
  }

private:
  Loop& mLoop;
};

class NoFrames final : public FrameSink
{
public:
  bool IsOpen() noexcept override { return true; }
  Result<void> Write(const HomeFrame& /*aFrame*/) override { return Ok(); }
};

TEST_CASE("the head of a home's answer is not waited for behind the deadline")
{
  Loop loop;
  HttpServer server(loop, HttpLimits());
  const auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port);
  SilentHome home(loop);
  server.Serve(home);
  HttpClient client(loop);
  SiteSeal seal(std::string(kKey), DaemonId("entry"), 30s);
  PeerChannel peers(client, seal);
  MemberRecord peer;
  peer.mId = DaemonId("home");
  peer.mEndpoint = { "127.0.0.1", port.value() };
  HomeRequest request;
  request.mTimeLeft = kTimeLeft;
  Duration took{};
  loop.Spawn([&] {
    NoFrames sink;
    const auto start = MonotonicNow();
    const auto result = peers.Run(peer, request, sink);
    took = MonotonicNow() - start;
    REQUIRE_FALSE(result);
    // The home may have run it.
    CHECK(result.error().mSent == SendState::MaybeSent);
    loop.Stop();
  });
  loop.Run();
  CHECK(took >= kTimeLeft);
  CHECK(took < kBound);
}

} // namespace
} // namespace bilberrytrail
