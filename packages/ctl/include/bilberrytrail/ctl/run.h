#pragma once

#include <bilberrytrail/ctl/command_line.h>
#include <bilberrytrail/ctl/exit_status.h>
#include <bilberrytrail/ctl/operator_api.h>

#include <string>

namespace bilberrytrail {

// Text for standard output and standard error, and the exit status.
struct CommandOutput
{
  ExitStatus mStatus = ExitStatus::Done;
  std::string mOut;
  std::string mError;
};

// Runs a command that needs no daemon.
[[nodiscard]] CommandOutput
RunLocal(const CommandLine& aLine);

// Runs a command that sends a request to a daemon.
[[nodiscard]] CommandOutput
RunRemote(const CommandLine& aLine, OperatorApi& aApi);

// Returns the operator's token: the first line of the file, or if the file name
// is empty, the given value of BILBERRYTRAIL_TOKEN. Fails with NotFound if the
// file cannot be read, with InvalidInput if the token is empty or contains
// anything but visible ASCII characters.
[[nodiscard]] Result<std::string>
ReadToken(const std::string& aFile, const char* aEnvironment);

} // namespace bilberrytrail
