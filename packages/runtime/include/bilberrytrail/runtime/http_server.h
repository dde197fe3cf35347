#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/runtime/fwd.h>
#include <bilberrytrail/runtime/http.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace bilberrytrail {

// Answers one request: either Send, or BeginStream, WriteChunk..., EndStream.
// Every function fails with Unavailable when the peer has gone.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  // Returns true once an answer has begun.
  [[nodiscard]] virtual bool HasBegun() const noexcept = 0;
  // Returns true while the peer has not closed its side of the connection.
  [[nodiscard]] virtual bool IsPeerOpen() noexcept = 0;

  // Calls the function on the loop's thread, at most once, when the peer closes
  // its side before the handler returns. A peer that sends on can no longer be
  // watched. The function must not wait.
  virtual void OnPeerClosed(const std::function<void()>& /*aGone*/) {}

  // Sends a whole response.
  virtual Result<void> Send(HttpResponse aResponse) = 0;
  // Sends the head of a chunked response.
  virtual Result<void> BeginStream(unsigned aStatus, HttpHeaders aHeaders) = 0;
  // Begins a chunked response whose head goes out with the first chunk.
  virtual Result<void> BeginStreamLater(unsigned aStatus, HttpHeaders aHeaders)
  {
    return BeginStream(aStatus, std::move(aHeaders));
  }
  // Sends one chunk of a chunked response.
  virtual Result<void> WriteChunk(std::string_view aData) = 0;
  // Ends a chunked response.
  virtual Result<void> EndStream() = 0;
  // Sends one chunk and ends the response.
  virtual Result<void> EndStreamWith(std::string_view aData)
  {
    auto result = WriteChunk(aData);
    return result ? EndStream() : result;
  }
  // Closes the connection so that the peer sees an unclean end. Bytes that the
  // peer has not received yet may be lost.
  virtual void Abort() = 0;
  // Ends a chunked response short of its end: the peer receives all that was
  // written, and then sees that the rest is missing.
  virtual void Cut() { Abort(); }
};

// Serves requests; called on a fiber of its own for each request, so it may
// wait.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  virtual void Handle(const HttpRequest& aRequest,
                      HttpResponder& aResponder) = 0;
};

// Accepts HTTP/1.1 connections on one loop. Malformed, oversized and slow
// requests are answered with 400, 413, 431 and 408.
//
//   HttpServer server(loop, HttpLimits());
//   auto port = server.Listen(Endpoint{ "127.0.0.1", 0 });
//   server.Serve(handler);
class HttpServer
{
public:
  HttpServer(Loop& aLoop, const HttpLimits& aLimits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Returns the number of requests that are being handled. Thread-safe.
  [[nodiscard]] std::size_t ActiveRequests() const noexcept;

  // Binds and listens; with aShared several loops can bind the same port.
  // Returns the bound port.
  [[nodiscard]] Result<std::uint16_t> Listen(const Endpoint& aEndpoint,
                                             bool aShared = false);
  // Starts to accept on the loop. The handler must outlive the loop's run.
  void Serve(HttpHandler& aHandler);
  // Replaces the limits for connections accepted from now on. Call on the
  // loop's thread.
  void SetLimits(const HttpLimits& aLimits);
  // Answers each further request with "Connection: close", while connections
  // are still accepted. Call on the loop's thread.
  void CloseAfterAnswers();
  // Closes the listening socket; idle connections are closed, running
  // requests go on. Call on the loop's thread.
  void StopAccepting();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
