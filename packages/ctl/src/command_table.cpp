#include "command_table.h"

#include <array>

namespace bilberrytrail {

namespace {

using enum Command;

constexpr std::array kCommands{
  CommandInfo{
    ReleaseApply,
    true,
    "FILE",
    "",
    "Checks the release note in a file and applies it. If the reply is "
    "lost, retries\nwith the same id. Exit status 3 if another "
    "release was applied first." },
  CommandInfo{ ReleaseShow,
               true,
               "PRODUCT",
               "  --number N        release number, the newest by default\n",
               "Prints a release note of a product." },
  CommandInfo{ ReleaseLog,
               true,
               "PRODUCT",
               "",
               "Lists the releases of a product, newest first." },
  CommandInfo{ ReleaseCheck,
               false,
               "FILE",
               "",
               "Checks the release note in a file without applying it." },
  CommandInfo{ Status,
               true,
               "",
               "",
               "Shows daemons, backend servers, their homes and the release "
               "of each server." },
  CommandInfo{ Histograms,
               true,
               "",
               "  --account NAME    only this client account\n"
               "  --class NAME      only this class\n",
               "Shows histograms of durations per client account and class." },
  CommandInfo{ Metrics, true, "", "", "Prints counters and quantiles." },
  CommandInfo{ DrainDaemon,
               true,
               "NAME",
               "",
               "Drains a daemon: it finishes its streams and exits." },
  CommandInfo{ DrainServer,
               true,
               "NAME",
               "",
               "Drains a backend server: it gets no new requests." },
  CommandInfo{ SettingsCheck,
               false,
               "FILE",
               "",
               "Checks a settings file of bilberryd and its site key file." },
  CommandInfo{ SettingsDefaults,
               false,
               "",
               "",
               "Prints all settings of bilberryd with their defaults." },
  CommandInfo{ QuarantineList,
               true,
               "",
               "",
               "Lists requests that are suspected or convicted of crashing "
               "backend servers." },
  CommandInfo{ QuarantineClear,
               true,
               "FINGERPRINT",
               "",
               "Removes a request from quarantine, so that it can run again." },
  CommandInfo{ CatalogueSettings, false, "", "", "Prints docs/SETTINGS.md." },
  CommandInfo{ CatalogueEvents, false, "", "", "Prints docs/EVENTS.md." },
};

static_assert(kCommands.size() == EnumCount<Command>());

const CommandInfo&
InfoOf(Command aCommand)
{
  return kCommands[static_cast<std::size_t>(aCommand)];
}

std::string
Usage(const CommandInfo& aInfo)
{
  std::string text(ToName(aInfo.mCommand));
  if (!aInfo.mArgument.empty()) {
    text += ' ';
    text += aInfo.mArgument;
  }
  return text;
}

constexpr std::string_view kCommonOptions =
  "  --json            print the daemon's reply as JSON\n"
  "  --daemon H:P      operator address of a daemon; default "
  "BILBERRYTRAIL_DAEMON\n"
  "  --token-file F    file with the operator's token; default "
  "BILBERRYTRAIL_TOKEN\n"
  "  --timeout S       seconds to wait for a reply, 10 by default\n";

} // namespace

std::span<const CommandInfo>
CommandTable() noexcept
{
  return kCommands;
}

bool
NeedsDaemon(Command aCommand) noexcept
{
  return InfoOf(aCommand).mNeedsDaemon;
}

std::string
RenderHelp(std::optional<Command> aCommand)
{
  std::string text = "usage: bilberryctl ";
  if (aCommand) {
    const auto& info = InfoOf(*aCommand);
    text += Usage(info) + " [options]\n\n" + std::string(info.mHelp) +
            "\n\noptions:\n" + std::string(info.mOptions);
    text += info.mNeedsDaemon ? kCommonOptions : "";
  } else {
    text += "COMMAND [options]\n\ncommands:\n";
    for (const auto& info : kCommands) {
      text += "  " + Usage(info) + "\n";
    }
    text += "\nbilberryctl COMMAND --help describes a command.\n\noptions:\n";
    text += kCommonOptions;
  }
  return text + "  -h, --help        print this help\n";
}

} // namespace bilberrytrail
