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

// Takes the daemon's address from the option or the environment.
Result<Endpoint>
DaemonOf(const CommandLine& aLine)
{
  if (aLine.mDaemon) {
    return *aLine.mDaemon;
  }
  const char* text = std::getenv("BILBERRYTRAIL_DAEMON");
  return ParseEndpoint(text == nullptr ? "" : text);
}

CommandOutput
AskDaemon(const CommandLine& aLine)
{
  const auto daemon = DaemonOf(aLine);
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
RunWords(const std::vector<std::string>& aWords)
{
  const auto line = ParseCommandLine(aWords);
  if (!line) {
    return UsageError(line.error());
  }
  if (line.value().mHelp || !line.value().mCommand) {
    return { ExitStatus::Done, RenderHelp(line.value().mCommand), "" };
  }
  return NeedsDaemon(*line.value().mCommand) ? AskDaemon(line.value())
                                             : RunLocal(line.value());
}

} // namespace

int
main(int aCount, char** aWords)
{
  const auto output = RunWords({ aWords + 1, aWords + aCount });
  std::cout << output.mOut << std::flush;
  std::cerr << output.mError << std::flush;
  return static_cast<int>(output.mStatus);
}
