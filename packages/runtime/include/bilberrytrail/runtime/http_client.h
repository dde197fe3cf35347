#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/runtime/fwd.h>
#include <bilberrytrail/runtime/http.h>

#include <memory>
#include <optional>
#include <string>

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

// Sends HTTP/1.1 requests from fibers of one loop over kept connections. A
// connection whose exchange did not end cleanly is never used again. A kept
// connection that the peer has closed is replaced before anything is sent.
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

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
