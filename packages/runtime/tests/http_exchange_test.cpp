#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <set>
#include <thread>

using namespace bilberrytrail;

namespace {

using boost::asio::ip::tcp;

// A server on a thread of its own that sends the next of the given byte strings
// for each request that it reads, and counts its connections. If it repeats
// itself, it writes all earlier responses of a connection once more first.
class ScriptedPeer
{
public:
  explicit ScriptedPeer(std::vector<std::string> aResponses,
                        bool aIsRepeating = false)
    : mResponses(std::move(aResponses))
    , mIsRepeating(aIsRepeating)
    , mAcceptor(mContext,
                tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
  {
    mThread = std::thread([this] { Run(); });
  }
  ~ScriptedPeer()
  {
    mStopped = true;
    boost::system::error_code ec;
    tcp::socket wakeUp(mContext);
    wakeUp.connect(mAcceptor.local_endpoint(), ec);
    mThread.join();
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  [[nodiscard]] Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  [[nodiscard]] int Connections() const { return mConnections; }

private:
  void Run()
  {
    std::size_t next = 0;
    while (!mStopped) {
      tcp::socket socket(mContext);
      mAcceptor.accept(socket);
      if (mStopped) {
        return;
      }
      ++mConnections;
      boost::system::error_code ec;
      std::string earlier;
      while (!ec && next < mResponses.size()) {
        std::string head;
        boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
        if (!ec) {
          const auto& response = mResponses[next++];
          boost::asio::write(
            socket, boost::asio::buffer(earlier + response), ec);
          earlier += mIsRepeating ? response : std::string();
        }
      }
    }
  }

  std::vector<std::string> mResponses;
  bool mIsRepeating;
  boost::asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::atomic<bool> mStopped = false;
  std::atomic<int> mConnections = 0;
  std::thread mThread;
};

std::string
Response(const std::string& aId,
         const std::string& aBody,
         std::string aExtraHeaders = "")
{
  return "HTTP/1.1 200 OK\r\nX-Id: " + aId + "\r\n" + std::move(aExtraHeaders) +
         "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
}

// Sends one GET after another with the ids in X-Id and returns the bodies of
// the responses, "-" for a failed exchange.
std::vector<std::string>
Exchange(const Endpoint& aPeer, const std::vector<std::string>& aIds)
{
  std::vector<std::string> bodies;
  std::set<std::string> sent;
  Loop loop;
  loop.Spawn([&] {
    HttpClient client(loop);
    for (const auto& id : aIds) {
      HttpRequest request;
      request.mHeaders = { { "X-Id", id } };
      HttpCallOptions options;
      options.mTimeout = 2s;
      options.mEchoHeader = "X-Id";
      options.mNewConnection = !sent.insert(id).second;
      auto stream = client.Open(aPeer, request, options);
      std::string body = "-";
      if (stream) {
        auto piece = stream.value().Read(MonotonicNow() + 2s);
        body = piece && piece.value() ? *piece.value() : "-";
        (void)stream.value().Read(MonotonicNow() + 2s);
      }
      bodies.push_back(body);
    }
    loop.Stop();
  });
  loop.Run();
  return bodies;
}

// Keeps a stream open until the caller closes the connection.
class WatchingHandler final : public HttpHandler
{
public:
  explicit WatchingHandler(Loop& aLoop)
    : mEvent(aLoop)
  {
  }
  void Handle(const HttpRequest& /*aRequest*/,
              HttpResponder& aResponder) override
  {
    aResponder.OnPeerClosed([this] { mEvent.Notify(); });
    (void)aResponder.BeginStream(200, {});
    (void)aResponder.WriteChunk("first");
    mCallbackRan = mEvent.Wait(3s);
  }

  Event mEvent;
  bool mCallbackRan = false;
};

} // namespace

TEST_CASE(
  "a late response to an earlier request is not returned for a later one")
{
  ScriptedPeer peer({ Response("1", "one") + Response("1", "one again"),
                      Response("2", "two"),
                      Response("3", "three") });
  CHECK(Exchange(peer.Address(), { "1", "2", "3" }) ==
        std::vector<std::string>{ "one", "two", "three" });
}

TEST_CASE("a duplicate response received before the next response is dropped")
{
  ScriptedPeer peer({ Response("1", "one"),
                      Response("1", "one again") + Response("2", "two") });
  CHECK(Exchange(peer.Address(), { "1", "2" }) ==
        std::vector<std::string>{ "one", "two" });
  CHECK(peer.Connections() == 1);
}

TEST_CASE(
  "an exchange fails if the only response has the id of another request")
{
  ScriptedPeer peer({ Response("7", "other", "Connection: close\r\n") });
  CHECK(Exchange(peer.Address(), { "1" }) == std::vector<std::string>{ "-" });
}

// Guards against taking a late duplicate of an earlier response for the current
// one, when the connection is reused and the server sends no request id.
TEST_CASE(
  "a response without a request id is accepted only on a new connection")
{
  const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold";
  ScriptedPeer reused({ Response("1", "one"), unnamed });
  CHECK(Exchange(reused.Address(), { "1", "2" }) ==
        std::vector<std::string>{ "one", "-" });
  // A new connection cannot carry responses to earlier requests.
  ScriptedPeer fresh({ unnamed });
  CHECK(Exchange(fresh.Address(), { "1" }) ==
        std::vector<std::string>{ "old" });
}

// Guards against a response with an empty body, as if whole, from a server that
// closes in the middle of its head.
TEST_CASE("a response whose head ends early is an error")
{
  const std::vector<std::string> heads{
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
  };
  const auto isAnswered = [](const std::string& aBytes) {
    ScriptedPeer peer({ aBytes });
    bool answered = false;
    Loop loop;
    loop.Spawn([&] {
      HttpClient client(loop);
      HttpRequest request;
      request.mHeaders = { { "X-Id", "1" } };
      HttpCallOptions options;
      options.mTimeout = 2s;
      options.mEchoHeader = "X-Id";
      answered = client.Open(peer.Address(), request, options).has_value();
      loop.Stop();
    });
    loop.Run();
    return answered;
  };
  for (const auto& head : heads) {
    CHECK(isAnswered(head));
    for (std::size_t n = 0; n < head.size(); ++n) {
      CAPTURE(n);
      CHECK_FALSE(isAnswered(head.substr(0, n)));
    }
  }
}

// Guards against losing requests at a planned stop under load: callers have
// connected and sent requests that the server has not accepted or read yet.
TEST_CASE("requests sent just before StopAccepting are answered")
{
  class Answering final : public HttpHandler
  {
  public:
    void Handle(const HttpRequest& /*aRequest*/,
                HttpResponder& aResponder) override
    {
      (void)aResponder.Send({ 200, {}, "answered" });
    }
  };
  Loop loop;
  Answering handler;
  HttpServer server(loop, HttpLimits());
  const auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  server.Serve(handler);
  constexpr int kCallers = 20;
  boost::asio::io_context context;
  std::vector<tcp::socket> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back(context).connect(
      { boost::asio::ip::address_v4::loopback(), port.value() });
  }
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  loop.Spawn([&] {
    // Half of the callers have sessions that wait for their second request when
    // the stop comes; the others send their first one just before it.
    for (int n = 0; n < kCallers / 2; ++n) {
      boost::asio::write(callers[static_cast<std::size_t>(n)],
                         boost::asio::buffer(request));
    }
    (void)loop.Sleep(20ms);
    for (auto& it : callers) {
      boost::asio::write(it, boost::asio::buffer(request));
    }
    server.StopAccepting();
    (void)loop.Sleep(300ms);
    loop.Stop();
  });
  loop.Run();
  int answers = 0;
  for (std::size_t n = 0; n < callers.size(); ++n) {
    boost::system::error_code ec;
    callers[n].non_blocking(true, ec);
    std::string text;
    std::array<char, 4096> buf{};
    while (!ec) {
      const auto read = callers[n].read_some(boost::asio::buffer(buf), ec);
      text.append(buf.data(), read);
    }
    for (auto at = text.find("answered"); at != std::string::npos;
         at = text.find("answered", at + 1)) {
      ++answers;
    }
  }
  CHECK(answers == kCallers + kCallers / 2);
}

// Guards against a refusal that a server writes once more on a kept connection
// and that is taken for the answer to a repeat of the same request: "not run"
// was said of a request that ran.
TEST_CASE("a repeated request does not get the earlier response once more")
{
  ScriptedPeer peer({ Response("1", "refused"),
                      Response("2", "other"),
                      Response("1", "ran"),
                      Response("3", "third") },
                    true);
  CHECK(Exchange(peer.Address(), { "1", "2", "1", "3" }) ==
        std::vector<std::string>{ "refused", "other", "ran", "third" });
  CHECK(peer.Connections() == 2);
}

TEST_CASE(
  "a connection is not reused after the idle timeout that the peer announced")
{
  ScriptedPeer peer({ Response("1", "one", "Keep-Alive: timeout=0\r\n"),
                      Response("2", "two", "Keep-Alive: timeout=9\r\n"),
                      Response("3", "three") });
  // The peer serves one connection at a time, until the client closes it.
  CHECK(Exchange(peer.Address(), { "1", "2", "3" }) ==
        std::vector<std::string>{ "one", "two", "three" });
  CHECK(peer.Connections() == 2);
}

TEST_CASE("OnPeerClosed calls back when the caller closes the connection")
{
  Loop loop;
  WatchingHandler handler(loop);
  HttpServer server(loop, HttpLimits());
  const auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  server.Serve(handler);
  loop.Spawn([&] {
    {
      HttpClient client(loop);
      auto stream = client.Open({ "127.0.0.1", port.value() }, {}, 2s);
      REQUIRE(stream.has_value());
      CHECK(stream.value().Read(MonotonicNow() + 2s).has_value());
    }
    while (server.ActiveRequests() > 0 && loop.Sleep(5ms)) {
    }
    loop.Stop();
  });
  loop.Run();
  CHECK(handler.mCallbackRan);
}

TEST_CASE("a cancelled exchange fails with Cancelled before its timeout")
{
  struct Row
  {
    bool mCancelBeforeOpen;
    SendState mSent;
  };
  for (const Row& row : { Row{ true, SendState::NotSent },
                          Row{ false, SendState::MaybeSent } }) {
    ScriptedPeer peer({ "", "" });
    Loop loop;
    loop.Spawn([&] {
      HttpClient client(loop);
      HttpCancel cancel;
      HttpCallOptions options;
      options.mTimeout = 5s;
      options.mCancel = &cancel;
      if (row.mCancelBeforeOpen) {
        cancel.Cancel();
      } else {
        loop.Spawn([&] {
          (void)loop.Sleep(50ms);
          cancel.Cancel();
        });
      }
      const auto begin = MonotonicNow();
      const auto stream = client.Open(peer.Address(), {}, options);
      REQUIRE_FALSE(stream.has_value());
      CHECK(stream.error().mCode == ErrorCode::Cancelled);
      CHECK(stream.error().mSent == row.mSent);
      CHECK(MonotonicNow() - begin < 4s);
      loop.Stop();
    });
    loop.Run();
  }
}

// Guards against interim answers that reach callers in place of the final one.
TEST_CASE("interim responses are skipped, a few of them")
{
  const std::string interim = "HTTP/1.1 103 Early\r\nX-Id: a\r\n\r\n";
  std::string tooMany;
  for (int it = 0; it < 5; ++it) {
    tooMany += interim;
  }
  tooMany += Response("a", "one");
  struct Row
  {
    std::string mResponse;
    std::string mBody;
  };
  for (const Row& row :
       { Row{ interim + Response("a", "one"), "one" },
         Row{ interim + interim + Response("a", "one"), "one" },
         // The first final response needs no id.
         Row{ interim + "HTTP/1.1 200 OK\r\nContent-Length: "
                        "3\r\n\r\none",
              "one" },
         Row{ tooMany, "-" } }) {
    ScriptedPeer peer({ row.mResponse });
    CHECK(Exchange(peer.Address(), { "a" }) == std::vector{ row.mBody });
  }
}
