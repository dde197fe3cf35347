#pragma once

#include <bilberrytrail/ctl/command_line.h>

#include <span>
#include <string_view>

namespace bilberrytrail {

// One command: its argument, empty for none, and its help.
struct CommandInfo
{
  Command mCommand;
  bool mNeedsDaemon;
  std::string_view mArgument;
  std::string_view mOptions;
  std::string_view mHelp;
};

// Returns all commands in the order of Command.
[[nodiscard]] std::span<const CommandInfo>
CommandTable() noexcept;

} // namespace bilberrytrail
