#pragma once

#include <bilberrytrail/base/enum_names.h>

#include <boost/outcome.hpp>

#include <string>
#include <utility>

namespace bilberrytrail {

// Kinds of failure that callers of a function can tell apart.
enum class ErrorCode : unsigned char
{
  InvalidInput,
  NotFound,
  Conflict,
  Unauthorized,
  Forbidden,
  TooLarge,
  Timeout,
  Unavailable,
  Refused,
  Exhausted,
  Cancelled,
  Corrupt,
  Unknown,
  Internal
};

template<>
struct EnumNames<ErrorCode>
{
  static constexpr std::array<std::string_view, 14> kNames{
    "invalid_input", "not_found", "conflict",    "unauthorized", "forbidden",
    "too_large",     "timeout",   "unavailable", "refused",      "exhausted",
    "cancelled",     "corrupt",   "unknown",     "internal"
  };
};

// A failure: its kind and a message for people, one sentence long.
struct Error
{
  ErrorCode mCode = ErrorCode::Internal;
  std::string mMessage;
};

// The outcome of a fallible function: a T or an Error. Accessing the
// alternative that is absent is a programming error and terminates the
// process.
//
//   Result<int> n = ParsePort(text);
//   if (!n) {
//     return std::move(n).error();
//   }
template<class T, class E = Error>
using Result = BOOST_OUTCOME_V2_NAMESPACE::
  basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

// Returns the success value of Result<void>.
[[nodiscard]] inline auto
Ok() noexcept
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Makes an Error, which converts to any Result.
[[nodiscard]] inline Error
Fail(ErrorCode aCode, std::string aMessage)
{
  return Error{ aCode, std::move(aMessage) };
}

} // namespace bilberrytrail
