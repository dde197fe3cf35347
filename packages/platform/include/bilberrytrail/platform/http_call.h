#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// Header by which a receiver states that it did not run a call that it
// answers with status 503.
inline constexpr std::string_view kNotRunHeader = "Not-Run";

// Returns true when the headers state that the call was not run.
[[nodiscard]] bool
SaysNotRun(const HttpHeaders& aHeaders) noexcept;

// Returns what a failed exchange says of its call.
[[nodiscard]] CallError
ToCallError(const HttpError& aError);

// Returns what a status other than 2xx says of its call: 4xx, and 503 with
// Not-Run, are NotRun; 500 is Failed; anything else is Unknown.
[[nodiscard]] CallError
ToCallError(unsigned aStatus,
            const HttpHeaders& aHeaders,
            std::string_view aBody);

// Returns the error of a receiver that answered but not as agreed. The call
// may have run, so its fate is Unknown.
[[nodiscard]] CallError
ToMalformed(Error aError);

// Returns what was read from an answer; Unknown with Corrupt when it is
// malformed.
template<class T>
[[nodiscard]] CallResult<T>
ToCallResult(Result<T> aResult)
{
  if (!aResult) {
    return ToMalformed(std::move(aResult).error());
  }
  return std::move(aResult).value();
}

// Makes a request with a JSON body; NotRun when it cannot be written.
[[nodiscard]] CallResult<HttpRequest>
MakeJsonRequest(std::string aMethod, std::string aTarget, const Json& aBody);

// Sends a request and reads a JSON answer of status 2xx.
[[nodiscard]] CallResult<Json>
CallForJson(HttpClient& aClient,
            const Endpoint& aEndpoint,
            const HttpRequest& aRequest,
            Duration aTimeout);

// Sends a JSON body by POST and reads a JSON answer of status 2xx.
[[nodiscard]] CallResult<Json>
PostJson(HttpClient& aClient,
         const Endpoint& aEndpoint,
         const std::string& aTarget,
         const Json& aBody,
         Duration aTimeout);

// Sends a JSON body by POST; the body of the answer is not read.
[[nodiscard]] CallResult<void>
PostForStatus(HttpClient& aClient,
              const Endpoint& aEndpoint,
              const std::string& aTarget,
              const Json& aBody,
              Duration aTimeout);

// Escapes a text for use as one segment of a path.
[[nodiscard]] std::string
EscapePathSegment(std::string_view aText);

} // namespace bilberrytrail
