#include "loop_impl.h"
#include "socket_state.h"
#include "socket_write.h"
#include "use_fiber.h"

#include <bilberrytrail/runtime/http_client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <array>
#include <charconv>
#include <map>
#include <tuple>

namespace bilberrytrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using BodyParser = http::response_parser<http::buffer_body>;

constexpr std::size_t kReadBufferBytes = 16 * 1024;
// Largest body that is read piece by piece.
constexpr std::size_t kMaxBodyBytes = 256 * 1024 * 1024;
// Longest line of a body that is read line by line.
constexpr std::size_t kMaxLineBytes = 8 * 1024 * 1024;
// Received bytes that are not parsed yet. Also bounds what the parser looks
// ahead for: a head, the size line of a chunk, or trailers.
constexpr std::size_t kMaxUnparsedBytes = 80 * 1024;
constexpr std::size_t kMaxIdlePerEndpoint = 64;
// Connections are dropped this long before the peer's announced idle timeout,
// because a request sent while the peer closes the connection would be lost.
constexpr Duration kIdleMargin = 400ms;
// Number of late responses to earlier requests that are dropped before the
// connection is given up.
constexpr int kMaxStaleResponses = 4;
// After a failed write, time to read a response that the peer sent before it
// stopped reading.
constexpr Duration kEarlyResponseTimeout = 20ms;

// One connection and the bytes received on it that are not parsed yet. Closing
// it resets it, also when the process is killed: otherwise the kernel goes on
// to send the bytes of a request that was given up, for minutes, and a server
// that was out of reach would get it late.
struct Connection
{
  explicit Connection(asio::io_context& aContext)
    : mStream(aContext)
  {
  }

  beast::tcp_stream mStream;
  beast::flat_buffer mBuffer{ kMaxUnparsedBytes };
  // The connection has already been used for an earlier exchange.
  bool mIsReused = false;
  Duration mAckTimeout{ 0 };
  // The idle connection is not reused from this time on, because the peer may
  // close it.
  Instant mUsableUntil = Instant::max();
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

// Returns the idle timeout in a Keep-Alive header ("timeout=5"), if any.
std::optional<Duration>
AnnouncedIdleTime(std::string_view aKeepAlive)
{
  constexpr std::string_view kName = "timeout=";
  const auto at = aKeepAlive.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto text = aKeepAlive.substr(at + kName.size());
  unsigned seconds = 0;
  const auto end =
    std::from_chars(text.data(), text.data() + text.size(), seconds);
  return end.ec == std::errc()
           ? std::optional<Duration>(std::chrono::seconds(seconds))
           : std::nullopt;
}

// Makes the connection fail when sent bytes stay unacknowledged for aTimeout. 0
// restores the default of the operating system.
void
SetAckTimeout(Connection& aConnection, Duration aTimeout)
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

class HttpClient::Impl
{
public:
  using ConnectionPtr = std::unique_ptr<Connection>;

  explicit Impl(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  // Returns an idle connection that is still usable, or opens a new one.
  Result<ConnectionPtr, HttpError> Acquire(const Endpoint& aEndpoint,
                                           const HttpCallOptions& aOptions);
  // Keeps a connection for reuse. Its last exchange must have ended cleanly.
  void Release(const Endpoint& aEndpoint, ConnectionPtr aConnection);
  [[nodiscard]] bool IsRefused(const Endpoint& aEndpoint, Duration aTimeout);
  void Forget(const Endpoint& aEndpoint) { mIdle.erase(aEndpoint); }
  [[nodiscard]] const std::shared_ptr<MemoryBudget>& Memory() const noexcept
  {
    return mLoop.MessageMemory();
  }

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
  auto connection = std::make_unique<Connection>(mLoop.Internals().Context());
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
  if (idle.size() < kMaxIdlePerEndpoint && aConnection->mBuffer.size() == 0) {
    idle.push_back(std::move(aConnection));
  }
}

class HttpStream::Impl
{
public:
  Impl(std::shared_ptr<HttpClient::Impl> aClient,
       Endpoint aEndpoint,
       std::unique_ptr<Connection> aConnection,
       HttpCancel* aCancel)
    : mClient(std::move(aClient))
    , mEndpoint(std::move(aEndpoint))
    , mConnection(std::move(aConnection))
    , mCancel(aCancel)
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

  beast::error_code ReadHead(Duration aTimeout);
  // Reads and drops this response, and prepares to read the next one on the
  // connection.
  Result<void> SkipResponse(Instant aDeadline);
  Result<std::optional<std::string>> Read(Instant aDeadline);
  Result<std::optional<std::string>> ReadLine(Instant aDeadline);
  void Cancel();
  // Prevents reuse of the connection, for a request that was not sent
  // completely.
  void ForbidReuse() noexcept { mReusable = false; }
  // Once the response has been read completely, returns the connection to the
  // client for reuse or closes it.
  void ReleaseWhenDone();

private:
  void StartResponse();
  void Detach();
  void Close();

  std::shared_ptr<HttpClient::Impl> mClient;
  Endpoint mEndpoint;
  std::unique_ptr<Connection> mConnection;
  HttpCancel* mCancel;
  std::optional<BodyParser> mParser;
  bool mSkipping = false;
  bool mReusable = true;
  unsigned mStatus = 0;
  HttpHeaders mHeaders;
  std::string mLineBuffer;
};

void
HttpStream::Impl::StartResponse()
{
  mParser.emplace();
  mParser->body_limit(kMaxBodyBytes);
  mHeaders.clear();
}

void
HttpStream::Impl::Detach()
{
  if (mCancel != nullptr) {
    mCancel->Attach(nullptr);
    mCancel = nullptr;
  }
}

void
HttpStream::Impl::Close()
{
  Detach();
  mConnection.reset();
}

Result<void>
HttpStream::Impl::SkipResponse(Instant aDeadline)
{
  if (!mParser->keep_alive()) {
    return Fail(ErrorCode::Unavailable, "connection ends before the response");
  }
  mSkipping = true;
  while (!mParser->is_done()) {
    if (auto piece = Read(aDeadline); !piece) {
      return std::move(piece).error();
    }
  }
  mSkipping = false;
  StartResponse();
  return Ok();
}

beast::error_code
HttpStream::Impl::ReadHead(Duration aTimeout)
{
  mConnection->mStream.expires_after(aTimeout);
  const auto [ec, n] = http::async_read_header(
    mConnection->mStream, mConnection->mBuffer, *mParser, kUseFiber);
  if (ec) {
    Close();
    return ec;
  }
  mStatus = mParser->get().result_int();
  for (const auto& field : mParser->get()) {
    mHeaders.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return {};
}

void
HttpStream::Impl::ReleaseWhenDone()
{
  if (!mParser->is_done() || mConnection == nullptr || mSkipping) {
    return;
  }
  Detach();
  if (mParser->keep_alive() && mReusable) {
    const auto idle = AnnouncedIdleTime(FindHeader(mHeaders, "Keep-Alive"));
    mConnection->mUsableUntil =
      idle ? MonotonicNow() + *idle - kIdleMargin : Instant::max();
    mClient->Release(mEndpoint, std::move(mConnection));
  }
  mConnection.reset();
}

Result<std::optional<std::string>>
HttpStream::Impl::Read(Instant aDeadline)
{
  if (mParser->is_done()) {
    return std::optional<std::string>();
  }
  if (mConnection == nullptr) {
    return Fail(ErrorCode::Unavailable, "connection is closed");
  }
  // Bytes that have already arrived do not count after the deadline: a peer
  // that sends without end would pass it otherwise.
  const auto left = aDeadline - MonotonicNow();
  if (left <= Duration(0)) {
    Close();
    return Fail(ErrorCode::Timeout, "response is not complete in time");
  }
  std::array<char, kReadBufferBytes> buf{};
  mConnection->mStream.expires_after(left);
  while (true) {
    auto& body = mParser->get().body();
    body.data = buf.data();
    body.size = buf.size();
    auto [ec, n] = http::async_read_some(
      mConnection->mStream, mConnection->mBuffer, *mParser, kUseFiber);
    const std::size_t filled = buf.size() - body.size;
    if (ec && ec != http::error::need_buffer) {
      Close();
      return Fail(CodeOf(ec), "response cut: " + ec.message());
    }
    if (filled > 0) {
      ReleaseWhenDone();
      return std::optional<std::string>(std::string(buf.data(), filled));
    }
    if (mParser->is_done()) {
      ReleaseWhenDone();
      return std::optional<std::string>();
    }
  }
}

Result<std::optional<std::string>>
HttpStream::Impl::ReadLine(Instant aDeadline)
{
  while (true) {
    const auto end = mLineBuffer.find('\n');
    if (end != std::string::npos) {
      std::string line = mLineBuffer.substr(0, end);
      mLineBuffer.erase(0, end + 1);
      return std::optional<std::string>(std::move(line));
    }
    if (mLineBuffer.size() > kMaxLineBytes) {
      Close();
      return Fail(ErrorCode::TooLarge, "line is too long");
    }
    auto piece = Read(aDeadline);
    if (!piece) {
      return std::move(piece).error();
    }
    if (!piece.value().has_value()) {
      if (!mLineBuffer.empty()) {
        return Fail(ErrorCode::Corrupt, "response ends within a line");
      }
      return std::optional<std::string>();
    }
    mLineBuffer += *piece.value();
  }
}

// Leaves mConnection to a pending read, which releases it when it fails.
void
HttpStream::Impl::Cancel()
{
  mCancel = nullptr;
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

bool
HttpStream::EndsWithConnection() const noexcept
{
  return mImpl->EndsWithConnection();
}

Result<std::optional<std::string>>
HttpStream::Read(Instant aDeadline)
{
  return mImpl->Read(aDeadline);
}

Result<std::optional<std::string>>
HttpStream::ReadLine(Instant aDeadline)
{
  return mImpl->ReadLine(aDeadline);
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
  const auto end = MonotonicNow() + aOptions.mTimeout;
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
                 aOptions.mTimeout);
  auto stream = std::make_unique<HttpStream::Impl>(
    mImpl, aEndpoint, std::move(connection), aOptions.mCancel);
  if (writeError) {
    stream->ForbidReuse();
  }
  const auto echo = FindHeader(aRequest.mHeaders, aOptions.mEchoHeader);
  for (int n = 0; n <= kMaxStaleResponses; ++n) {
    const Duration left = std::max<Duration>(end - MonotonicNow(), 1ms);
    const auto code = stream->ReadHead(
      writeError ? std::min(left, kEarlyResponseTimeout) : left);
    if (code) {
      return MakeError(SendState::MaybeSent, writeError ? writeError : code);
    }
    const auto value = FindHeader(stream->Headers(), aOptions.mEchoHeader);
    // A response without the header is accepted only as the first one on a new
    // connection.
    const bool isOwn = value.empty() ? !isReused && n == 0 : value == echo;
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
                    "too many responses to other requests" };
}

bool
HttpClient::Impl::IsRefused(const Endpoint& aEndpoint, Duration aTimeout)
{
  beast::error_code ec;
  const auto address = asio::ip::make_address(aEndpoint.mHost, ec);
  if (ec) {
    return false;
  }
  beast::tcp_stream stream(mLoop.Internals().Context());
  stream.expires_after(aTimeout);
  std::tie(ec) =
    stream.async_connect(tcp::endpoint(address, aEndpoint.mPort), kUseFiber);
  return ec == asio::error::connection_refused;
}

bool
HttpClient::IsRefused(const Endpoint& aEndpoint, Duration aTimeout)
{
  return mImpl->IsRefused(aEndpoint, aTimeout);
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
  const auto end = MonotonicNow() + aTimeout;
  HttpCallOptions options;
  options.mTimeout = aTimeout;
  options.mConnectTimeout = aTimeout;
  // After the timeout the kernel no longer sends the request either, even if
  // the process is suspended then and can't close the connection.
  options.mAckTimeout = aTimeout;
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
    auto piece = stream.Read(end);
    if (!piece) {
      auto& error = piece.error();
      return HttpError{ SendState::MaybeSent, error.mCode, error.mMessage };
    }
    if (!piece.value().has_value()) {
      response.mBody = body.Take();
      return response;
    }
    if (auto ok = body.Append(*piece.value()); !ok) {
      auto& error = ok.error();
      return HttpError{ SendState::MaybeSent, error.mCode, error.mMessage };
    }
  }
}

} // namespace bilberrytrail
