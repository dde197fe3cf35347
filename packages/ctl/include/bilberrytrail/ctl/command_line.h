#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Commands of bilberryctl.
enum class Command : unsigned char
{
  ReleaseApply,
  ReleaseShow,
  ReleaseLog,
  ReleaseCheck,
  Status,
  Histograms,
  Metrics,
  DrainDaemon,
  DrainServer,
  SettingsCheck,
  SettingsDefaults,
  QuarantineList,
  QuarantineClear,
  CatalogueSettings,
  CatalogueEvents
};

template<>
struct EnumNames<Command>
{
  static constexpr std::array<std::string_view, 15> kNames{
    "release apply",
    "release show",
    "release log",
    "release check",
    "status",
    "histograms",
    "metrics",
    "drain daemon",
    "drain server",
    "settings check",
    "settings defaults",
    "quarantine list",
    "quarantine clear",
    "catalogue settings",
    "catalogue events"
  };
};

// A validated command line. Options that were not given are empty.
struct CommandLine
{
  // Empty if only the general help was requested.
  std::optional<Command> mCommand;
  bool mHelp = false;
  bool mJson = false;
  std::optional<Endpoint> mDaemon;
  std::string mTokenFile;
  Duration mTimeout = 10s;
  std::string mAccount;
  std::string mClass;
  // Release number, as decimal text.
  std::string mNumber;
  // Positional argument: a file, name, product or fingerprint.
  std::string mArgument;
};

// Parses the arguments after the program name. Fails with InvalidInput.
//
//   auto line = ParseCommandLine({ "release", "log", "guides", "--json" });
[[nodiscard]] Result<CommandLine>
ParseCommandLine(const std::vector<std::string>& aArguments);

// Returns the help text of a command, or without one the general help with
// the list of commands.
[[nodiscard]] std::string
RenderHelp(std::optional<Command> aCommand);

// Returns true for commands that send a request to a daemon.
[[nodiscard]] bool
NeedsDaemon(Command aCommand) noexcept;

} // namespace bilberrytrail
