#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// One header field of an HTTP message.
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header with the name, compared without
// case, or an empty view.
[[nodiscard]] std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName) noexcept;

// A whole request: method, target (path and query) and body.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
};

// A whole response.
struct HttpResponse
{
  unsigned mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

// Whether the receiver can have seen a request that failed.
enum class SendState : unsigned char
{
  NotSent,
  MaybeSent
};

template<>
struct EnumNames<SendState>
{
  static constexpr std::array<std::string_view, 2> kNames{ "not_sent",
                                                           "maybe_sent" };
};

// Why an exchange failed, and whether its request can have taken effect.
struct HttpError
{
  SendState mSent = SendState::MaybeSent;
  ErrorCode mCode = ErrorCode::Unavailable;
  std::string mMessage;
};

// Bounds on what a server accepts. Sizes in bytes.
struct HttpLimits
{
  std::size_t mHeaderBytes = 16 * 1024;
  std::size_t mBodyBytes = 8 * 1024 * 1024;
  // Longest time from the first byte of a request to its last.
  Duration mReadTime = 10s;
  // Longest time that a connection is kept without a request.
  Duration mIdleTime = 60s;
  // Longest time that one write may take before the peer is given up.
  Duration mWriteTime = 10s;
};

} // namespace bilberrytrail
