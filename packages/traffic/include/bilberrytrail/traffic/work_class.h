#pragma once

#include <bilberrytrail/base/enum_names.h>

namespace bilberrytrail {

// Class of a request by the length of its work.
enum class WorkClass : unsigned char
{
  // A read of a plain service, such as a stock check.
  Read,
  // A short generated answer.
  Short,
  // A long generated answer.
  Draft
};

template<>
struct EnumNames<WorkClass>
{
  static constexpr std::array<std::string_view, 3> kNames{ "read",
                                                           "short",
                                                           "draft" };
};

// Returns whether work of the class must not wait behind drafts.
[[nodiscard]] constexpr bool
IsShortWork(WorkClass aClass) noexcept
{
  return aClass != WorkClass::Draft;
}

} // namespace bilberrytrail
