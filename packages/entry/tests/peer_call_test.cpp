#include "peer_call.h"

#include <bilberrytrail/runtime/loop.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

// Guards against calls to another daemon that arrive long after they were given
// up.
TEST_CASE("a call to a peer that times out resets its connection")
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
    context, { boost::asio::ip::address_v4::loopback(), 0 });
  PeerAddress peer;
  peer.mEndpoint = { "127.0.0.1", acceptor.local_endpoint().port() };
  boost::system::error_code ec;
  std::thread server([&] {
    auto socket = acceptor.accept();
    std::string text;
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
  });
  Loop loop;
  loop.Spawn([&] {
    HttpPeerTransport transport(loop);
    CHECK_FALSE(
      CallPeer(transport, peer, "any", Json::object(), 200ms).has_value());
    loop.Stop();
  });
  loop.Run();
  server.join();
  CHECK(ec == boost::asio::error::connection_reset);
}
