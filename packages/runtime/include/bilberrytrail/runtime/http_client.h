#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/runtime/fwd.h>
#include <bilberrytrail/runtime/http.h>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bilberrytrail {

// A response whose body is read incrementally. Destroying it before the end of
// the body closes the connection.
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
  // Returns whether the body has neither a length nor chunks and ends with the
  // connection, so that a peer that ends early looks like one that is done.
  [[nodiscard]] bool EndsWithConnection() const noexcept;

  // Waits for the next part of the body. Returns nullopt after the last one.
  // Fails with Timeout from the deadline on, even if more bytes have arrived,
  // with Cancelled, or with Unavailable when the connection was lost.
  [[nodiscard]] Result<std::optional<std::string>> Read(Instant aDeadline);
  // Reads up to and including the next line feed and returns the line without
  // it, or nullopt at the end of the body. Fails like Read, with Corrupt when
  // the body ends within a line, and with TooLarge.
  [[nodiscard]] Result<std::optional<std::string>> ReadLine(Instant aDeadline);
  // Closes the connection, so that a pending read and all later ones fail. Call
  // on the loop's thread.
  void Cancel();

private:
  std::unique_ptr<Impl> mImpl;
};

// Cancels an exchange from outside the fiber that waits for it.
//
//   HttpCancel cancel;
//   options.mCancel = &cancel;
//   responder.OnPeerClosed([&] { cancel.Cancel(); });
//   auto stream = client.Open(endpoint, request, options);
class HttpCancel
{
public:
  [[nodiscard]] bool IsCancelled() const noexcept { return mCancelled; }

  // Closes the connection of the exchange in progress, if any, and makes later
  // exchanges fail with Cancelled. Call on the loop's thread.
  void Cancel();
  // Sets the function by which Cancel closes the connection; empty for none.
  // Only for the client.
  void Attach(std::function<void()> aClose) { mClose = std::move(aClose); }

private:
  bool mCancelled = false;
  std::function<void()> mClose;
};

// What became of an attempt to open a connection.
enum class ConnectOutcome : unsigned char
{
  Accepted,
  // The peer's host is up, but no process listens on the port.
  Refused,
  // Nothing came back within the timeout: the host is down or out of reach, or
  // its queue of new connections is full.
  Silent,
  // The attempt failed for another reason, which tells nothing about the peer.
  Unknown
};

template<>
struct EnumNames<ConnectOutcome>
{
  static constexpr std::array<std::string_view, 4> kNames{ "accepted",
                                                           "refused",
                                                           "silent",
                                                           "unknown" };
};

// Options of one exchange.
struct HttpCallOptions
{
  // Maximum time until the head of the response has been read.
  Duration mTimeout = 10s;
  // Maximum time to open a connection; also limited by mTimeout.
  Duration mConnectTimeout = 10s;
  // The connection fails when sent bytes are not acknowledged by the peer's
  // TCP stack within this time; 0 keeps the default of the operating system.
  Duration mAckTimeout{ 0 };
  // Name of the header whose value the peer copies from the request into the
  // response. A response with another value belongs to an earlier request: it
  // is dropped, and the next one on the connection is read. On a reused
  // connection a response without the header is dropped, too. Empty for no
  // check.
  std::string mEchoHeader;
  // Opens a connection instead of reusing an idle one, which is closed for it.
  // Needed when the echo value was sent to the peer before: on a kept
  // connection a late response to that exchange could not be told from the one
  // to this.
  bool mNewConnection = false;
  HttpCancel* mCancel = nullptr;
  // Sent in place of the request's body, without a copy; empty for that body.
  // Must outlive the exchange.
  std::string_view mBody;
};

// Sends HTTP/1.1 requests from fibers of one loop over persistent connections.
// A connection whose exchange did not end cleanly is never reused; it is reset,
// so that the peer does not get the rest of the request later. An idle
// connection that the peer has closed, or whose announced idle timeout is about
// to expire, is replaced before anything is sent. After a timeout on a reused
// connection, those to the same peer that were idle all the while are closed:
// they may have fallen silent, too.
class HttpClient
{
public:
  class Impl;

  explicit HttpClient(Loop& aLoop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Largest body of a response that Call reads.
  static constexpr std::size_t kMaxWholeBodyBytes = 8 * 1024 * 1024;

  // Sends a request and reads the complete response within the timeout. Fails
  // with TooLarge when the body is larger than aMaxBodyBytes, and with
  // Exhausted when the loop's budget for messages does not allow it.
  [[nodiscard]] Result<HttpResponse, HttpError> Call(
    const Endpoint& aEndpoint,
    const HttpRequest& aRequest,
    Duration aTimeout,
    std::size_t aMaxBodyBytes = kMaxWholeBodyBytes);
  // The same with limits for the parts of the answer.
  [[nodiscard]] Result<HttpResponse, HttpError> Call(
    const Endpoint& aEndpoint,
    const HttpRequest& aRequest,
    const AnswerLimits& aLimits,
    std::size_t aMaxBodyBytes = kMaxWholeBodyBytes);
  // Sends a request and reads the head of the response within the timeout.
  [[nodiscard]] Result<HttpStream, HttpError> Open(const Endpoint& aEndpoint,
                                                   const HttpRequest& aRequest,
                                                   Duration aTimeout);
  // Sends a request and reads the head of the response with the options.
  [[nodiscard]] Result<HttpStream, HttpError> Open(
    const Endpoint& aEndpoint,
    const HttpRequest& aRequest,
    const HttpCallOptions& aOptions);
  // Opens a connection, closes it again, and returns what became of it.
  [[nodiscard]] ConnectOutcome Probe(const Endpoint& aEndpoint,
                                     Duration aTimeout);
  // Closes the idle connections to a peer that is no longer used.
  void Forget(const Endpoint& aEndpoint);

private:
  std::shared_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
