#include "http_responder_impl.h"

#include "socket_state.h"
#include "use_fiber.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace bilberrytrail {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

Error
PeerGone(const beast::error_code& aCode)
{
  return Fail(ErrorCode::Unavailable, "peer has gone: " + aCode.message());
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
HttpResponderImpl::Checked(const beast::error_code& aCode)
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
  return Checked(aCode);
}

bool
HttpResponderImpl::IsPeerOpen() noexcept
{
  return mStream.socket().is_open() &&
         PeekSocket(mStream.socket().native_handle()) != SocketState::Closed;
}

Result<void>
HttpResponderImpl::Send(HttpResponse aResponse)
{
  mBegun = true;
  http::response<http::string_body> response;
  Prepare(response, aResponse.mStatus, aResponse.mHeaders);
  response.body() = std::move(aResponse.mBody);
  response.prepare_payload();
  mStream.expires_after(mLimits.mWriteTime);
  const auto [ec, n] = http::async_write(mStream, response, kUseFiber);
  return Finish(ec);
}

Result<void>
HttpResponderImpl::BeginStream(unsigned aStatus, HttpHeaders aHeaders)
{
  mBegun = true;
  http::response<http::empty_body> response;
  Prepare(response, aStatus, aHeaders);
  response.chunked(true);
  http::response_serializer<http::empty_body> serializer(response);
  mStream.expires_after(mLimits.mWriteTime);
  const auto [ec, n] = http::async_write_header(mStream, serializer, kUseFiber);
  return Checked(ec);
}

Result<void>
HttpResponderImpl::WriteChunk(std::string_view aData)
{
  if (aData.empty()) {
    return Ok();
  }
  mStream.expires_after(mLimits.mWriteTime);
  const auto [ec, n] = asio::async_write(
    mStream,
    http::make_chunk(asio::const_buffer(aData.data(), aData.size())),
    kUseFiber);
  return Checked(ec);
}

Result<void>
HttpResponderImpl::EndStream()
{
  mStream.expires_after(mLimits.mWriteTime);
  const auto [ec, n] =
    asio::async_write(mStream, http::make_chunk_last(), kUseFiber);
  return Finish(ec);
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
