#include "http_client_impl.h"
#include "socket_state.h"
#include "socket_write.h"
#include "use_fiber.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <tuple>

namespace bilberrytrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
constexpr std::size_t kMaxIdlePerEndpoint = 64;
// Number of interim responses, and late ones to earlier requests, that are
// skipped before the connection is given up.
constexpr int kMaxSkippedResponses = 4;
constexpr unsigned kFirstStatus = 100;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
// After a failed write, time to read a response that the peer sent before it
// stopped reading.
constexpr Duration kEarlyResponseTimeout = 20ms;

HttpError
MakeError(SendState aSent, const beast::error_code& aCode)
{
  return HttpError{ aSent, CodeOf(aCode), aCode.message() };
}

HttpError
ToError(const Error& aError)
{
  return HttpError{ SendState::MaybeSent, aError.mCode, aError.mMessage };
}

// Returns the body to send.
std::string_view
BodyOf(const HttpRequest& aRequest, const HttpCallOptions& aOptions)
{
  return aOptions.mBody.empty() ? std::string_view(aRequest.mBody)
                                : aOptions.mBody;
}

// Returns whether a request with this method has a length even if its body is
// empty.
bool
ExpectsBody(http::verb aMethod)
{
  return aMethod == http::verb::post || aMethod == http::verb::put ||
         aMethod == http::verb::options;
}

// Returns the head of a request with a body of this size.
http::request<http::empty_body>
ToMessage(const Endpoint& aEndpoint,
          const HttpRequest& aRequest,
          std::size_t aBodyBytes)
{
  http::request<http::empty_body> message;
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.version(11);
  if (FindHeader(aRequest.mHeaders, "Host").empty()) {
    message.set(http::field::host, ToText(aEndpoint));
  }
  for (const auto& header : aRequest.mHeaders) {
    message.insert(header.mName, header.mValue);
  }
  message.erase(http::field::transfer_encoding);
  message.erase(http::field::content_length);
  if (aBodyBytes > 0 || ExpectsBody(message.method())) {
    message.content_length(aBodyBytes);
  }
  return message;
}

// Makes the connection fail when sent bytes stay unacknowledged for aTimeout. 0
// restores the default of the operating system.
void
SetAckTimeout(HttpConnection& aConnection, Duration aTimeout)
{
  if (aConnection.mAckTimeout == aTimeout) {
    return;
  }
  aConnection.mAckTimeout = aTimeout;
  using AckTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
  beast::error_code ec;
  const auto millis = std::chrono::ceil<std::chrono::milliseconds>(aTimeout);
  aConnection.mStream.socket().set_option(
    AckTimeout(static_cast<int>(millis.count())), ec);
}

} // namespace

void
HttpCancel::Cancel()
{
  mCancelled = true;
  if (mClose) {
    std::exchange(mClose, nullptr)();
  }
}

HttpClient::Impl::ConnectionPtr
HttpClient::Impl::TakeIdle(const Endpoint& aEndpoint)
{
  auto& idle = mIdle[aEndpoint];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    const int handle = connection->mStream.socket().native_handle();
    if (MonotonicNow() < connection->mUsableUntil &&
        PeekSocket(handle) == SocketState::Quiet) {
      connection->mIsReused = true;
      return connection;
    }
  }
  return nullptr;
}

Result<HttpClient::Impl::ConnectionPtr, HttpError>
HttpClient::Impl::Acquire(const Endpoint& aEndpoint,
                          const HttpCallOptions& aOptions)
{
  if (auto connection = TakeIdle(aEndpoint);
      connection != nullptr && !aOptions.mNewConnection) {
    return connection;
  }
  beast::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mHost, ec);
  if (ec) {
    return HttpError{ SendState::NotSent,
                      ErrorCode::InvalidInput,
                      "not an IP number: " + aEndpoint.mHost };
  }
  auto connection = std::make_unique<HttpConnection>(mLoop);
  connection->mStream.expires_after(
    std::min(aOptions.mConnectTimeout, aOptions.mTimeout));
  if (aOptions.mCancel != nullptr) {
    aOptions.mCancel->Attach([it = connection.get()] { it->mStream.close(); });
  }
  std::tie(ec) = connection->mStream.async_connect(
    tcp::endpoint(address, aEndpoint.mPort), kUseFiber);
  if (aOptions.mCancel != nullptr) {
    aOptions.mCancel->Attach(nullptr);
  }
  if (ec) {
    return MakeError(SendState::NotSent, ec);
  }
  auto& socket = connection->mStream.socket();
  socket.set_option(tcp::no_delay(true), ec);
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  return connection;
}

void
HttpClient::Impl::Release(const Endpoint& aEndpoint, ConnectionPtr aConnection)
{
  auto& idle = mIdle[aEndpoint];
  aConnection->mStream.expires_never();
  aConnection->mIdleSince = MonotonicNow();
  ShrinkIdle(aConnection->mBuffer);
  if (idle.size() < kMaxIdlePerEndpoint && aConnection->mBuffer.size() == 0) {
    idle.push_back(std::move(aConnection));
  }
}

void
HttpClient::Impl::ForgetUnusedSince(const Endpoint& aEndpoint, Instant aTime)
{
  const auto it = mIdle.find(aEndpoint);
  if (it != mIdle.end()) {
    std::erase_if(it->second, [&](const ConnectionPtr& aConnection) {
      return aConnection->mIdleSince <= aTime;
    });
  }
}

HttpClient::HttpClient(Loop& aLoop)
  : mImpl(std::make_shared<Impl>(aLoop))
{
}

HttpClient::~HttpClient() = default;

Result<HttpStream, HttpError>
HttpClient::Open(const Endpoint& aEndpoint,
                 const HttpRequest& aRequest,
                 Duration aTimeout)
{
  HttpCallOptions options;
  options.mTimeout = aTimeout;
  options.mConnectTimeout = aTimeout;
  return Open(aEndpoint, aRequest, options);
}

Result<HttpStream, HttpError>
HttpClient::Open(const Endpoint& aEndpoint,
                 const HttpRequest& aRequest,
                 const HttpCallOptions& aOptions)
{
  const auto begin = MonotonicNow();
  const auto end = begin + aOptions.mTimeout;
  if (aOptions.mCancel != nullptr && aOptions.mCancel->IsCancelled()) {
    return HttpError{ SendState::NotSent, ErrorCode::Cancelled, "cancelled" };
  }
  auto acquired = mImpl->Acquire(aEndpoint, aOptions);
  if (!acquired) {
    return std::move(acquired).error();
  }
  auto connection = std::move(acquired).value();
  SetAckTimeout(*connection, aOptions.mAckTimeout);
  const bool isReused = connection->mIsReused;
  const auto body = BodyOf(aRequest, aOptions);
  const auto writeError =
    WriteMessage(connection->mStream,
                 SerializeMessage(ToMessage(aEndpoint, aRequest, body.size())),
                 body,
                 end);
  auto stream = std::make_unique<HttpStream::Impl>(
    mImpl, aEndpoint, std::move(connection), aOptions.mCancel);
  if (writeError) {
    stream->NoteCutRequest();
  }
  const auto echo = FindHeader(aRequest.mHeaders, aOptions.mEchoHeader);
  const auto headDeadline =
    writeError ? std::min(end, MonotonicNow() + kEarlyResponseTimeout) : end;
  bool isFirst = true;
  for (int n = 0; n <= kMaxSkippedResponses; ++n) {
    const auto code = stream->ReadHead(headDeadline);
    if (code) {
      if (isReused && CodeOf(code) == ErrorCode::Timeout) {
        mImpl->ForgetUnusedSince(aEndpoint, begin);
      }
      return MakeError(SendState::MaybeSent, writeError ? writeError : code);
    }
    if (stream->Status() < kFirstStatus || stream->Status() > kLastStatus) {
      return HttpError{ SendState::MaybeSent,
                        ErrorCode::Corrupt,
                        "status of the response is out of range: " +
                          std::to_string(stream->Status()) };
    }
    if (stream->Status() < kFirstFinalStatus) {
      if (auto ok = stream->SkipResponse(end); !ok) {
        return ToError(ok.error());
      }
      continue;
    }
    const auto value = FindHeader(stream->Headers(), aOptions.mEchoHeader);
    // A response without the header is accepted only as the first one on a new
    // connection.
    const bool isOwn = value.empty() ? !isReused && isFirst : value == echo;
    isFirst = false;
    if (aOptions.mEchoHeader.empty() || isOwn) {
      stream->ReleaseWhenDone();
      return HttpStream(std::move(stream));
    }
    if (auto ok = stream->SkipResponse(end); !ok) {
      return HttpError{ SendState::MaybeSent,
                        ErrorCode::Corrupt,
                        "response to another request" };
    }
  }
  return HttpError{ SendState::MaybeSent,
                    ErrorCode::Corrupt,
                    "too many responses that are not the final one" };
}

ConnectOutcome
HttpClient::Impl::Probe(const Endpoint& aEndpoint, Duration aTimeout)
{
  beast::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mHost, ec);
  if (ec) {
    return ConnectOutcome::Unknown;
  }
  beast::tcp_stream stream(mLoop.Internals().Context());
  stream.expires_after(aTimeout);
  std::tie(ec) =
    stream.async_connect(tcp::endpoint(address, aEndpoint.mPort), kUseFiber);
  if (!ec) {
    return ConnectOutcome::Accepted;
  }
  if (ec == asio::error::connection_refused) {
    return ConnectOutcome::Refused;
  }
  return ec == beast::error::timeout ? ConnectOutcome::Silent
                                     : ConnectOutcome::Unknown;
}

ConnectOutcome
HttpClient::Probe(const Endpoint& aEndpoint, Duration aTimeout)
{
  return mImpl->Probe(aEndpoint, aTimeout);
}

void
HttpClient::Forget(const Endpoint& aEndpoint)
{
  mImpl->Forget(aEndpoint);
}

Result<HttpResponse, HttpError>
HttpClient::Call(const Endpoint& aEndpoint,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 std::size_t aMaxBodyBytes)
{
  return Call(
    aEndpoint, aRequest, AnswerLimits::Within(aTimeout), aMaxBodyBytes);
}

Result<HttpResponse, HttpError>
HttpClient::Call(const Endpoint& aEndpoint,
                 const HttpRequest& aRequest,
                 const AnswerLimits& aLimits,
                 std::size_t aMaxBodyBytes)
{
  const auto begin = MonotonicNow();
  const auto end = begin + aLimits.mWhole;
  HttpCallOptions options;
  options.mTimeout = aLimits.mBegin;
  options.mConnectTimeout = aLimits.mBegin;
  // After the timeout the kernel no longer sends the request either, even if
  // the process is suspended then and can't close the connection.
  options.mAckTimeout = aLimits.mBegin;
  auto opened = Open(aEndpoint, aRequest, options);
  if (!opened) {
    return std::move(opened).error();
  }
  HttpStream stream = std::move(opened).value();
  HttpResponse response;
  response.mStatus = stream.Status();
  response.mHeaders = stream.Headers();
  BodyBuffer body(mImpl->Memory(), aMaxBodyBytes);
  while (true) {
    auto piece = stream.Read(std::min(end, MonotonicNow() + aLimits.mSilence));
    if (!piece) {
      if (piece.error().mCode == ErrorCode::Timeout) {
        mImpl->ForgetUnusedSince(aEndpoint, begin);
      }
      return ToError(piece.error());
    }
    if (!piece.value().has_value()) {
      response.mBody = body.Take();
      return response;
    }
    if (auto ok = body.Append(*piece.value()); !ok) {
      return ToError(ok.error());
    }
  }
}

} // namespace bilberrytrail
