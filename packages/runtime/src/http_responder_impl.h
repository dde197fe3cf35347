#pragma once

#include <bilberrytrail/runtime/http_server.h>

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>

#include <functional>
#include <memory>
#include <string>

namespace bilberrytrail {

// Sends the response to one request over a connection of the server. The stream
// and the limits must outlive it.
class HttpResponderImpl final : public HttpResponder
{
public:
  HttpResponderImpl(boost::beast::tcp_stream& aStream,
                    const HttpLimits& aLimits,
                    bool aKeepAlive);

  [[nodiscard]] bool HasBegun() const noexcept override { return mBegun; }
  // Returns true once the complete response has been written.
  [[nodiscard]] bool IsComplete() const noexcept { return mComplete; }
  [[nodiscard]] bool IsKeepAlive() const noexcept { return mKeepAlive; }
  [[nodiscard]] bool IsPeerOpen() noexcept override;

  void OnPeerClosed(const std::function<void()>& aCallback) override;
  // Cancels the callback set by OnPeerClosed.
  void StopWatching();
  Result<void> Send(HttpResponse aResponse) override;
  Result<void> BeginStream(unsigned aStatus, HttpHeaders aHeaders) override;
  Result<void> BeginStreamLater(unsigned aStatus,
                                HttpHeaders aHeaders) override;
  Result<void> WriteChunk(std::string_view aData) override;
  Result<void> EndStream() override;
  Result<void> EndStreamWith(std::string_view aData) override;
  void Abort() override;
  void Cut() override;

private:
  template<class Message>
  void Prepare(Message& aMessage,
               unsigned aStatus,
               const HttpHeaders& aHeaders);
  // Stores the head of a chunked response in mHead for the next write.
  void PrepareHead(unsigned aStatus, const HttpHeaders& aHeaders);
  [[nodiscard]] Instant WriteDeadline() const
  {
    return MonotonicNow() + mLimits.mWriteTime;
  }
  // Writes the head if it is still pending, and then the text.
  boost::beast::error_code Write(std::string_view aText);
  Result<void> CheckWrite(const boost::beast::error_code& aCode);
  Result<void> Finish(const boost::beast::error_code& aCode);

  boost::beast::tcp_stream& mStream;
  const HttpLimits& mLimits;
  bool mKeepAlive;
  // Pending head of a chunked response; empty once written.
  std::string mHead;
  bool mBegun = false;
  bool mComplete = false;
  // Callback of OnPeerClosed; null when unset. Shared with the handler of the
  // socket wait, which may outlive this object.
  std::shared_ptr<std::function<void()>> mOnPeerClosed;
};

} // namespace bilberrytrail
