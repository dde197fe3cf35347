#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

namespace {

using boost::asio::ip::tcp;

// Records the targets of the requests that it answers.
class RecordingHandler final : public HttpHandler
{
public:
  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override
  {
    mTargets.push_back(aRequest.mTarget);
    (void)aResponder.Send({ 200, {}, aRequest.mBody });
  }

  std::vector<std::string> mTargets;
};

// Sends the text and returns all that the server answers until it closes.
std::string
Exchange(std::uint16_t aPort, const std::string& aText)
{
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({ boost::asio::ip::address_v4::loopback(), aPort });
  boost::asio::write(socket, boost::asio::buffer(aText));
  boost::system::error_code ec;
  socket.shutdown(tcp::socket::shutdown_send, ec);
  std::string answer;
  boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ec);
  return answer;
}

} // namespace

// Guards against a request inside the body of another one: with a coding that
// hides the length of the body it was run as a request of its own.
TEST_CASE("a request with an unknown transfer coding is refused and ends its "
          "connection")
{
  struct Row
  {
    const char* mHeaders;
    unsigned mStatus;
    std::vector<std::string> mTargets;
  };
  const std::string inner = "POST /inner HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 0\r\n\r\n";
  const std::vector<std::string> both{ "/outer", "/inner" };
  const std::vector<Row> rows{
    { "Transfer-Encoding: identity\r\n", 400, {} },
    { "Transfer-Encoding: gzip\r\n", 400, {} },
    { "Transfer-Encoding: chunked, identity\r\n", 400, {} },
    { "Transfer-Encoding: gzip, chunked\r\n", 400, {} },
    { "Transfer-Encoding: identity\r\nContent-Length: 3\r\n", 400, {} },
    { "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", 400, {} },
    { "Transfer-Encoding: xchunked\r\n", 400, {} },
    { "Transfer-Encoding: chunked\r\n", 200, both },
    { "Transfer-Encoding: Chunked\r\n", 200, both },
    { "Content-Length: 5\r\n", 200, both },
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mHeaders));
    const bool isRead = row.mStatus == 200;
    const bool isChunked =
      std::string_view(row.mHeaders).starts_with("Transfer");
    const std::string body = !isRead ? "" : (isChunked ? "0\r\n\r\n" : "01234");
    Loop loop;
    RecordingHandler handler;
    HttpServer server(loop, HttpLimits());
    const auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.has_value());
    server.Serve(handler);
    std::string answer;
    std::string text = "POST /outer HTTP/1.1\r\nHost: h\r\n";
    text.append(row.mHeaders).append("\r\n").append(body).append(inner);
    std::thread client([&] {
      answer = Exchange(port.value(), text);
      loop.Stop();
    });
    loop.Run();
    client.join();
    CHECK(answer.starts_with("HTTP/1.1 " + std::to_string(row.mStatus)));
    CHECK(handler.mTargets == row.mTargets);
  }
}
