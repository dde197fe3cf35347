#include "common/program.h"

#include <csignal>
#include <cstdio>
#include <thread>

namespace bilberrytrail::standins {

namespace {

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void
StopOnSignal(Loop& aLoop)
{
  std::thread([&aLoop] {
    const auto signals = StopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
    aLoop.Stop();
  }).detach();
}

} // namespace

int
ServeUntilSignal(Loop& aLoop, HttpHandler& aHandler, const Options& aOptions)
{
  HttpLimits limits;
  limits.mBodyBytes = std::size_t{ 64 } * 1024 * 1024;
  HttpServer server(aLoop, limits);
  const auto port =
    server.Listen({ aOptions.Text("host"),
                    static_cast<std::uint16_t>(aOptions.Unsigned("port")) });
  if (!port) {
    std::fprintf(stderr, "cannot listen: %s\n", port.error().mMessage.c_str());
    return 1;
  }
  server.Serve(aHandler);
  StopOnSignal(aLoop);
  std::printf("listening %u\n", static_cast<unsigned>(port.value()));
  std::fflush(stdout);
  aLoop.Run();
  return 0;
}

int
RunProgram(int aCount,
           char** aArguments,
           std::span<const OptionSpec> aSpecs,
           const std::function<int(const Options&)>& aRun)
{
  // All threads inherit the mask, so that only the waiting one sees signals.
  const auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto options = Options::Parse(aCount, aArguments, aSpecs);
  if (!options) {
    std::fprintf(stderr,
                 "%s\n%s",
                 options.error().mMessage.c_str(),
                 HelpText(aArguments[0], aSpecs).c_str());
    return 2;
  }
  return aRun(options.value());
}

} // namespace bilberrytrail::standins
