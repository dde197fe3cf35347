#include "http_responder_impl.h"

#include "socket_state.h"
#include "socket_write.h"

#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <utility>

namespace bilberrytrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

Error
PeerGone(const beast::error_code& aCode)
{
  return Fail(ErrorCode::Unavailable,
              "cannot write response to peer: " + aCode.message());
}

// Returns whether a response with this status may have a body.
bool
MayHaveBody(unsigned aStatus)
{
  return http::to_status_class(aStatus) != http::status_class::informational &&
         aStatus != static_cast<unsigned>(http::status::no_content) &&
         aStatus != static_cast<unsigned>(http::status::not_modified);
}

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kLastChunk = "0\r\n\r\n";

// Returns the data as one chunk of the chunked transfer encoding. Reserves
// space for a last chunk to be appended.
std::string
Chunk(std::string_view aData)
{
  constexpr int kHexadecimal = 16;
  std::array<char, kHexadecimal> size{};
  const auto end = std::to_chars(
    size.data(), size.data() + size.size(), aData.size(), kHexadecimal);
  std::string chunk;
  chunk.reserve(aData.size() + size.size() + 2 * kLineEnd.size() +
                kLastChunk.size());
  chunk.append(size.data(), end.ptr).append(kLineEnd);
  return chunk.append(aData).append(kLineEnd);
}

} // namespace

HttpResponderImpl::HttpResponderImpl(beast::tcp_stream& aStream,
                                     const HttpLimits& aLimits,
                                     bool aKeepAlive)
  : mStream(aStream)
  , mLimits(aLimits)
  , mKeepAlive(aKeepAlive)
{
}

template<class Message>
void
HttpResponderImpl::Prepare(Message& aMessage,
                           unsigned aStatus,
                           const HttpHeaders& aHeaders)
{
  aMessage.result(aStatus);
  aMessage.version(11);
  aMessage.keep_alive(mKeepAlive);
  for (const auto& header : aHeaders) {
    aMessage.insert(header.mName, header.mValue);
  }
}

Result<void>
HttpResponderImpl::CheckWrite(const beast::error_code& aCode)
{
  if (aCode) {
    mKeepAlive = false;
    return PeerGone(aCode);
  }
  return Ok();
}

Result<void>
HttpResponderImpl::Finish(const beast::error_code& aCode)
{
  mComplete = !aCode;
  return CheckWrite(aCode);
}

bool
HttpResponderImpl::IsPeerOpen() noexcept
{
  return mStream.socket().is_open() &&
         PeekSocket(mStream.socket().native_handle()) != SocketState::Closed;
}

void
HttpResponderImpl::OnPeerClosed(const std::function<void()>& aCallback)
{
  mOnPeerClosed = std::make_shared<std::function<void()>>(aCallback);
  auto& socket = mStream.socket();
  socket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [callback = mOnPeerClosed,
     handle = socket.native_handle()](const beast::error_code& aCode) {
      if (!aCode && *callback && PeekSocket(handle) == SocketState::Closed) {
        (*callback)();
      }
    });
}

void
HttpResponderImpl::StopWatching()
{
  if (mOnPeerClosed != nullptr) {
    *mOnPeerClosed = nullptr;
    mOnPeerClosed.reset();
    beast::error_code ec;
    mStream.socket().cancel(ec);
  }
}

Result<void>
HttpResponderImpl::Send(HttpResponse aResponse)
{
  mBegun = true;
  // Discards the head of a chunked response of which nothing has been sent.
  mHead.clear();
  if (!MayHaveBody(aResponse.mStatus)) {
    aResponse.mBody.clear();
  }
  http::response<http::empty_body> head;
  Prepare(head, aResponse.mStatus, aResponse.mHeaders);
  head.erase(http::field::transfer_encoding);
  head.content_length(aResponse.mBody.size());
  return Finish(WriteMessage(
    mStream, SerializeMessage(head), aResponse.mBody, WriteDeadline()));
}

void
HttpResponderImpl::PrepareHead(unsigned aStatus, const HttpHeaders& aHeaders)
{
  mBegun = true;
  http::response<http::empty_body> response;
  Prepare(response, aStatus, aHeaders);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  serializer.split(true);
  beast::error_code ec;
  serializer.next(ec, [&](auto& /*aCode*/, const auto& aBuffers) {
    mHead = beast::buffers_to_string(aBuffers);
  });
}

beast::error_code
HttpResponderImpl::Write(std::string_view aText)
{
  if (mHead.empty()) {
    return WriteAll(mStream, aText, WriteDeadline());
  }
  const std::string text = std::exchange(mHead, {}).append(aText);
  return WriteAll(mStream, text, WriteDeadline());
}

Result<void>
HttpResponderImpl::BeginStream(unsigned aStatus, HttpHeaders aHeaders)
{
  PrepareHead(aStatus, aHeaders);
  return CheckWrite(Write({}));
}

Result<void>
HttpResponderImpl::BeginStreamLater(unsigned aStatus, HttpHeaders aHeaders)
{
  PrepareHead(aStatus, aHeaders);
  return Ok();
}

Result<void>
HttpResponderImpl::WriteChunk(std::string_view aData)
{
  return aData.empty() ? Ok() : CheckWrite(Write(Chunk(aData)));
}

Result<void>
HttpResponderImpl::EndStream()
{
  return Finish(Write(kLastChunk));
}

Result<void>
HttpResponderImpl::EndStreamWith(std::string_view aData)
{
  if (aData.empty()) {
    return EndStream();
  }
  return Finish(Write(Chunk(aData).append(kLastChunk)));
}

void
HttpResponderImpl::Cut()
{
  if (!mHead.empty() && Write({})) {
    mStream.close();
  }
  mBegun = true;
  mKeepAlive = false;
  beast::error_code ec;
  mStream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ec);
  mStream.socket().close(ec);
}

void
HttpResponderImpl::Abort()
{
  mBegun = true;
  mKeepAlive = false;
  beast::error_code ec;
  mStream.socket().set_option(asio::socket_base::linger(true, 0), ec);
  mStream.socket().close(ec);
}

} // namespace bilberrytrail
