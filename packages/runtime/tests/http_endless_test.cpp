#include "endless_peer.h"

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/memory_budget.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace bilberrytrail;

namespace {

// Large enough not to end a message before its own bounds do.
constexpr std::size_t kBudgetBytes = 1024 * 1024 * 1024;

// Sends a begin, and then the same piece again and again until the server
// closes the connection, for aTime at most.
void
SendWithoutEnd(std::uint16_t aPort,
               const std::string& aBegin,
               const std::string& aPiece,
               Duration aTime)
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({ boost::asio::ip::address_v4::loopback(), aPort });
  boost::system::error_code ec;
  const auto end = MonotonicNow() + aTime;
  boost::asio::write(socket, boost::asio::buffer(aBegin), ec);
  while (!ec && MonotonicNow() < end) {
    boost::asio::write(socket, boost::asio::buffer(aPiece), ec);
  }
}

class OkHandler final : public HttpHandler
{
public:
  void Handle(const HttpRequest& /*aRequest*/,
              HttpResponder& aResponder) override
  {
    (void)aResponder.Send({ 200, {}, {} });
  }
};

} // namespace

// Guards against a peer whose answer never ends, in its head or its body: it
// filled the memory of the caller, or kept the call waiting past its timeout.
TEST_CASE("a call ends in time and reads a bounded part of an endless answer")
{
  struct Row
  {
    const char* mName;
    std::string mBegin;
    std::string mPiece;
    Duration mPause;
  };
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(0x8000, 'x');
  const std::vector<Row> rows{
    { "chunks, fast", chunked, "8000\r\n" + block + "\r\n", 0ms },
    { "chunks, slow", chunked, "1\r\nx\r\n", 1ms },
    { "no length, fast", head + "\r\n", block, 0ms },
    { "no length, slow", head + "\r\n", "x", 1ms },
    { "length, fast", head + "Content-Length: 200000000\r\n\r\n", block, 0ms },
    { "head, fast", head, "X-Field: x\r\n", 0ms },
    { "head, slow", head, "X-Field: x\r\n", 10ms },
    { "one field, fast", head + "X-Field: ", block, 0ms },
    { "size of a chunk, fast", chunked + "1;x=", block, 0ms },
    { "trailers, fast", chunked + "0\r\n", "X-Field: x\r\n", 0ms },
    { "no answer, fast", "", block, 0ms },
    { "interim answers, fast", "", "HTTP/1.1 100 Continue\r\n\r\n", 0ms },
  };
  constexpr Duration kTimeout = 300ms;
  // A body that Call reads, and what the sockets hold.
  constexpr std::size_t kMostBytes = 32 * 1024 * 1024;
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    EndlessPeer peer(row.mBegin, row.mPiece, row.mPause);
    Loop loop;
    loop.SetMessageMemory(std::make_shared<MemoryBudget>(kBudgetBytes));
    Duration took{};
    bool hasFailed = false;
    loop.Spawn([&] {
      HttpClient client(loop);
      const auto start = MonotonicNow();
      const auto response =
        client.Call(peer.Address(), HttpRequest(), kTimeout);
      took = MonotonicNow() - start;
      hasFailed = !response;
      loop.Stop();
    });
    loop.Run();
    CHECK(hasFailed);
    CHECK(took < kTimeout + 500ms);
    CHECK(peer.Written() < kMostBytes);
  }
}

// Guards against a peer that reads nothing: each write had the whole timeout.
TEST_CASE("a request that its peer does not read ends at its deadline")
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
    context, { boost::asio::ip::address_v4::loopback(), 0 });
  const Endpoint peer{ "127.0.0.1", acceptor.local_endpoint().port() };
  Loop loop;
  loop.Spawn([&] {
    HttpClient client(loop);
    HttpRequest request{ "POST", "/", {}, {} };
    // More than the buffers of both sockets hold.
    request.mBody.resize(30'000'000, 'x');
    const auto start = MonotonicNow();
    CHECK_FALSE(client.Open(peer, request, 300ms).has_value());
    CHECK(MonotonicNow() - start < 1s);
    loop.Stop();
  });
  loop.Run();
}

// Guards against a body that is read past the limit of its call.
TEST_CASE("a call fails when a body exceeds its limit")
{
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string block(0x8000, 'x');
  constexpr std::size_t kLimit = 100'000;
  for (const auto& [begin, piece] :
       { std::pair{ head + "Transfer-Encoding: chunked\r\n\r\n",
                    "8000\r\n" + block + "\r\n" },
         std::pair{ head + "\r\n", block },
         std::pair{ head + "Content-Length: 200000000\r\n\r\n", block } }) {
    EndlessPeer peer(begin, piece, 0ms);
    Loop loop;
    loop.SetMessageMemory(std::make_shared<MemoryBudget>(kBudgetBytes));
    loop.Spawn([&] {
      HttpClient client(loop);
      const auto response =
        client.Call(peer.Address(), HttpRequest(), 5s, kLimit);
      CHECK_FALSE(response.has_value());
      if (!response) {
        CHECK(response.error().mCode == ErrorCode::TooLarge);
      }
      loop.Stop();
    });
    loop.Run();
  }
}

// Guards against a caller whose request never ends, in its head or its body: it
// filled the memory of the daemon.
TEST_CASE("a request without end takes a bounded part of the memory")
{
  struct Row
  {
    const char* mName;
    std::string mBegin;
    std::string mPiece;
  };
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
  const auto chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string block(0x8000, 'x');
  const std::vector<Row> rows{
    { "head", head, "X-Field: x\r\n" },
    { "one field", head + "X-Field: ", block },
    { "size of a chunk", chunked + "1;x=", block },
    { "trailers", chunked + "0\r\n", "X-Field: x\r\n" },
    { "chunks", chunked, "8000\r\n" + block + "\r\n" },
    { "no request", "", block },
  };
  constexpr std::size_t kMostBytes = 1024 * 1024;
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    Loop loop;
    const auto budget = std::make_shared<MemoryBudget>(kBudgetBytes);
    loop.SetMessageMemory(budget);
    HttpLimits limits;
    limits.mBodyBytes = kMostBytes / 4;
    OkHandler handler;
    HttpServer server(loop, limits);
    const auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.has_value());
    server.Serve(handler);
    std::size_t most = 0;
    loop.Spawn([&] {
      while (loop.Sleep(1ms)) {
        most = std::max(most, budget->UsedBytes());
      }
    });
    std::thread caller([&] {
      SendWithoutEnd(port.value(), row.mBegin, row.mPiece, 400ms);
      loop.Stop();
    });
    loop.Run();
    caller.join();
    CHECK(most > 0);
    CHECK(most < kMostBytes);
  }
}
