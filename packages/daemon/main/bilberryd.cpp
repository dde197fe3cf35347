#include <bilberrytrail/base/log.h>
#include <bilberrytrail/daemon/daemon.h>
#include <bilberrytrail/entry/entry_daemon.h>
#include <bilberrytrail/fleet/fleet_platform.h>

#include <getopt.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
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
  "       bilberryd --entry [--check] [--settings FILE]\n"
  "       bilberryd --entry --print-defaults\n"
  "  -s, --settings FILE   settings in INI, see docs/SETTINGS.md\n"
  "  -c, --check           check the settings and exit\n"
  "  -d, --print-defaults  print all settings with their defaults\n"
  "  -e, --entry           serve on a table platform, by the settings of\n"
  "                        docs/SETTINGS-ENTRY.md; without\n"
  "                        --settings from the file that the environment\n"
  "                        variable BILBERRYTRAIL_CONFIG names\n"
  "  -h, --help            print this text\n";

struct Options
{
  std::string mSettings;
  bool mCheck = false;
  bool mPrintDefaults = false;
  bool mEntry = false;
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
    { "entry", no_argument, nullptr, 'e' },
    { "help", no_argument, nullptr, 'h' },
    { nullptr, 0, nullptr, 0 },
  };
  Options options;
  int it = 0;
  while ((it = getopt_long(aCount, aArguments, "s:cdeh", kOptions, nullptr)) !=
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
      case 'e':
        options.mEntry = true;
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

// Blocks the signals that a thread of its own serves.
sigset_t
BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int it : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, it);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Waits for SIGTERM or SIGINT; reloads the settings on SIGHUP.
void
AwaitStop(const sigset_t& aSignals, const std::function<void()>& aReload)
{
  int it = SIGHUP;
  while (sigwait(&aSignals, &it) == 0 && it == SIGHUP) {
    aReload();
  }
}

// Drains on the first SIGTERM or SIGINT and exits at once on the second.
template<class AnyDaemon>
void
ServeSignals(AnyDaemon& aDaemon,
             const sigset_t& aSignals,
             const std::function<void()>& aReload)
{
  AwaitStop(aSignals, aReload);
  aDaemon.Drain();
  AwaitStop(aSignals, aReload);
  LogLine(LogEvent::StopForced);
  std::_Exit(kExitForced);
}

template<class AnyDaemon>
int
Serve(AnyDaemon& aDaemon, const std::function<void()>& aReload)
{
  const auto signals = BlockSignals();
  if (const auto ok = aDaemon.Start(); !ok) {
    LogLine(LogEvent::ListenFailed, { { "reason", ok.error().mMessage } });
    std::cerr << "bilberryd: " << ok.error().mMessage << "\n";
    return kExitListen;
  }
  std::thread([&] { ServeSignals(aDaemon, signals, aReload); }).detach();
  aDaemon.Join();
  LogLine(LogEvent::DaemonStopped);
  std::fflush(nullptr);
  // The signal thread still waits; nothing is left to clean up.
  std::_Exit(EXIT_SUCCESS);
}

void
LogDefaulted(const EntrySettings& aSettings)
{
  for (const auto& it : aSettings.mDefaulted) {
    LogLine(LogEvent::SettingDefaulted, { { "reason", it } });
  }
}

// Takes the log level over; the other settings hold until the next start.
void
ReloadEntry(const std::string& aPath)
{
  const auto settings = LoadEntrySettings(aPath, InvalidOptional::UseDefault);
  if (!settings) {
    LogLine(LogEvent::SettingsRejected,
            { { "reason", settings.error().mMessage } });
    return;
  }
  const auto opened = OpenLog({ settings.value().mLogLevel, "" });
  LogDefaulted(settings.value());
  LogLine(LogEvent::SettingsReloaded,
          { { "log_level", settings.value().mLogLevel },
            { "log_opened", opened.has_value() } });
}

int
RunEntry(const Options& aOptions)
{
  const char* path = std::getenv("BILBERRYTRAIL_CONFIG");
  const std::string file =
    aOptions.mSettings.empty() && path != nullptr ? path : aOptions.mSettings;
  const auto settings = LoadEntrySettings(
    file,
    aOptions.mCheck ? InvalidOptional::Reject : InvalidOptional::UseDefault);
  if (!settings) {
    std::cerr << settings.error().mMessage << "\n";
    return kExitSettings;
  }
  if (aOptions.mCheck) {
    std::cout << file << ": settings are valid\n";
    return EXIT_SUCCESS;
  }
  if (const auto ok = OpenLog({ settings.value().mLogLevel, "" }); !ok) {
    std::cerr << "bilberryd: " << ok.error().mMessage << "\n";
    return kExitSettings;
  }
  LogDefaulted(settings.value());
  const auto platform = MakeFleetPlatform();
  EntryDaemon daemon(settings.value(), *platform);
  return Serve(daemon, [file] { ReloadEntry(file); });
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
  if (options.mPrintDefaults && options.mEntry) {
    std::cout << RenderEntrySettingsPage();
    return EXIT_SUCCESS;
  }
  if (options.mPrintDefaults) {
    std::cout << RenderDefaults(DaemonSettingTable());
    return EXIT_SUCCESS;
  }
  if (options.mValid && options.mEntry) {
    return RunEntry(options);
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
  Daemon daemon(std::move(settings).value());
  return Serve(daemon, [] {
    LogLine(LogEvent::SettingsReloaded, { { "changed", false } });
  });
}
