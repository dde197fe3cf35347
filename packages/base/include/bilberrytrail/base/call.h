#pragma once

#include <bilberrytrail/base/error.h>

namespace bilberrytrail {

// Whether a failed call to an external system ran.
enum class CallDisposition : unsigned char
{
  // The receiver said that it did not run the call, or it was never sent.
  NotRun,
  // The receiver ran the call and reported a failure.
  Failed,
  // A reply was lost: the call may have taken effect.
  Unknown
};

template<>
struct EnumNames<CallDisposition>
{
  static constexpr std::array<std::string_view, 3> kNames{ "not_run",
                                                           "failed",
                                                           "unknown" };
};

// A failed call: its disposition and the reason.
struct CallError
{
  CallDisposition mDisposition = CallDisposition::Unknown;
  Error mError;
};

// The outcome of a call to an external system.
template<class T>
using CallResult = Result<T, CallError>;

// Makes a CallError, which converts to any CallResult.
[[nodiscard]] inline CallError
FailCall(CallDisposition aDisposition, ErrorCode aCode, std::string aMessage)
{
  return CallError{ aDisposition, Fail(aCode, std::move(aMessage)) };
}

} // namespace bilberrytrail
