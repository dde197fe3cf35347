#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// Response header by which a server states that it did not run a call that it
// answered with status 503.
inline constexpr std::string_view kNotRunHeader = "Not-Run";

// Returns true when the headers state that the call was not run.
[[nodiscard]] bool
SaysNotRun(const HttpHeaders& aHeaders) noexcept;

// Converts a failed HTTP exchange: NotRun when the request was not sent, else
// Unknown.
[[nodiscard]] CallError
ToCallError(const HttpError& aError);

// Converts a status other than 2xx: 4xx, and 503 with Not-Run, are NotRun; 500
// is Failed; anything else is Unknown.
[[nodiscard]] CallError
ToCallError(unsigned aStatus,
            const HttpHeaders& aHeaders,
            std::string_view aBody);

// Returns a Corrupt error for a malformed response. The call may have run, so
// its disposition is Unknown.
[[nodiscard]] CallError
ToMalformed(Error aError);

// Converts the result of parsing a response; a parse error becomes Unknown with
// Corrupt.
template<class T>
[[nodiscard]] CallResult<T>
ToCallResult(Result<T> aResult)
{
  if (!aResult) {
    return ToMalformed(std::move(aResult).error());
  }
  return std::move(aResult).value();
}

// Makes a request with a JSON body. Fails with NotRun when the body cannot be
// serialized.
[[nodiscard]] CallResult<HttpRequest>
MakeJsonRequest(std::string aMethod, std::string aTarget, const Json& aBody);

// Sends a request and parses the JSON body of a 2xx response, which fails with
// TooLarge when it is larger than aMaxBodyBytes.
[[nodiscard]] CallResult<Json>
CallForJson(HttpClient& aClient,
            const Endpoint& aEndpoint,
            const HttpRequest& aRequest,
            Duration aTimeout,
            std::size_t aMaxBodyBytes = HttpClient::kMaxWholeBodyBytes);

// Sends a JSON body by POST and parses the JSON body of a 2xx response.
[[nodiscard]] CallResult<Json>
PostJson(HttpClient& aClient,
         const Endpoint& aEndpoint,
         const std::string& aTarget,
         const Json& aBody,
         Duration aTimeout);

// Sends a JSON body by POST and checks for a 2xx status; the response body is
// ignored.
[[nodiscard]] CallResult<void>
PostForStatus(HttpClient& aClient,
              const Endpoint& aEndpoint,
              const std::string& aTarget,
              const Json& aBody,
              Duration aTimeout);

// Percent-encodes a text for use as one segment of a URL path.
[[nodiscard]] std::string
EscapePathSegment(std::string_view aText);

} // namespace bilberrytrail
