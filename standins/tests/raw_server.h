#pragma once

#include <bilberrytrail/base/endpoint.h>

#include <boost/asio.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace bilberrytrail::standins {

// How a raw server goes on after it has written an answer.
enum class RawEnd : unsigned char
{
  // Reads the next request on the connection.
  KeepOpen,
  Close,
  Reset,
  // Closes the connection and refuses new ones, as a process that ends.
  Crash
};

// The bytes that a raw server writes for one request.
struct RawAnswer
{
  // "ID" stands for the id of the request.
  std::string mBytes;
  RawEnd mEnd = RawEnd::KeepOpen;
  // Written before the answer to the next request on the same connection.
  std::string mLate = {};
  // Written again and again after mBytes, with a pause before each, until the
  // caller closes the connection; empty for nothing.
  std::string mRepeated = {};
  std::chrono::milliseconds mPause{ 0 };
};

// A backend server that writes any bytes, also such as are no answer. It runs
// on a thread of its own; connections are served side by side.
class RawServer
{
public:
  // Returns the answer to a request, given its head. Called on the server's
  // thread.
  using Script = std::function<RawAnswer(const std::string& aHead)>;

  explicit RawServer(Script aScript);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  [[nodiscard]] const Endpoint& Address() const noexcept { return mAddress; }
  // Number of requests that were read.
  [[nodiscard]] int Requests() const noexcept { return mRequests; }

private:
  void Accept();
  struct Session;
  void ReadRequest(const std::shared_ptr<Session>& aSession);
  void WriteAnswer(const std::shared_ptr<Session>& aSession);
  void WriteRepeated(const std::shared_ptr<Session>& aSession);

  Script mScript;
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  const Endpoint mAddress;
  std::atomic<int> mRequests = 0;
  std::thread mThread;
};

// Returns the value of a header in the head of a message; empty when it is not
// there.
[[nodiscard]] std::string
HeaderIn(const std::string& aHead, const std::string& aName);

} // namespace bilberrytrail::standins
