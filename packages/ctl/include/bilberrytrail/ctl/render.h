#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/ctl/command_line.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// Returns the body of a successful reply as text for people. Fails with
// Corrupt when it is not in the form of docs/PROTOCOL-OPERATOR.md.
[[nodiscard]] Result<std::string>
RenderReply(Command aCommand, std::string_view aBody);

} // namespace bilberrytrail
