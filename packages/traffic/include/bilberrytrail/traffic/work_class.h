#pragma once

#include <bilberrytrail/base/enum_names.h>

namespace bilberrytrail {

// Class of a request by its expected running time.
enum class WorkClass : unsigned char
{
  // A read from a plain service, such as a stock check.
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

// Returns whether work of the class must not be delayed by drafts.
[[nodiscard]] constexpr bool
IsShortWork(WorkClass aClass) noexcept
{
  return aClass != WorkClass::Draft;
}

} // namespace bilberrytrail
