#include <bilberrytrail/backend/http_backend.h>
#include <bilberrytrail/platform/http_call.h>

#include <utility>

namespace bilberrytrail {

namespace {

// Header that carries the attempt id to the service.
constexpr const char* kAttemptHeader = "Attempt-Id";

// Returns true when a status is passed on to the caller as the service's own
// response.
bool
IsServiceResponse(unsigned aStatus) noexcept
{
  return aStatus >= 200 && aStatus != 500 && aStatus != 502 && aStatus != 503 &&
         aStatus != 504;
}

class HttpPlainService final : public PlainService
{
public:
  HttpPlainService(HttpClient& aClient, Endpoint aEndpoint)
    : mClient(aClient)
    , mEndpoint(std::move(aEndpoint))
  {
  }

  CallResult<ServiceResponse> Invoke(const ServiceCall& aCall,
                                     Duration aTimeout) override
  {
    auto response = mClient.Call(mEndpoint, ToRequest(aCall), aTimeout);
    if (!response) {
      return ToCallError(response.error());
    }
    auto& value = response.value();
    if (!IsServiceResponse(value.mStatus)) {
      return ToCallError(value.mStatus, value.mHeaders, value.mBody);
    }
    return ServiceResponse{ value.mStatus,
                            std::string(
                              FindHeader(value.mHeaders, "Content-Type")),
                            std::move(value.mBody) };
  }

private:
  static HttpRequest ToRequest(const ServiceCall& aCall)
  {
    HttpRequest request{ aCall.mMethod,
                         aCall.mPath,
                         { { kAttemptHeader, aCall.mAttempt.Text() } },
                         aCall.mBody };
    if (!aCall.mContentType.empty()) {
      request.mHeaders.push_back({ "Content-Type", aCall.mContentType });
    }
    return request;
  }

  HttpClient& mClient;
  Endpoint mEndpoint;
};

} // namespace

std::unique_ptr<PlainService>
MakeHttpPlainService(HttpClient& aClient, Endpoint aEndpoint)
{
  return std::make_unique<HttpPlainService>(aClient, std::move(aEndpoint));
}

} // namespace bilberrytrail
