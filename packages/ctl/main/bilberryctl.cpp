#include <bilberrytrail/ctl/http_transport.h>
#include <bilberrytrail/ctl/run.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

using namespace bilberrytrail;

namespace {

CommandOutput
UsageError(const Error& aError)
{
  return { ExitStatus::Usage, "", aError.mMessage + "\n" };
}

// Returns the daemon's address from --daemon or BILBERRYTRAIL_DAEMON.
Result<Endpoint>
DaemonAddress(const CommandLine& aLine)
{
  if (aLine.mDaemon) {
    return *aLine.mDaemon;
  }
  const char* text = std::getenv("BILBERRYTRAIL_DAEMON");
  return ParseEndpoint(text == nullptr ? "" : text);
}

CommandOutput
RunOnDaemon(const CommandLine& aLine)
{
  const auto daemon = DaemonAddress(aLine);
  if (!daemon) {
    return UsageError(Fail(ErrorCode::InvalidInput,
                           "expected a daemon's operator address in --daemon "
                           "or BILBERRYTRAIL_DAEMON"));
  }
  auto token = ReadToken(aLine.mTokenFile, std::getenv("BILBERRYTRAIL_TOKEN"));
  if (!token) {
    return UsageError(token.error());
  }
  HttpTransport transport(daemon.value(), aLine.mTimeout);
  OperatorApi api(transport, std::move(token).value());
  return RunRemote(aLine, api);
}

CommandOutput
RunCommandLine(const std::vector<std::string>& aArguments)
{
  const auto line = ParseCommandLine(aArguments);
  if (!line) {
    return UsageError(line.error());
  }
  if (line.value().mHelp || !line.value().mCommand) {
    return { ExitStatus::Done, RenderHelp(line.value().mCommand), "" };
  }
  return NeedsDaemon(*line.value().mCommand) ? RunOnDaemon(line.value())
                                             : RunLocal(line.value());
}

} // namespace

int
main(int aCount, char** aArguments)
{
  const auto output = RunCommandLine({ aArguments + 1, aArguments + aCount });
  std::cout << output.mOut << std::flush;
  std::cerr << output.mError << std::flush;
  return static_cast<int>(output.mStatus);
}
