#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <string>

namespace bilberrytrail {

// One call of a plain service.
struct ServiceCall
{
  AttemptId mAttempt;
  std::string mMethod;
  std::string mPath;
  std::string mContentType;
  std::string mBody;
};

// The answer of a plain service.
struct ServiceResponse
{
  unsigned mStatus = 200;
  std::string mContentType;
  std::string mBody;
};

// A plain service beside the engines, such as an order service.
class PlainService
{
public:
  virtual ~PlainService() = default;

  // Makes a call. NotRun when it was not sent or the service answered 503
  // with the header Not-Run: true; Unknown when the answer was lost.
  [[nodiscard]] virtual CallResult<ServiceResponse> Invoke(
    const ServiceCall& aCall,
    Duration aTimeout) = 0;
};

} // namespace bilberrytrail
