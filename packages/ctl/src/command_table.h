#pragma once

#include <bilberrytrail/ctl/command_line.h>

#include <span>
#include <string_view>

namespace bilberrytrail {

// Describes one command. mArgument is the placeholder of its positional
// argument, empty for none; mOptions holds the help lines of its own options.
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
