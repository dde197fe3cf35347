#include <bilberrytrail/platform/http_call.h>

namespace bilberrytrail {

namespace {

constexpr std::size_t kMaxMessageBytes = 200;

bool
IsSuccess(unsigned aStatus) noexcept
{
  return aStatus >= 200 && aStatus < 300;
}

bool
IsClientError(unsigned aStatus) noexcept
{
  return aStatus >= 400 && aStatus < 500;
}

ErrorCode
ToErrorCode(unsigned aStatus) noexcept
{
  switch (aStatus) {
    case 400:
      return ErrorCode::InvalidInput;
    case 401:
      return ErrorCode::Unauthorized;
    case 403:
      return ErrorCode::Forbidden;
    case 404:
      return ErrorCode::NotFound;
    case 409:
      return ErrorCode::Conflict;
    case 413:
      return ErrorCode::TooLarge;
    case 429:
      return ErrorCode::Exhausted;
    case 500:
      return ErrorCode::Internal;
    case 503:
      return ErrorCode::Unavailable;
    default:
      return IsClientError(aStatus) ? ErrorCode::Refused : ErrorCode::Unknown;
  }
}

CallDisposition
ToDisposition(unsigned aStatus, const HttpHeaders& aHeaders) noexcept
{
  if (IsClientError(aStatus) || (aStatus == 503 && SaysNotRun(aHeaders))) {
    return CallDisposition::NotRun;
  }
  return aStatus == 500 ? CallDisposition::Failed : CallDisposition::Unknown;
}

CallResult<HttpResponse>
CallExpecting2xx(HttpClient& aClient,
                 const Endpoint& aEndpoint,
                 const HttpRequest& aRequest,
                 Duration aTimeout,
                 std::size_t aMaxBodyBytes = HttpClient::kMaxWholeBodyBytes)
{
  auto response = aClient.Call(aEndpoint, aRequest, aTimeout, aMaxBodyBytes);
  if (!response) {
    return ToCallError(response.error());
  }
  auto& value = response.value();
  if (!IsSuccess(value.mStatus)) {
    return ToCallError(value.mStatus, value.mHeaders, value.mBody);
  }
  return std::move(value);
}

} // namespace

bool
SaysNotRun(const HttpHeaders& aHeaders) noexcept
{
  return FindHeader(aHeaders, kNotRunHeader) == "true";
}

CallError
ToCallError(const HttpError& aError)
{
  const auto disposition = aError.mSent == SendState::NotSent
                             ? CallDisposition::NotRun
                             : CallDisposition::Unknown;
  return FailCall(disposition, aError.mCode, aError.mMessage);
}

CallError
ToCallError(unsigned aStatus,
            const HttpHeaders& aHeaders,
            std::string_view aBody)
{
  auto message = "status " + std::to_string(aStatus);
  if (!aBody.empty()) {
    message += ": " + std::string(aBody.substr(0, kMaxMessageBytes));
  }
  return FailCall(
    ToDisposition(aStatus, aHeaders), ToErrorCode(aStatus), std::move(message));
}

CallError
ToMalformed(Error aError)
{
  return FailCall(
    CallDisposition::Unknown, ErrorCode::Corrupt, std::move(aError.mMessage));
}

CallResult<HttpRequest>
MakeJsonRequest(std::string aMethod, std::string aTarget, const Json& aBody)
{
  auto body = WriteJson(aBody);
  if (!body) {
    return CallError{ CallDisposition::NotRun, std::move(body).error() };
  }
  return HttpRequest{ std::move(aMethod),
                      std::move(aTarget),
                      { { "Content-Type", "application/json" } },
                      std::move(body).value() };
}

CallResult<Json>
CallForJson(HttpClient& aClient,
            const Endpoint& aEndpoint,
            const HttpRequest& aRequest,
            Duration aTimeout,
            std::size_t aMaxBodyBytes)
{
  auto response =
    CallExpecting2xx(aClient, aEndpoint, aRequest, aTimeout, aMaxBodyBytes);
  if (!response) {
    return std::move(response).error();
  }
  auto json = ParseJson(response.value().mBody);
  if (!json) {
    return ToMalformed(std::move(json).error());
  }
  return std::move(json).value();
}

CallResult<Json>
PostJson(HttpClient& aClient,
         const Endpoint& aEndpoint,
         const std::string& aTarget,
         const Json& aBody,
         Duration aTimeout)
{
  auto request = MakeJsonRequest("POST", aTarget, aBody);
  if (!request) {
    return std::move(request).error();
  }
  return CallForJson(aClient, aEndpoint, request.value(), aTimeout);
}

CallResult<void>
PostForStatus(HttpClient& aClient,
              const Endpoint& aEndpoint,
              const std::string& aTarget,
              const Json& aBody,
              Duration aTimeout)
{
  auto request = MakeJsonRequest("POST", aTarget, aBody);
  if (!request) {
    return std::move(request).error();
  }
  auto response =
    CallExpecting2xx(aClient, aEndpoint, request.value(), aTimeout);
  if (!response) {
    return std::move(response).error();
  }
  return Ok();
}

std::string
EscapePathSegment(std::string_view aText)
{
  constexpr std::string_view kPlain =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-._~";
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : aText) {
    if (kPlain.find(c) != std::string_view::npos) {
      out += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    out += '%';
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 15U];
  }
  return out;
}

} // namespace bilberrytrail
