#include "command_table.h"

#include <array>

namespace bilberrytrail {

namespace {

using enum Command;

constexpr std::array kCommands{
  CommandInfo{ ReleaseApply,
               true,
               "FILE",
               "",
               "Applies the release note of a file. Checks it first. While a "
               "reply is lost,\nasks again with the same id. Exit status 3 "
               "when another release won." },
  CommandInfo{ ReleaseShow,
               true,
               "PRODUCT",
               "  --number N        a release other than the newest\n",
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
               "Checks the release note of a file without applying it." },
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
               "Shows times per client account and class as bars." },
  CommandInfo{ Metrics, true, "", "", "Prints counters and quantiles." },
  CommandInfo{ DrainDaemon,
               true,
               "NAME",
               "",
               "Makes a daemon leave: it finishes its streams and ends." },
  CommandInfo{ DrainServer,
               true,
               "NAME",
               "",
               "Gives a backend server no new work." },
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
               "Lists requests that are suspected or convicted of ending "
               "backend servers." },
  CommandInfo{ QuarantineClear,
               true,
               "FINGERPRINT",
               "",
               "Lets a request run again." },
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
  "  --json            print the daemon's answer as JSON\n"
  "  --daemon H:P      operator address of a daemon; else "
  "BILBERRYTRAIL_DAEMON\n"
  "  --token-file F    file with the operator's token; else "
  "BILBERRYTRAIL_TOKEN\n"
  "  --timeout S       seconds to wait for an answer, 10 by default\n";

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
    text += "\nbilberryctl COMMAND --help tells more of each.\n\noptions:\n";
    text += kCommonOptions;
  }
  return text + "  -h, --help        this text\n";
}

} // namespace bilberrytrail
