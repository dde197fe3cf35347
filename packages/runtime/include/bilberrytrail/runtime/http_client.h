#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/runtime/fwd.h>
#include <bilberrytrail/runtime/http.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace bilberrytrail {

// The response of a request whose body is read piece by piece. Destroying it
// before the end closes the connection.
class HttpStream
{
public:
  class Impl;

  explicit HttpStream(std::unique_ptr<Impl> aImpl);
  ~HttpStream();
  HttpStream(HttpStream&&) noexcept;
  HttpStream& operator=(HttpStream&&) noexcept;

  [[nodiscard]] unsigned Status() const noexcept;
  [[nodiscard]] const HttpHeaders& Headers() const noexcept;

  // Waits for the next piece of the body. Returns nothing at the clean end;
  // fails with Timeout, or with Unavailable when the connection was cut.
  [[nodiscard]] Result<std::optional<std::string>> Read(Duration aTimeout);
  // Reads up to and including the next line feed and returns the line without
  // it; nothing at the clean end, Corrupt when the end cuts a line.
  [[nodiscard]] Result<std::optional<std::string>> ReadLine(Duration aTimeout);
  // Closes the connection: a read that waits, and every later one, fails.
  // Call on the loop's thread.
  void Cancel();

private:
  std::unique_ptr<Impl> mImpl;
};

// Ends an exchange from outside the fiber that waits for it.
//
//   HttpCancel cancel;
//   options.mCancel = &cancel;
//   responder.OnPeerClosed([&] { cancel.Cancel(); });
//   auto stream = client.Open(endpoint, request, options);
class HttpCancel
{
public:
  [[nodiscard]] bool IsCancelled() const noexcept { return mCancelled; }

  // Closes the connection of the exchange that is under way, if any, and makes
  // later ones fail with Cancelled. Call on the loop's thread.
  void Cancel();
  // Sets what Cancel closes; nothing when empty. For the client.
  void Attach(std::function<void()> aClose) { mClose = std::move(aClose); }

private:
  bool mCancelled = false;
  std::function<void()> mClose;
};

// How one exchange is carried out.
struct HttpCallOptions
{
  // Longest time to the head of the response.
  Duration mTimeout = 10s;
  // Longest time to open a connection; bounded by mTimeout too.
  Duration mConnectTimeout = 10s;
  // Time after which sent bytes that the peer's machine has not acknowledged
  // fail the connection; 0 leaves it to the operating system.
  Duration mAckTimeout{ 0 };
  // Header in which the peer repeats the request's value of it. A response
  // with another value belongs to an earlier request: it is dropped, and the
  // next one on the connection is read. So is one without the header on a
  // connection that was in use before. Empty for no check.
  std::string mEchoHeader;
  HttpCancel* mCancel = nullptr;
};

// Sends HTTP/1.1 requests from fibers of one loop over kept connections. A
// connection whose exchange did not end cleanly is never used again. A kept
// connection that the peer has closed, or whose announced idle time is nearly
// over, is replaced before anything is sent.
class HttpClient
{
public:
  class Impl;

  explicit HttpClient(Loop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request and reads the whole response within the time.
  [[nodiscard]] Result<HttpResponse, HttpError> Call(
    const Endpoint& aEndpoint,
    const HttpRequest& aRequest,
    Duration aTimeout);
  // Sends a request and reads the head of the response within the time.
  [[nodiscard]] Result<HttpStream, HttpError> Open(const Endpoint& aEndpoint,
                                                   const HttpRequest& aRequest,
                                                   Duration aTimeout);
  // The same with options.
  [[nodiscard]] Result<HttpStream, HttpError> Open(
    const Endpoint& aEndpoint,
    const HttpRequest& aRequest,
    const HttpCallOptions& aOptions);
  // Closes the kept connections to a peer that has gone.
  void Forget(const Endpoint& aEndpoint);

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
