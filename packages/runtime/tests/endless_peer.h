#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/time.h>

#include <boost/asio.hpp>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace bilberrytrail {

// A server whose answers have no end: after it has read the head of a request
// it writes a begin, and then the same piece again and again until the caller
// closes the connection. Connections are served side by side.
class EndlessPeer
{
public:
  EndlessPeer(std::string aBegin, std::string aPiece, Duration aPause)
    : mBegin(std::move(aBegin))
    , mPiece(std::move(aPiece))
    , mPause(aPause)
    , mAcceptor(mContext, { boost::asio::ip::address_v4::loopback(), 0 })
    , mThread([this] { Accept(); })
  {
  }
  ~EndlessPeer()
  {
    mIsStopped = true;
    boost::system::error_code ec;
    boost::asio::ip::tcp::socket wakeUp(mContext);
    wakeUp.connect(mAcceptor.local_endpoint(), ec);
    mThread.join();
    for (auto& it : mSessions) {
      it.join();
    }
  }
  EndlessPeer(const EndlessPeer&) = delete;
  EndlessPeer& operator=(const EndlessPeer&) = delete;

  [[nodiscard]] Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }
  // Returns the number of bytes written on all connections.
  [[nodiscard]] std::size_t Written() const noexcept { return mWritten; }

private:
  void Accept()
  {
    while (true) {
      boost::asio::ip::tcp::socket socket(mContext);
      mAcceptor.accept(socket);
      if (mIsStopped) {
        return;
      }
      mSessions.emplace_back(
        [this,
         it = std::make_shared<boost::asio::ip::tcp::socket>(
           std::move(socket))] { Serve(*it); });
    }
  }
  void Serve(boost::asio::ip::tcp::socket& aSocket)
  {
    boost::system::error_code ec;
    std::string head;
    boost::asio::read_until(
      aSocket, boost::asio::dynamic_buffer(head), "\r\n\r\n", ec);
    auto text = mBegin + mPiece;
    while (!ec && !mIsStopped) {
      mWritten += boost::asio::write(aSocket, boost::asio::buffer(text), ec);
      text = mPiece;
      if (mPause > Duration(0)) {
        std::this_thread::sleep_for(mPause);
      }
    }
  }

  std::string mBegin;
  std::string mPiece;
  Duration mPause;
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::atomic<bool> mIsStopped = false;
  std::atomic<std::size_t> mWritten = 0;
  std::vector<std::thread> mSessions;
  std::thread mThread;
};

} // namespace bilberrytrail
