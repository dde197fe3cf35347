#pragma once

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <doctest/doctest.h>

#include <string>

namespace bilberrytrail::tests {

// What the fake server answers to each request.
struct FakeAnswer
{
  unsigned mStatus = 200;
  HttpHeaders mHeaders{};
  std::string mBody{};
  // The connection is cut after mBody in place of a whole answer.
  bool mCut = false;
  // The answer is a chunked stream.
  bool mStream = false;
  // Time before the answer.
  Duration mDelay{};
};

// Gives the same answer to each request and keeps the last request.
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

// Runs the body on a fiber beside a fake server on loopback:
// aBody(client, endpoint, handler).
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

// Returns an endpoint on loopback where nothing listens.
inline Endpoint
ClosedEndpoint()
{
  return { "127.0.0.1", 1 };
}

} // namespace bilberrytrail::tests
