#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/ctl/command_line.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// Returns the body of a successful reply as human-readable text. Missing
// members are shown as empty, 0 or "-". Fails with Corrupt if the body is not
// a JSON object; the body of Metrics is returned as it is.
[[nodiscard]] Result<std::string>
RenderReply(Command aCommand, std::string_view aBody);

} // namespace bilberrytrail
