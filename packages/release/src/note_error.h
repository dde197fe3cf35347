#pragma once

#include <bilberrytrail/base/error.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// Makes an InvalidInput error that begins with "file:line: ".
[[nodiscard]] inline Error
FailAt(std::string_view aFile, int aLine, std::string_view aMessage)
{
  std::string text(aFile);
  text += ":" + std::to_string(aLine) + ": ";
  text += aMessage;
  return Fail(ErrorCode::InvalidInput, std::move(text));
}

} // namespace bilberrytrail
