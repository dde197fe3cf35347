#pragma once

#include <bilberrytrail/ctl/command_line.h>
#include <bilberrytrail/ctl/exit_status.h>
#include <bilberrytrail/ctl/operator_api.h>

#include <string>

namespace bilberrytrail {

// What a command prints, and its exit status.
struct CommandOutput
{
  ExitStatus mStatus = ExitStatus::Done;
  std::string mOut;
  std::string mError;
};

// Runs a command that needs no daemon.
[[nodiscard]] CommandOutput
RunLocal(const CommandLine& aLine);

// Runs a command that asks a daemon.
[[nodiscard]] CommandOutput
RunRemote(const CommandLine& aLine, OperatorApi& aApi);

// Returns the operator's token: the first line of the file, or when none is
// named the given value of BILBERRYTRAIL_TOKEN. Fails with InvalidInput.
[[nodiscard]] Result<std::string>
ReadToken(const std::string& aFile, const char* aEnvironment);

} // namespace bilberrytrail
