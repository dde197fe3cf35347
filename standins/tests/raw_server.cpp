#include "raw_server.h"

#include <utility>

namespace bilberrytrail::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Returns the bytes with the id of the request in place of "ID".
std::string
WithId(std::string aBytes, const std::string& aId)
{
  const std::string mark = "ID";
  for (auto at = aBytes.find(mark); at != std::string::npos;
       at = aBytes.find(mark, at + aId.size())) {
    aBytes.replace(at, mark.size(), aId);
  }
  return aBytes;
}

} // namespace

struct RawServer::Session
{
  explicit Session(tcp::socket aSocket)
    : mSocket(std::move(aSocket))
  {
  }

  tcp::socket mSocket;
  std::string mInput;
  std::string mOutput;
  std::string mLate;
  RawEnd mEnd = RawEnd::KeepOpen;
  std::string mRepeated;
  std::chrono::milliseconds mPause{ 0 };
  asio::steady_timer mTimer{ mSocket.get_executor() };
};

RawServer::RawServer(Script aScript)
  : mScript(std::move(aScript))
  , mAcceptor(mContext, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
  , mAddress{ "127.0.0.1", mAcceptor.local_endpoint().port() }
{
  Accept();
  mThread = std::thread([this] { mContext.run(); });
}

RawServer::~RawServer()
{
  mContext.stop();
  mThread.join();
}

void
RawServer::Accept()
{
  mAcceptor.async_accept(
    [this](const boost::system::error_code& aCode, tcp::socket aSocket) {
      if (!aCode) {
        ReadRequest(std::make_shared<Session>(std::move(aSocket)));
        Accept();
      }
    });
}

void
RawServer::ReadRequest(const std::shared_ptr<Session>& aSession)
{
  auto& session = *aSession;
  asio::async_read_until(
    session.mSocket,
    asio::dynamic_buffer(session.mInput),
    "\r\n\r\n",
    [this, aSession](const boost::system::error_code& aCode, std::size_t) {
      if (aCode) {
        return;
      }
      // Bodies of requests are short and come with their heads.
      const auto head = std::exchange(aSession->mInput, {});
      ++mRequests;
      auto answer = mScript(head);
      const auto id = HeaderIn(head, "Bilberrytrail-Request-Id");
      aSession->mOutput =
        std::exchange(aSession->mLate, WithId(std::move(answer.mLate), id)) +
        WithId(std::move(answer.mBytes), id);
      aSession->mEnd = answer.mEnd;
      aSession->mRepeated = std::move(answer.mRepeated);
      aSession->mPause = answer.mPause;
      WriteAnswer(aSession);
    });
}

void
RawServer::WriteAnswer(const std::shared_ptr<Session>& aSession)
{
  auto& session = *aSession;
  asio::async_write(
    session.mSocket,
    asio::buffer(session.mOutput),
    [this, aSession](boost::system::error_code aCode, std::size_t) {
      if (aCode) {
        return;
      }
      if (!aSession->mRepeated.empty()) {
        WriteRepeated(aSession);
        return;
      }
      if (aSession->mEnd == RawEnd::KeepOpen) {
        ReadRequest(aSession);
        return;
      }
      if (aSession->mEnd == RawEnd::Crash) {
        mAcceptor.close(aCode);
      }
      if (aSession->mEnd == RawEnd::Reset) {
        aSession->mSocket.set_option(asio::socket_base::linger(true, 0), aCode);
      }
      aSession->mSocket.close(aCode);
    });
}

void
RawServer::WriteRepeated(const std::shared_ptr<Session>& aSession)
{
  auto& session = *aSession;
  session.mTimer.expires_after(session.mPause);
  session.mTimer.async_wait(
    [this, aSession](const boost::system::error_code& /*aCode*/) {
      asio::async_write(
        aSession->mSocket,
        asio::buffer(aSession->mRepeated),
        [this, aSession](const boost::system::error_code& aCode, std::size_t) {
          if (!aCode) {
            WriteRepeated(aSession);
          }
        });
    });
}

std::string
HeaderIn(const std::string& aHead, const std::string& aName)
{
  const auto mark = "\r\n" + aName + ": ";
  const auto at = aHead.find(mark);
  if (at == std::string::npos) {
    return {};
  }
  const auto from = at + mark.size();
  return aHead.substr(from, aHead.find("\r\n", from) - from);
}

} // namespace bilberrytrail::standins
