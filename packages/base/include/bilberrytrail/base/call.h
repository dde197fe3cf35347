#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/time.h>

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

// Longest times for which a call waits for its answer. A large answer on a slow
// link takes long, so that it has a limit of its own, and one on its progress:
// whether the receiver answers at all is known from the beginning.
struct AnswerLimits
{
  // Until the answer begins.
  Duration mBegin{};
  // Between two parts of the answer, each time from when the next part is read:
  // a caller that was held up does not take its own delay for the sender's.
  Duration mSilence{};
  // Until the end of the answer.
  Duration mWhole{};

  // Returns limits for a call whose answer is small.
  [[nodiscard]] static constexpr AnswerLimits Within(Duration aTime) noexcept
  {
    return { aTime, aTime, aTime };
  }
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
