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

// Returns the value of the first header with the name (case-insensitive), or an
// empty view if there is none.
[[nodiscard]] std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName) noexcept;

// A complete request. The target holds path and query.
struct HttpRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/";
  HttpHeaders mHeaders;
  std::string mBody;
};

// A complete response.
struct HttpResponse
{
  unsigned mStatus = 200;
  HttpHeaders mHeaders;
  std::string mBody;
};

// Whether the peer may have received a request that failed.
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

// Why an exchange failed, and whether its request may have taken effect.
struct HttpError
{
  SendState mSent = SendState::MaybeSent;
  ErrorCode mCode = ErrorCode::Unavailable;
  std::string mMessage;
};

// Limits that a server applies to its connections.
struct HttpLimits
{
  std::size_t mHeaderBytes = 16 * 1024;
  std::size_t mBodyBytes = 8 * 1024 * 1024;
  // Maximum time from the first to the last byte of a request.
  Duration mReadTime = 10s;
  // Maximum time that a connection stays open without a request.
  Duration mIdleTime = 60s;
  // Maximum time for one write before the connection is given up.
  Duration mWriteTime = 10s;
};

} // namespace bilberrytrail
