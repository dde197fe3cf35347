#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

using namespace bilberrytrail;

namespace {

using boost::asio::ip::tcp;

// How a caller gives a request up.
enum class GiveUp : unsigned char
{
  CallTimesOut,
  OpenTimesOut,
  Cancels,
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
