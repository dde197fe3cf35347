#include "common/fault_proxy.h"

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

// Answers each request, after a while.
class SlowHandler final : public HttpHandler
{
public:
  explicit SlowHandler(Loop& aLoop)
    : mLoop(aLoop)
  {
  }
  void Handle(const HttpRequest& /*aRequest*/,
              HttpResponder& aResponder) override
  {
    (void)mLoop.Sleep(50ms);
    (void)aResponder.Send({ 200, {}, "answer" });
  }

private:
  Loop& mLoop;
};

} // namespace

// Guards against calls that time out one after the other, each on the next one
// of the connections that have fallen silent together.
TEST_CASE("after a timeout no call is sent on connections that were idle")
{
  constexpr int kIdle = 4;
  Loop loop;
  loop.Spawn([&] {
    SlowHandler handler(loop);
    HttpServer server(loop, HttpLimits());
    const auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.has_value());
    server.Serve(handler);
    FaultProxy link({ "127.0.0.1", 0 }, { "127.0.0.1", port.value() });
    HttpClient client(loop);
    const auto call = [&] {
      return client.Call(link.Address(), HttpRequest(), 500ms).has_value();
    };
    int answered = 0;
    for (int n = 0; n < kIdle; ++n) {
      loop.Spawn([&] { answered += call() ? 1 : 0; });
    }
    while (answered < kIdle && loop.Sleep(10ms)) {
    }
    link.SilenceOpen();
    CHECK_FALSE(call());
    CHECK(call());
    CHECK(call());
    loop.Stop();
  });
  loop.Run();
}
