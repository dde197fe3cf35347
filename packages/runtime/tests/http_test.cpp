#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

// Echoes the body. /stream and /later send three lines; /cut aborts within the
// third one.
class EchoHandler final : public HttpHandler
{
public:
  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override
  {
    if (aRequest.mTarget == "/stream" || aRequest.mTarget == "/cut") {
      (void)aResponder.BeginStream(200, {});
      (void)aResponder.WriteChunk("one\ntwo\nth");
      if (aRequest.mTarget == "/cut") {
        aResponder.Abort();
        return;
      }
      (void)aResponder.WriteChunk("ree\n");
      (void)aResponder.EndStream();
      return;
    }
    if (aRequest.mTarget == "/later") {
      (void)aResponder.BeginStreamLater(200, {});
      (void)aResponder.WriteChunk("one\ntwo\nth");
      (void)aResponder.EndStreamWith("ree\n");
      return;
    }
    (void)aResponder.Send({ 200, { { "X-Echo", "yes" } }, aRequest.mBody });
  }
};

// Runs aBody on a fiber while an EchoHandler is served on the same loop.
template<class Body>
void
WithServer(const HttpLimits& aLimits, Body aBody)
{
  Loop loop;
  EchoHandler handler;
  HttpServer server(loop, aLimits);
  const auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  server.Serve(handler);
  loop.Spawn([&] {
    aBody(loop, Endpoint{ "127.0.0.1", port.value() });
    loop.Stop();
  });
  loop.Run();
}

} // namespace

TEST_CASE("requests of different sizes get their responses from one client")
{
  WithServer(HttpLimits(), [](Loop& aLoop, const Endpoint& aEndpoint) {
    HttpClient client(aLoop);
    // The largest body does not fit into the socket buffers.
    for (const std::size_t n : { 0, 100000, 200000, 7000000 }) {
      const std::string body(n, 'x');
      const auto response =
        client.Call(aEndpoint, { "POST", "/echo", {}, body }, 5s);
      REQUIRE(response.has_value());
      CHECK(response.value().mBody == body);
      CHECK(FindHeader(response.value().mHeaders, "x-echo") == "yes");
    }
  });
}

// Guards against requests whose method has no body by rule: an exception that
// nothing caught ended the daemon.
TEST_CASE("a body is passed on unchanged whatever the method")
{
  WithServer(HttpLimits(), [](Loop& aLoop, const Endpoint& aEndpoint) {
    HttpClient client(aLoop);
    for (const char* method :
         { "TRACE", "GET", "DELETE", "OPTIONS", "PATCH", "X-OWN" }) {
      for (const char* body : { "", "body" }) {
        CAPTURE(std::string(method));
        const auto response =
          client.Call(aEndpoint, { method, "/echo", {}, body }, 5s);
        REQUIRE(response.has_value());
        CHECK(response.value().mStatus == 200);
        CHECK(response.value().mBody == body);
      }
    }
  });
}

TEST_CASE("a streamed body is read line by line and an aborted one fails")
{
  WithServer(HttpLimits(), [](Loop& aLoop, const Endpoint& aEndpoint) {
    HttpClient client(aLoop);
    for (const char* target : { "/stream", "/later", "/cut" }) {
      CAPTURE(target);
      const bool cut = std::string_view(target) == "/cut";
      auto stream = client.Open(aEndpoint, { "GET", target, {}, "" }, 5s);
      REQUIRE(stream.has_value());
      CHECK(*stream.value().ReadLine(MonotonicNow() + 5s).value() == "one");
      CHECK(*stream.value().ReadLine(MonotonicNow() + 5s).value() == "two");
      const auto third = stream.value().ReadLine(MonotonicNow() + 5s);
      REQUIRE(third.has_value() == !cut);
      if (!cut) {
        CHECK(*third.value() == "three");
        CHECK_FALSE(
          stream.value().ReadLine(MonotonicNow() + 5s).value().has_value());
      }
    }
  });
}

TEST_CASE("an oversized body is refused with 413")
{
  HttpLimits limits;
  limits.mBodyBytes = 1000;
  WithServer(limits, [](Loop& aLoop, const Endpoint& aEndpoint) {
    HttpClient client(aLoop);
    const auto response = client.Call(
      aEndpoint, { "POST", "/echo", {}, std::string(2000, 'x') }, 5s);
    REQUIRE(response.has_value());
    CHECK(response.value().mStatus == 413);
  });
}

TEST_CASE("a refused connection reports the request as not sent")
{
  WithServer(HttpLimits(), [](Loop& aLoop, const Endpoint& /*aEndpoint*/) {
    HttpClient client(aLoop);
    const auto response =
      client.Call({ "127.0.0.1", 1 }, { "GET", "/", {}, "" }, 5s);
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().mSent == SendState::NotSent);
  });
}

TEST_CASE("stopping the loop ends pending waits as cancelled")
{
  Loop loop;
  bool slept = true;
  bool notified = true;
  loop.Spawn([&] { slept = loop.Sleep(1000s); });
  loop.Spawn([&] {
    Event event(loop);
    notified = event.Wait(1000s);
  });
  loop.Spawn([&] { loop.Stop(); });
  loop.Run();
  CHECK_FALSE(slept);
  CHECK_FALSE(notified);
}
