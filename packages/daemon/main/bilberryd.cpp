#include <bilberrytrail/base/log.h>
#include <bilberrytrail/daemon/daemon.h>

#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace bilberrytrail;

constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitListen = 4;
constexpr int kExitForced = 5;

constexpr const char* kUsage =
  "usage: bilberryd --settings FILE\n"
  "       bilberryd --check --settings FILE\n"
  "       bilberryd --print-defaults\n"
  "  -s, --settings FILE   settings in INI, see docs/SETTINGS.md\n"
  "  -c, --check           check the settings and exit\n"
  "  -d, --print-defaults  print all settings with their defaults\n"
  "  -h, --help            print this text\n";

struct Options
{
  std::string mSettings;
  bool mCheck = false;
  bool mPrintDefaults = false;
  bool mHelp = false;
  bool mValid = true;
};

Options
ReadOptions(int aCount, char** aArguments)
{
  static const option kOptions[] = {
    { "settings", required_argument, nullptr, 's' },
    { "check", no_argument, nullptr, 'c' },
    { "print-defaults", no_argument, nullptr, 'd' },
    { "help", no_argument, nullptr, 'h' },
    { nullptr, 0, nullptr, 0 },
  };
  Options options;
  int it = 0;
  while ((it = getopt_long(aCount, aArguments, "s:cdh", kOptions, nullptr)) !=
         -1) {
    switch (it) {
      case 's':
        options.mSettings = optarg;
        break;
      case 'c':
        options.mCheck = true;
        break;
      case 'd':
        options.mPrintDefaults = true;
        break;
      case 'h':
        options.mHelp = true;
        break;
      default:
        options.mValid = false;
    }
  }
  options.mValid = options.mValid && optind == aCount;
  return options;
}

// Drains on the first SIGTERM or SIGINT and exits at once on the second.
void
ServeSignals(Daemon& aDaemon, const sigset_t& aSignals)
{
  int it = 0;
  sigwait(&aSignals, &it);
  aDaemon.Drain();
  sigwait(&aSignals, &it);
  LogLine(LogEvent::StopForced);
  std::_Exit(kExitForced);
}

int
Serve(DaemonSettings aSettings)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  Daemon daemon(std::move(aSettings));
  if (const auto ok = daemon.Start(); !ok) {
    LogLine(LogEvent::ListenFailed, { { "reason", ok.error().mMessage } });
    std::cerr << "bilberryd: " << ok.error().mMessage << "\n";
    return kExitListen;
  }
  std::thread([&] { ServeSignals(daemon, signals); }).detach();
  daemon.Join();
  LogLine(LogEvent::DaemonStopped);
  std::fflush(nullptr);
  // The signal thread still waits; nothing is left to clean up.
  std::_Exit(EXIT_SUCCESS);
}

} // namespace

int
main(int argc, char** argv)
{
  const Options options = ReadOptions(argc, argv);
  if (options.mHelp) {
    std::cout << kUsage;
    return EXIT_SUCCESS;
  }
  if (options.mPrintDefaults) {
    std::cout << RenderDefaults(DaemonSettingTable());
    return EXIT_SUCCESS;
  }
  if (!options.mValid || options.mSettings.empty()) {
    std::cerr << kUsage;
    return kExitUsage;
  }
  auto settings = LoadDaemonSettings(options.mSettings);
  if (!settings) {
    std::cerr << settings.error().mMessage << "\n";
    return kExitSettings;
  }
  if (options.mCheck) {
    std::cout << options.mSettings << ": settings are valid\n";
    return EXIT_SUCCESS;
  }
  const LogOptions log{ settings.value().mLogLevel, settings.value().mLogFile };
  if (const auto ok = OpenLog(log); !ok) {
    std::cerr << "bilberryd: " << ok.error().mMessage << "\n";
    return kExitSettings;
  }
  return Serve(std::move(settings).value());
}
