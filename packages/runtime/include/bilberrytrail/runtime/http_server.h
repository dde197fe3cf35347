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

// Sends the response to one request: either Send, or BeginStream,
// WriteChunk..., EndStream. Each of them fails with Unavailable when the
// connection is lost.
class HttpResponder
{
public:
  virtual ~HttpResponder() = default;

  // Returns true once a response has been started.
  [[nodiscard]] virtual bool HasBegun() const noexcept = 0;
  // Returns true until the peer closes its side of the connection.
  [[nodiscard]] virtual bool IsPeerOpen() noexcept = 0;

  // Calls the function on the loop's thread, at most once, when the peer closes
  // its side before the handler returns. The close is not detected once the
  // peer has sent further data. The function must not wait.
  virtual void OnPeerClosed(const std::function<void()>& /*aCallback*/) {}

  // Sends a complete response.
  virtual Result<void> Send(HttpResponse aResponse) = 0;
  // Sends the head of a chunked response.
  virtual Result<void> BeginStream(unsigned aStatus, HttpHeaders aHeaders) = 0;
  // Begins a chunked response whose head is sent with the first chunk.
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
  // Resets the connection. Bytes that the peer has not received yet may be
  // lost.
  virtual void Abort() = 0;
  // Closes the connection without the last chunk: the peer receives everything
  // that was written and detects that the response is incomplete.
  virtual void Cut() { Abort(); }
};

// Handles requests. Each connection has a fiber of its own, so that Handle may
// wait.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  virtual void Handle(const HttpRequest& aRequest,
                      HttpResponder& aResponder) = 0;
};

// Accepts HTTP/1.1 connections on one loop. Malformed requests are answered
// with 400, oversized ones with 413 (body) or 431 (header), slow ones with 408.
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

  // Binds and listens, and returns the bound port. With aShared several loops
  // can bind the same port. Fails with InvalidInput or Unavailable.
  [[nodiscard]] Result<std::uint16_t> Listen(const Endpoint& aEndpoint,
                                             bool aShared = false);
  // Starts to accept connections. The handler must outlive Loop::Run.
  void Serve(HttpHandler& aHandler);
  // Replaces the limits for connections accepted from now on. Call on the
  // loop's thread.
  void SetLimits(const HttpLimits& aLimits);
  // Sends "Connection: close" with each further response; connections are still
  // accepted. Call on the loop's thread.
  void CloseAfterAnswers();
  // Closes the listening socket and the idle connections. Requests in progress
  // continue. Call on the loop's thread.
  void StopAccepting();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
