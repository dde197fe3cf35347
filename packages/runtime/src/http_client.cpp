#include "loop_impl.h"
#include "quick_write.h"
#include "socket_state.h"
#include "use_fiber.h"

#include <bilberrytrail/runtime/http_client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <map>
#include <tuple>

namespace bilberrytrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BodyParser = http::response_parser<http::buffer_body>;

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 256 * 1024 * 1024;
constexpr std::size_t kMaxIdlePerEndpoint = 64;

// One connection with the bytes read ahead on it.
struct Connection
{
  explicit Connection(asio::io_context& aContext)
    : mStream(aContext)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer;
};

ErrorCode
CodeOf(const beast::error_code& aCode)
{
  if (aCode == beast::error::timeout) {
    return ErrorCode::Timeout;
  }
  if (aCode == asio::error::operation_aborted) {
    return ErrorCode::Cancelled;
  }
  return ErrorCode::Unavailable;
}

HttpError
MakeError(SendState aSent, const beast::error_code& aCode)
{
  return HttpError{ aSent, CodeOf(aCode), aCode.message() };
}

http::request<http::string_body>
ToMessage(const Endpoint& aEndpoint, const HttpRequest& aRequest)
{
  http::request<http::string_body> message;
  message.method_string(aRequest.mMethod);
  message.target(aRequest.mTarget);
  message.version(11);
  message.set(http::field::host, ToText(aEndpoint));
  for (const auto& header : aRequest.mHeaders) {
    message.insert(header.mName, header.mValue);
  }
  message.body() = aRequest.mBody;
  message.prepare_payload();
  return message;
}

} // namespace

class HttpClient::Impl
{
public:
  using ConnectionPtr = std::unique_ptr<Connection>;

  explicit Impl(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  // Returns a kept connection that is still open, or a new one.
  Result<ConnectionPtr, HttpError> Acquire(const Endpoint& aEndpoint,
                                           Duration aTimeout);
  // Keeps a connection whose last exchange ended cleanly.
  void Release(const Endpoint& aEndpoint, ConnectionPtr aConnection);

private:
  ConnectionPtr TakeIdle(const Endpoint& aEndpoint);

  Loop& mLoop;
  std::map<Endpoint, std::vector<ConnectionPtr>> mIdle;
};

HttpClient::Impl::ConnectionPtr
HttpClient::Impl::TakeIdle(const Endpoint& aEndpoint)
{
  auto& idle = mIdle[aEndpoint];
  while (!idle.empty()) {
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    const int handle = connection->mStream.socket().native_handle();
    if (PeekSocket(handle) == SocketState::Quiet) {
      return connection;
    }
  }
  return nullptr;
}

Result<HttpClient::Impl::ConnectionPtr, HttpError>
HttpClient::Impl::Acquire(const Endpoint& aEndpoint, Duration aTimeout)
{
  if (auto connection = TakeIdle(aEndpoint)) {
    return connection;
  }
  beast::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mHost, ec);
  if (ec) {
    return HttpError{ SendState::NotSent,
                      ErrorCode::InvalidInput,
                      "not an IP number: " + aEndpoint.mHost };
  }
  auto connection = std::make_unique<Connection>(mLoop.Internals().Context());
  connection->mStream.expires_after(aTimeout);
  std::tie(ec) = connection->mStream.async_connect(
    tcp::endpoint(address, aEndpoint.mPort), kUseFiber);
  if (ec) {
    return MakeError(SendState::NotSent, ec);
  }
  connection->mStream.socket().set_option(tcp::no_delay(true), ec);
  return connection;
}

void
HttpClient::Impl::Release(const Endpoint& aEndpoint, ConnectionPtr aConnection)
{
  auto& idle = mIdle[aEndpoint];
  aConnection->mStream.expires_never();
  if (idle.size() < kMaxIdlePerEndpoint && aConnection->mBuffer.size() == 0) {
    idle.push_back(std::move(aConnection));
  }
}

class HttpStream::Impl
{
public:
  Impl(std::shared_ptr<HttpClient::Impl> aClient,
       Endpoint aEndpoint,
       std::unique_ptr<Connection> aConnection)
    : mClient(std::move(aClient))
    , mEndpoint(std::move(aEndpoint))
    , mConnection(std::move(aConnection))
  {
    mParser.body_limit(kMaxBodyBytes);
  }

  [[nodiscard]] unsigned Status() const noexcept { return mStatus; }
  [[nodiscard]] const HttpHeaders& Headers() const noexcept { return mHeaders; }

  beast::error_code ReadHead(Duration aTimeout);
  Result<std::optional<std::string>> Read(Duration aTimeout);
  Result<std::optional<std::string>> ReadLine(Duration aTimeout);
  void Cancel();

private:
  void ReleaseWhenDone();

  std::shared_ptr<HttpClient::Impl> mClient;
  Endpoint mEndpoint;
  std::unique_ptr<Connection> mConnection;
  BodyParser mParser;
  unsigned mStatus = 0;
  HttpHeaders mHeaders;
  std::string mLines;
};

beast::error_code
HttpStream::Impl::ReadHead(Duration aTimeout)
{
  mConnection->mStream.expires_after(aTimeout);
  const auto [ec, n] = http::async_read_header(
    mConnection->mStream, mConnection->mBuffer, mParser, kUseFiber);
  if (ec) {
    mConnection.reset();
    return ec;
  }
  mStatus = mParser.get().result_int();
  for (const auto& field : mParser.get()) {
    mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  ReleaseWhenDone();
  return {};
}

void
HttpStream::Impl::ReleaseWhenDone()
{
  if (mParser.is_done() && mConnection != nullptr) {
    if (mParser.keep_alive()) {
      mClient->Release(mEndpoint, std::move(mConnection));
    }
    mConnection.reset();
  }
}

Result<std::optional<std::string>>
HttpStream::Impl::Read(Duration aTimeout)
{
  if (mParser.is_done()) {
    return std::optional<std::string>();
  }
  if (mConnection == nullptr) {
    return Fail(ErrorCode::Unavailable, "connection is closed");
  }
  std::array<char, kReadBytes> buf{};
  mConnection->mStream.expires_after(aTimeout);
  while (true) {
    auto& body = mParser.get().body();
    body.data = buf.data();
    body.size = buf.size();
    auto [ec, n] = http::async_read_some(
      mConnection->mStream, mConnection->mBuffer, mParser, kUseFiber);
    const std::size_t filled = buf.size() - body.size;
    if (ec && ec != http::error::need_buffer) {
      mConnection.reset();
      return Fail(CodeOf(ec), "response cut: " + ec.message());
    }
    if (filled > 0) {
      ReleaseWhenDone();
      return std::optional<std::string>(std::string(buf.data(), filled));
    }
    if (mParser.is_done()) {
      ReleaseWhenDone();
      return std::optional<std::string>();
    }
  }
}

Result<std::optional<std::string>>
HttpStream::Impl::ReadLine(Duration aTimeout)
{
  while (true) {
    const auto end = mLines.find('\n');
    if (end != std::string::npos) {
      std::string line = mLines.substr(0, end);
      mLines.erase(0, end + 1);
      return std::optional<std::string>(std::move(line));
    }
    auto piece = Read(aTimeout);
    if (!piece) {
      return std::move(piece).error();
    }
    if (!piece.value().has_value()) {
      if (!mLines.empty()) {
        return Fail(ErrorCode::Corrupt, "response ends within a line");
      }
      return std::optional<std::string>();
    }
    mLines += *piece.value();
  }
}

// The connection itself is released by the read that fails.
void
HttpStream::Impl::Cancel()
{
  if (mConnection != nullptr) {
    mConnection->mStream.close();
  }
}

HttpStream::HttpStream(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

HttpStream::~HttpStream() = default;
HttpStream::HttpStream(HttpStream&&) noexcept = default;
HttpStream&
HttpStream::operator=(HttpStream&&) noexcept = default;

unsigned
HttpStream::Status() const noexcept
{
  return mImpl->Status();
}

const HttpHeaders&
HttpStream::Headers() const noexcept
{
  return mImpl->Headers();
}

Result<std::optional<std::string>>
HttpStream::Read(Duration aTimeout)
{
  return mImpl->Read(aTimeout);
}

Result<std::optional<std::string>>
HttpStream::ReadLine(Duration aTimeout)
{
  return mImpl->ReadLine(aTimeout);
}

void
HttpStream::Cancel()
{
  mImpl->Cancel();
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
  const auto end = MonotonicNow() + aTimeout;
  auto acquired = mImpl->Acquire(aEndpoint, aTimeout);
  if (!acquired) {
    return std::move(acquired).error();
  }
  auto connection = std::move(acquired).value();
  const auto text = TextOf(ToMessage(aEndpoint, aRequest));
  if (const auto ec = WriteAll(connection->mStream, text, aTimeout)) {
    return MakeError(SendState::MaybeSent, ec);
  }
  auto stream =
    std::make_unique<HttpStream::Impl>(mImpl, aEndpoint, std::move(connection));
  const auto left = std::max<Duration>(end - MonotonicNow(), 1ms);
  if (const auto code = stream->ReadHead(left)) {
    return MakeError(SendState::MaybeSent, code);
  }
  return HttpStream(std::move(stream));
}

Result<HttpResponse, HttpError>
HttpClient::Call(const Endpoint& aEndpoint,
                 const HttpRequest& aRequest,
                 Duration aTimeout)
{
  const auto end = MonotonicNow() + aTimeout;
  auto opened = Open(aEndpoint, aRequest, aTimeout);
  if (!opened) {
    return std::move(opened).error();
  }
  HttpStream stream = std::move(opened).value();
  HttpResponse response;
  response.mStatus = stream.Status();
  response.mHeaders = stream.Headers();
  while (true) {
    const auto left = std::max<Duration>(end - MonotonicNow(), 1ms);
    auto piece = stream.Read(left);
    if (!piece) {
      auto& error = piece.error();
      return HttpError{ SendState::MaybeSent, error.mCode, error.mMessage };
    }
    if (!piece.value().has_value()) {
      return response;
    }
    response.mBody += *piece.value();
  }
}

} // namespace bilberrytrail
