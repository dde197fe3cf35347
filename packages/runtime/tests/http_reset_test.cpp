#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <thread>
#include <vector>

using namespace bilberrytrail;

namespace {

using boost::asio::ip::tcp;

// How a caller gives a request up.
enum class GiveUp : unsigned char
{
  CallTimesOut,
  OpenTimesOut,
  Cancels,
  LoopStops,
  Exits,
  IsKilled
};

// Sends a request that gets no answer, and gives it up as told.
void
SendAndGiveUp(const Endpoint& aPeer, GiveUp aHow)
{
  Loop loop;
  loop.Spawn([&] {
    HttpClient client(loop);
    const HttpRequest request{ "POST", "/order", {}, "body" };
    HttpCancel cancel;
    HttpCallOptions options;
    options.mTimeout = aHow == GiveUp::OpenTimesOut ? 200ms : 10s;
    options.mCancel = &cancel;
    if (aHow == GiveUp::CallTimesOut) {
      CHECK_FALSE(client.Call(aPeer, request, 200ms).has_value());
    } else {
      loop.Spawn([&] {
        (void)loop.Sleep(200ms);
        if (aHow == GiveUp::Cancels) {
          cancel.Cancel();
        } else if (aHow == GiveUp::LoopStops) {
          loop.Stop();
        } else if (aHow == GiveUp::Exits) {
          std::_Exit(0);
        }
      });
      CHECK_FALSE(client.Open(aPeer, request, options).has_value());
    }
    loop.Stop();
  });
  loop.Run();
}

} // namespace

// Guards against requests that reach a server long after they were given up,
// since the kernel sends them again when a link that was cut has healed.
TEST_CASE("a connection whose request is given up is reset")
{
  struct Row
  {
    const char* mName;
    GiveUp mHow;
  };
  for (const Row& row : { Row{ "a call times out", GiveUp::CallTimesOut },
                          Row{ "an open times out", GiveUp::OpenTimesOut },
                          Row{ "a caller cancels", GiveUp::Cancels },
                          Row{ "the loop stops", GiveUp::LoopStops },
                          Row{ "the process exits", GiveUp::Exits },
                          Row{ "the process is killed", GiveUp::IsKilled } }) {
    CAPTURE(std::string(row.mName));
    boost::asio::io_context context;
    tcp::acceptor acceptor(context,
                           { boost::asio::ip::address_v4::loopback(), 0 });
    const Endpoint peer{ "127.0.0.1", acceptor.local_endpoint().port() };
    const pid_t child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
      acceptor.close();
      SendAndGiveUp(peer, row.mHow);
      ::_exit(0);
    }
    auto socket = acceptor.accept();
    boost::system::error_code ec;
    std::string text;
    boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", ec);
    CHECK_FALSE(ec);
    if (row.mHow == GiveUp::IsKilled) {
      ::kill(child, SIGKILL);
    }
    boost::asio::read(socket, boost::asio::dynamic_buffer(text), ec);
    CHECK(ec == boost::asio::error::connection_reset);
    int status = 0;
    CHECK(::waitpid(child, &status, 0) == child);
  }
}

// Guards against a request that is sent on while its process is suspended and
// can't close the connection.
TEST_CASE("the kernel gives a request up when its process is suspended")
{
  boost::asio::io_context context;
  tcp::acceptor acceptor(context,
                         { boost::asio::ip::address_v4::loopback(), 0 });
  const Endpoint peer{ "127.0.0.1", acceptor.local_endpoint().port() };
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    acceptor.close();
    Loop loop;
    loop.Spawn([&] {
      HttpClient client(loop);
      // More than the buffers of both sockets hold.
      std::string body;
      body.resize(30'000'000, 'x');
      const HttpRequest request{ "POST", "/order", {}, std::move(body) };
      (void)client.Call(peer, request, 600ms);
    });
    loop.Run();
    ::_exit(0);
  }
  auto socket = acceptor.accept();
  std::this_thread::sleep_for(200ms);
  ::kill(child, SIGSTOP);
  // The peer reads nothing until the time of the call is over.
  std::this_thread::sleep_for(4s);
  boost::system::error_code ec;
  std::size_t bytes = 0;
  const auto end = std::chrono::steady_clock::now() + 3s;
  socket.non_blocking(true);
  std::vector<char> buf(1 << 20);
  while (std::chrono::steady_clock::now() < end &&
         (!ec || ec == boost::asio::error::would_block)) {
    bytes += socket.read_some(boost::asio::buffer(buf), ec);
  }
  CHECK(ec == boost::asio::error::connection_reset);
  CHECK(bytes < 30'000'000);
  ::kill(child, SIGKILL);
  int status = 0;
  CHECK(::waitpid(child, &status, 0) == child);
}
