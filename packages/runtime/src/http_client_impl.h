#pragma once

#include "loop_impl.h"
#include "message_memory.h"

#include <bilberrytrail/runtime/http_client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Received bytes that are not parsed yet. Also bounds what the parser looks
// ahead for: a head, the size line of a chunk, or trailers.
inline constexpr std::size_t kMaxUnparsedBytes = 80 * 1024;

// One connection and the bytes received on it that are not parsed yet. Closing
// it resets it, also when the process is killed: otherwise the kernel goes on
// to send the bytes of a request that was given up, for minutes, and a server
// that was out of reach would get it late.
struct HttpConnection
{
  explicit HttpConnection(Loop& aLoop)
    : mStream(aLoop.Internals().Context())
    , mBuffer(kMaxUnparsedBytes, BudgetAllocator<char>(aLoop.MessageMemory()))
  {
  }

  boost::beast::tcp_stream mStream;
  ReceiveBuffer mBuffer;
  // The connection has already been used for an earlier exchange.
  bool mIsReused = false;
  Duration mAckTimeout{ 0 };
  // The idle connection is not reused from this time on, because the peer may
  // close it.
  Instant mUsableUntil = Instant::max();
  // When its last exchange ended.
  Instant mIdleSince;
};

// Returns the error code of a failed operation on a connection.
[[nodiscard]] ErrorCode
CodeOf(const boost::beast::error_code& aCode);

// The connections of a client. Shared by the streams that use them.
class HttpClient::Impl
{
public:
  using ConnectionPtr = std::unique_ptr<HttpConnection>;

  explicit Impl(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  // Returns an idle connection that is still usable, or opens a new one.
  Result<ConnectionPtr, HttpError> Acquire(const Endpoint& aEndpoint,
                                           const HttpCallOptions& aOptions);
  // Keeps a connection for reuse. Its last exchange must have ended cleanly.
  void Release(const Endpoint& aEndpoint, ConnectionPtr aConnection);
  [[nodiscard]] ConnectOutcome Probe(const Endpoint& aEndpoint,
                                     Duration aTimeout);
  void Forget(const Endpoint& aEndpoint) { mIdle.erase(aEndpoint); }
  // Closes the idle connections to a peer that were last used before a time.
  void ForgetUnusedSince(const Endpoint& aEndpoint, Instant aTime);
  [[nodiscard]] const std::shared_ptr<MemoryBudget>& Memory() const noexcept
  {
    return mLoop.MessageMemory();
  }

private:
  ConnectionPtr TakeIdle(const Endpoint& aEndpoint);

  Loop& mLoop;
  std::map<Endpoint, std::vector<ConnectionPtr>> mIdle;
};

// A response and its connection.
class HttpStream::Impl
{
public:
  Impl(std::shared_ptr<HttpClient::Impl> aClient,
       Endpoint aEndpoint,
       std::unique_ptr<HttpConnection> aConnection,
       HttpCancel* aCancel)
    : mClient(std::move(aClient))
    , mEndpoint(std::move(aEndpoint))
    , mConnection(std::move(aConnection))
    , mCancel(aCancel)
    , mHeadMemory(mClient->Memory())
  {
    StartResponse();
    if (mCancel != nullptr) {
      mCancel->Attach([this] { Cancel(); });
    }
  }
  ~Impl() { Detach(); }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  [[nodiscard]] unsigned Status() const noexcept { return mStatus; }
  [[nodiscard]] const HttpHeaders& Headers() const noexcept { return mHeaders; }
  [[nodiscard]] bool EndsWithConnection() const { return mParser->need_eof(); }

  boost::beast::error_code ReadHead(Instant aDeadline);
  // Reads and drops this response, and prepares to read the next one on the
  // connection.
  Result<void> SkipResponse(Instant aDeadline);
  Result<std::optional<std::string>> Read(Instant aDeadline);
  Result<std::optional<std::string>> ReadLine(Instant aDeadline);
  void Cancel();
  // Notes that the request was not sent completely: the connection is not
  // reused, and its end is no end of an answer.
  void NoteCutRequest() noexcept { mIsRequestCut = true; }
  // Once the response has been read completely, returns the connection to the
  // client for reuse or closes it.
  void ReleaseWhenDone();

private:
  void StartResponse();
  // Returns what Read returns after the last piece of a body.
  [[nodiscard]] Result<std::optional<std::string>> EndOfBody() const;
  void Detach();
  void Close();

  std::shared_ptr<HttpClient::Impl> mClient;
  Endpoint mEndpoint;
  std::unique_ptr<HttpConnection> mConnection;
  HttpCancel* mCancel;
  std::optional<
    boost::beast::http::response_parser<boost::beast::http::buffer_body>>
    mParser;
  bool mSkipping = false;
  bool mIsRequestCut = false;
  unsigned mStatus = 0;
  HttpHeaders mHeaders;
  // Memory of the headers.
  MemoryHold mHeadMemory;
  std::string mLineBuffer;
};

} // namespace bilberrytrail
