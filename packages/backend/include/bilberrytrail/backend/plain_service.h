#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <string>

namespace bilberrytrail {

// One call to a plain service.
struct ServiceCall
{
  AttemptId mAttempt;
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
};

// Response of a plain service.
struct ServiceResponse
{
  unsigned mStatus = 200;
  std::string mContentType;
  std::string mBody;
};

// A service other than a model engine, such as an order service.
class PlainService
{
public:
  virtual ~PlainService() = default;

  // Makes a call. NotRun when it was not sent or the service responded with 503
  // and the header Not-Run: true; Unknown when the response was lost.
  [[nodiscard]] virtual CallResult<ServiceResponse> Invoke(
    const ServiceCall& aCall,
    Duration aTimeout) = 0;
};

} // namespace bilberrytrail
