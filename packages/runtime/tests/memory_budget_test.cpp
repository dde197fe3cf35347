#include "endless_peer.h"

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/memory_budget.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <vector>

using namespace bilberrytrail;

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;

// Holds each request for a while, and records how many bytes all of them held.
class SlowHandler final : public HttpHandler
{
public:
  explicit SlowHandler(Loop& aLoop)
    : mLoop(aLoop)
  {
  }
  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override
  {
    mMostBytes = std::max(mMostBytes, mLoop.MessageMemory()->UsedBytes());
    (void)mLoop.Sleep(300ms);
    (void)aResponder.Send({ 200, {}, std::to_string(aRequest.mBody.size()) });
  }

  std::size_t mMostBytes = 0;

private:
  Loop& mLoop;
};

} // namespace

TEST_CASE("the last quarter of a budget is kept for small messages")
{
  const auto budget = std::make_shared<MemoryBudget>(64 * kMegabyte);
  MemoryHold large(budget);
  CHECK(large.Resize(40 * kMegabyte));
  MemoryHold other(budget);
  CHECK_FALSE(other.Resize(9 * kMegabyte));
  CHECK(other.Resize(8 * kMegabyte));
  CHECK(budget->UsedBytes() == 48 * kMegabyte);
  CHECK_FALSE(other.Resize(9 * kMegabyte));
  {
    std::vector<std::unique_ptr<MemoryHold>> small;
    std::size_t held = 0;
    for (int n = 0; n < 20; ++n) {
      small.push_back(std::make_unique<MemoryHold>(budget));
      held += small.back()->Resize(kMegabyte) ? 1 : 0;
    }
    CHECK(held == 16);
    CHECK(budget->UsedBytes() == budget->LimitBytes());
  }
  CHECK(other.Resize(kMegabyte));
  CHECK(budget->UsedBytes() == 41 * kMegabyte);
}

TEST_CASE("a body is collected up to its limit and that of the budget")
{
  struct Row
  {
    const char* mName;
    std::size_t mPiece;
    int mPieces;
    std::size_t mMax;
    std::size_t mBudget;
    std::optional<ErrorCode> mError;
  };
  for (const Row& row :
       { Row{ "within", 1000, 100, kMegabyte, 4 * kMegabyte, std::nullopt },
         Row{ "all of its limit",
              1024,
              1024,
              kMegabyte,
              4 * kMegabyte,
              std::nullopt },
         Row{ "over its limit",
              1025,
              1024,
              kMegabyte,
              4 * kMegabyte,
              ErrorCode::TooLarge },
         Row{ "over the budget",
              1024,
              1024,
              kMegabyte,
              kMegabyte,
              ErrorCode::Exhausted } }) {
    CAPTURE(std::string(row.mName));
    const auto budget = std::make_shared<MemoryBudget>(row.mBudget);
    {
      BodyBuffer body(budget, row.mMax);
      const std::string piece(row.mPiece, 'x');
      Result<void> ok = Ok();
      for (int n = 0; n < row.mPieces && ok; ++n) {
        ok = body.Append(piece);
      }
      CHECK(ok.has_value() == !row.mError);
      if (!ok) {
        CHECK(ok.error().mCode == row.mError);
      } else {
        CHECK(body.Take().size() ==
              row.mPiece * static_cast<std::size_t>(row.mPieces));
      }
      CHECK(budget->UsedBytes() > 0);
      CHECK(budget->UsedBytes() <= budget->LimitBytes());
    }
    CHECK(budget->UsedBytes() == 0);
  }
}

// Guards against many large bodies at once, which filled the memory of a VM.
TEST_CASE("bodies of requests that find no memory are refused as not run")
{
  // Three bodies and the receive buffers of all connections fit into the part
  // of the budget for large messages, four bodies do not.
  constexpr std::size_t kLargeBytes = kMegabyte * 16 / 10;
  constexpr int kLarge = 12;
  constexpr int kSmall = 4;
  Loop loop;
  const auto budget = std::make_shared<MemoryBudget>(8 * kMegabyte);
  loop.SetMessageMemory(budget);
  SlowHandler handler(loop);
  HttpServer server(loop, HttpLimits());
  const auto port = server.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  server.Serve(handler);
  // The clients have a budget of their own.
  int served = 0;
  int refused = 0;
  int servedSmall = 0;
  int running = kLarge + kSmall;
  Loop clients;
  for (int n = 0; n < kLarge + kSmall; ++n) {
    clients.Spawn([&, n] {
      HttpClient client(clients);
      const bool isLarge = n < kLarge;
      (void)clients.Sleep(isLarge ? 0ms : 100ms);
      HttpRequest request{ "POST", "/", {}, {} };
      request.mBody = std::string(isLarge ? kLargeBytes : 1000, 'x');
      const auto response =
        client.Call({ "127.0.0.1", port.value() }, request, 5s);
      const auto status = response ? response.value().mStatus : 0;
      if (!isLarge) {
        servedSmall += status == 200 ? 1 : 0;
      } else if (status == 200) {
        ++served;
        CHECK(response.value().mBody == std::to_string(kLargeBytes));
      } else if (status == 503) {
        ++refused;
        CHECK(FindHeader(response.value().mHeaders, "Retry-After") == "1");
      }
      if (--running == 0) {
        clients.Stop();
        loop.Stop();
      }
    });
  }
  std::thread serving([&] { loop.Run(); });
  clients.Run();
  serving.join();
  CHECK(served == 3);
  CHECK(refused == kLarge - served);
  CHECK(servedSmall == kSmall);
  CHECK(handler.mMostBytes <= budget->LimitBytes());
  CHECK(budget->UsedBytes() == 0);
}

// Guards against heads that fill the memory: callers that send theirs slowly,
// fields whose records take many times their bytes, and peers that do so in
// answers.
TEST_CASE("heads in progress count against the budget")
{
  struct Row
  {
    const char* mName;
    std::string mHead;
    int mConnections;
    // Whether all of them are answered with 200, or none.
    std::optional<bool> mIsServed;
  };
  const std::string begin = "GET / HTTP/1.1\r\nHost: h\r\n";
  std::string fields;
  while (fields.size() < 14 * 1024) {
    fields += "a:b\r\n";
  }
  const std::vector<Row> rows{
    { "short", begin + "\r\n", 8, true },
    { "many fields", begin + fields + "\r\n", 8, std::nullopt },
    { "unfinished", begin + "X: " + std::string(15 * 1024, 'x'), 60, false },
    // Its body is refused before it is read.
    { "long body", begin + "Content-Length: 900000\r\n\r\n", 1, false },
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    Loop loop;
    const auto budget = std::make_shared<MemoryBudget>(kMegabyte);
    loop.SetMessageMemory(budget);
    SlowHandler handler(loop);
    HttpLimits limits;
    limits.mReadTime = 500ms;
    HttpServer server(loop, limits);
    const auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.has_value());
    server.Serve(handler);
    std::size_t most = 0;
    int served = 0;
    int refused = 0;
    std::thread callers([&] {
      boost::asio::io_context context;
      std::vector<boost::asio::ip::tcp::socket> sockets;
      for (int n = 0; n < row.mConnections; ++n) {
        sockets.emplace_back(context);
        sockets.back().connect(
          { boost::asio::ip::address_v4::loopback(), port.value() });
        boost::asio::write(sockets.back(), boost::asio::buffer(row.mHead));
      }
      std::this_thread::sleep_for(200ms);
      most = budget->UsedBytes();
      for (auto& it : sockets) {
        boost::system::error_code ec;
        std::string answer;
        boost::asio::read_until(
          it, boost::asio::dynamic_buffer(answer), "\r\n", ec);
        served += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
        refused += answer.starts_with("HTTP/1.1 503") ? 1 : 0;
      }
      loop.Stop();
    });
    loop.Run();
    callers.join();
    CHECK(most > 0);
    CHECK(most <= budget->LimitBytes());
    if (row.mIsServed == true) {
      CHECK(served == row.mConnections);
    } else {
      CHECK(refused > 0);
      CHECK((row.mIsServed.has_value() ? served == 0 : served > 0));
    }
    CHECK(budget->UsedBytes() == 0);
  }
}

// Guards against peers whose fields fill the memory of their caller.
TEST_CASE("fields of answers count against the budget")
{
  for (const bool isLarge : { false, true }) {
    CAPTURE(isLarge);
    std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n";
    while (isLarge && head.size() < 7 * 1024) {
      head += "a:b\r\n";
    }
    EndlessPeer peer(head + "\r\n", "x", 1ms);
    Loop loop;
    const auto budget = std::make_shared<MemoryBudget>(kMegabyte / 4);
    loop.SetMessageMemory(budget);
    loop.Spawn([&] {
      HttpClient client(loop);
      CHECK(client.Open(peer.Address(), HttpRequest(), 5s).has_value() !=
            isLarge);
      loop.Stop();
    });
    loop.Run();
    CHECK(budget->UsedBytes() == 0);
  }
}
