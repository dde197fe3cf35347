#include "http_client_impl.h"
#include "use_fiber.h"

#include <boost/beast/http.hpp>

#include <array>
#include <charconv>

namespace bilberrytrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBufferBytes = 16 * 1024;
// Largest body that is read piece by piece.
constexpr std::size_t kMaxBodyBytes = 256 * 1024 * 1024;
// Longest line of a body that is read line by line.
constexpr std::size_t kMaxLineBytes = 8 * 1024 * 1024;
// Connections are dropped this long before the peer's announced idle timeout,
// because a request sent while the peer closes the connection would be lost.
constexpr Duration kIdleMargin = 400ms;

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

} // namespace

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
HttpStream::Impl::ReadHead(Instant aDeadline)
{
  mConnection->mStream.expires_at(aDeadline);
  const auto [ec, n] = http::async_read_header(
    mConnection->mStream, mConnection->mBuffer, *mParser, kUseFiber);
  if (ec) {
    Close();
    return ec;
  }
  if (!mHeadMemory.Resize(MemoryOf(mParser->get()))) {
    Close();
    return http::error::buffer_overflow;
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
  if (mParser->keep_alive() && !mIsRequestCut) {
    const auto idle = AnnouncedIdleTime(FindHeader(mHeaders, "Keep-Alive"));
    mConnection->mUsableUntil =
      idle ? MonotonicNow() + *idle - kIdleMargin : Instant::max();
    mClient->Release(mEndpoint, std::move(mConnection));
  }
  mConnection.reset();
}

// After a failed write, a connection that the peer has reset reads as if the
// peer had closed it in order.
Result<std::optional<std::string>>
HttpStream::Impl::EndOfBody() const
{
  if (mIsRequestCut && mParser->need_eof()) {
    return Fail(ErrorCode::Unavailable,
                "response cut: connection ended before the whole request was "
                "sent");
  }
  return std::optional<std::string>();
}

Result<std::optional<std::string>>
HttpStream::Impl::Read(Instant aDeadline)
{
  if (mParser->is_done()) {
    return EndOfBody();
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
      return EndOfBody();
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

} // namespace bilberrytrail
