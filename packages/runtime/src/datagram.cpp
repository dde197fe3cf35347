#include "loop_impl.h"
#include "use_fiber.h"

#include <bilberrytrail/runtime/datagram.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/udp.hpp>

#include <vector>

namespace bilberrytrail {

namespace {

using boost::asio::ip::udp;

constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

} // namespace

class DatagramSocket::Impl
{
public:
  explicit Impl(boost::asio::io_context& aContext)
    : mSocket(aContext)
    , mBuffer(kMaxDatagramBytes)
  {
  }

  udp::socket mSocket;
  std::vector<char> mBuffer;
};

DatagramSocket::DatagramSocket(Loop& aLoop)
  : mImpl(std::make_unique<Impl>(aLoop.Internals().Context()))
{
}

DatagramSocket::~DatagramSocket() = default;

Result<std::uint16_t>
DatagramSocket::Bind(const Endpoint& aEndpoint)
{
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(aEndpoint.mHost, ec);
  const udp::endpoint endpoint(address, aEndpoint.mPort);
  if (!ec) {
    mImpl->mSocket.open(endpoint.protocol(), ec);
  }
  if (!ec) {
    mImpl->mSocket.bind(endpoint, ec);
  }
  if (!ec) {
    mImpl->mSocket.non_blocking(true, ec);
  }
  if (ec) {
    boost::system::error_code ignored;
    mImpl->mSocket.close(ignored);
    return Fail(ErrorCode::Unavailable,
                "cannot bind " + ToText(aEndpoint) + ": " + ec.message());
  }
  return mImpl->mSocket.local_endpoint().port();
}

Result<Datagram>
DatagramSocket::Receive()
{
  while (true) {
    udp::endpoint from;
    const auto [ec, n] = mImpl->mSocket.async_receive_from(
      boost::asio::buffer(mImpl->mBuffer), from, kUseFiber);
    if (ec == boost::asio::error::operation_aborted) {
      return Fail(ErrorCode::Cancelled,
                  "datagram receive cancelled: loop stopped or socket closed");
    }
    if (!ec) {
      return Datagram{ { from.address().to_string(), from.port() },
                       std::string(mImpl->mBuffer.data(), n) };
    }
  }
}

void
DatagramSocket::Send(const Endpoint& aTo, std::string_view aBody)
{
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(aTo.mHost, ec);
  if (!ec) {
    mImpl->mSocket.send_to(boost::asio::buffer(aBody.data(), aBody.size()),
                           udp::endpoint(address, aTo.mPort),
                           0,
                           ec);
  }
}

} // namespace bilberrytrail
