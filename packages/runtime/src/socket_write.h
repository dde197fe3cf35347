#pragma once

#include "use_fiber.h"

#include <bilberrytrail/base/time.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/serializer.hpp>

#include <string>
#include <string_view>
#include <tuple>

namespace bilberrytrail {

// Writes all of the text from the calling fiber. Most texts fit into the
// socket's send buffer and are written directly, without a timer and without
// suspending the fiber. Otherwise the fiber waits for the remainder to be
// written, until the deadline.
[[nodiscard]] inline boost::beast::error_code
WriteAll(boost::beast::tcp_stream& aStream,
         std::string_view aText,
         Instant aDeadline)
{
  boost::beast::error_code ec;
  auto& socket = aStream.socket();
  if (!socket.non_blocking()) {
    socket.non_blocking(true, ec);
  }
  const auto n =
    ec ? 0
       : socket.write_some(
           boost::asio::const_buffer(aText.data(), aText.size()), ec);
  if (ec && ec != boost::asio::error::would_block) {
    return ec;
  }
  aText.remove_prefix(n);
  ec.clear();
  if (!aText.empty()) {
    aStream.expires_at(aDeadline);
    std::size_t rest = 0;
    std::tie(ec, rest) = boost::asio::async_write(
      aStream,
      boost::asio::const_buffer(aText.data(), aText.size()),
      kUseFiber);
  }
  return ec;
}

// Writes a head and a body until the deadline. A large body is not copied.
[[nodiscard]] inline boost::beast::error_code
WriteMessage(boost::beast::tcp_stream& aStream,
             std::string aHead,
             std::string_view aBody,
             Instant aDeadline)
{
  constexpr std::size_t kMaxCopiedBytes = 16 * 1024;
  if (aBody.size() <= kMaxCopiedBytes) {
    return WriteAll(aStream, aHead.append(aBody), aDeadline);
  }
  const auto ec = WriteAll(aStream, aHead, aDeadline);
  return ec ? ec : WriteAll(aStream, aBody, aDeadline);
}

// Returns the HTTP/1.1 wire format of a message.
template<class Message>
[[nodiscard]] std::string
SerializeMessage(const Message& aMessage)
{
  boost::beast::http::serializer<Message::is_request::value,
                                 typename Message::body_type,
                                 typename Message::fields_type>
    serializer(aMessage);
  std::string text;
  boost::beast::error_code ec;
  while (!ec && !serializer.is_done()) {
    serializer.next(ec, [&](auto& /*aCode*/, const auto& aBuffers) {
      const auto n = boost::beast::buffer_bytes(aBuffers);
      text += boost::beast::buffers_to_string(aBuffers);
      serializer.consume(n);
    });
  }
  return text;
}

} // namespace bilberrytrail
