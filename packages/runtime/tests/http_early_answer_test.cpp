#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

namespace {

using boost::asio::ip::tcp;

// How a peer ends its connection.
enum class End : unsigned char
{
  // Reads the rest of the request, then closes.
  InOrder,
  // Resets it, with the rest of the request unread.
  Reset
};

// A server that answers one request as soon as its head is in.
class EarlyPeer
{
public:
  EarlyPeer(std::string aAnswer, End aEnd, std::size_t aRequestBytes)
    : mAnswer(std::move(aAnswer))
    , mEnd(aEnd)
    , mRequestBytes(aRequestBytes)
    , mAcceptor(mContext,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    , mThread([this] { Run(); })
  {
  }
  ~EarlyPeer() { mThread.join(); }
  EarlyPeer(const EarlyPeer&) = delete;
  EarlyPeer& operator=(const EarlyPeer&) = delete;

  [[nodiscard]] Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  void Run()
  {
    boost::system::error_code ec;
    tcp::socket socket(mContext);
    mAcceptor.accept(socket, ec);
    std::string bytes;
    const auto head = boost::asio::read_until(
      socket, boost::asio::dynamic_buffer(bytes), "\r\n\r\n", ec);
    boost::asio::write(socket, boost::asio::buffer(mAnswer), ec);
    if (mEnd == End::InOrder) {
      const auto rest = head + mRequestBytes - bytes.size();
      boost::asio::read(socket,
                        boost::asio::dynamic_buffer(bytes),
                        boost::asio::transfer_exactly(rest),
                        ec);
    } else {
      // The client is blocked in its write by now.
      std::this_thread::sleep_for(100ms);
      socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
    }
    socket.close(ec);
  }

  std::string mAnswer;
  End mEnd;
  std::size_t mRequestBytes;
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::thread mThread;
};

// Returns the body of the answer, "-" for a failed exchange or one that ends
// early.
std::string
Upload(const Endpoint& aPeer, std::size_t aBytes)
{
  std::string answer = "-";
  Loop loop;
  loop.Spawn([&] {
    HttpClient client(loop);
    HttpRequest request;
    request.mMethod = "POST";
    request.mBody.assign(aBytes, 'x');
    const auto response = client.Call(aPeer, request, 5s, 1024);
    if (response) {
      answer = response.value().mBody;
    }
    loop.Stop();
  });
  loop.Run();
  return answer;
}

} // namespace

// Guards against a part of an answer that is passed on as all of it: after a
// failed write the reset of the connection reads like its end.
TEST_CASE("an early answer is whole only if its own framing says so")
{
  constexpr std::size_t kLong = 16 * 1024 * 1024;
  constexpr std::size_t kShort = 16;
  struct Row
  {
    const char* mHead;
    End mEnd;
    std::size_t mRequestBytes;
    const char* mBody;
  };
  for (const Row& row :
       { Row{ "HTTP/1.1 200 OK\r\n\r\n", End::Reset, kLong, "-" },
         Row{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
              End::Reset,
              kLong,
              "-" },
         Row{ "HTTP/1.1 200 OK\r\n\r\n", End::InOrder, kLong, "part" },
         Row{ "HTTP/1.1 200 OK\r\n\r\n", End::InOrder, kShort, "part" },
         Row{ "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
              End::InOrder,
              kLong,
              "part" } }) {
    CAPTURE(row.mHead);
    CAPTURE(row.mRequestBytes);
    EarlyPeer peer(
      std::string(row.mHead) + "part", row.mEnd, row.mRequestBytes);
    CHECK(Upload(peer.Address(), row.mRequestBytes) == row.mBody);
  }
}

// Guards against an answer of a server in trouble that is passed on although
// its status is none.
TEST_CASE("a response whose status is out of range is an error")
{
  struct Row
  {
    const char* mStatus;
    const char* mBody;
  };
  for (const Row& row : { Row{ "000", "-" },
                          Row{ "099", "-" },
                          Row{ "200", "body" },
                          Row{ "599", "body" },
                          Row{ "600", "-" },
                          Row{ "999", "-" } }) {
    CAPTURE(row.mStatus);
    const auto head = std::string("HTTP/1.1 ") + row.mStatus +
                      " Odd\r\nContent-Length: 4\r\n\r\n";
    EarlyPeer peer(head + "body", End::InOrder, 1);
    CHECK(Upload(peer.Address(), 1) == row.mBody);
  }
}
