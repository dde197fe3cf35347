#pragma once

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

#include <string>

namespace bilberrytrail::tests {

// The fake server's response to each request.
struct FakeAnswer
{
  unsigned mStatus = 200;
  HttpHeaders mHeaders{};
  std::string mBody{};
  // Closes the connection after mBody instead of completing the response.
  bool mCut = false;
  // Sends the response as a chunked stream.
  bool mStream = false;
  // Delay before the response.
  Duration mDelay{};
};

// Sends the same response to each request and records the last request.
class FakeHandler final : public HttpHandler
{
public:
  explicit FakeHandler(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override
  {
    mLast = aRequest;
    ++mRequests;
    if (mAnswer.mDelay > Duration(0)) {
      static_cast<void>(mLoop.Sleep(mAnswer.mDelay));
    }
    if (mAnswer.mStream) {
      static_cast<void>(
        aResponder.BeginStream(mAnswer.mStatus, mAnswer.mHeaders));
      static_cast<void>(aResponder.WriteChunk(mAnswer.mBody));
    }
    if (mAnswer.mCut) {
      aResponder.Abort();
    } else if (mAnswer.mStream) {
      static_cast<void>(aResponder.EndStream());
    } else {
      static_cast<void>(
        aResponder.Send({ mAnswer.mStatus, mAnswer.mHeaders, mAnswer.mBody }));
    }
  }

  FakeAnswer mAnswer;
  HttpRequest mLast;
  int mRequests = 0;

private:
  Loop& mLoop;
};

// Starts a fake server on loopback and runs aBody(client, endpoint, handler) on
// a fiber.
template<class Body>
void
WithFakeServer(Body aBody)
{
  Loop loop;
  FakeHandler handler(loop);
  HttpServer server(loop, HttpLimits());
  const auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  server.Serve(handler);
  loop.Spawn([&] {
    HttpClient client(loop);
    aBody(client, Endpoint{ "127.0.0.1", port.value() }, handler);
    loop.Stop();
  });
  loop.Run();
}

// Returns an endpoint on loopback on which nothing listens.
inline Endpoint
ClosedEndpoint()
{
  return { "127.0.0.1", 1 };
}

} // namespace bilberrytrail::tests
