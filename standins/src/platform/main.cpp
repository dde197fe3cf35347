#include "common/program.h"
#include "platform/platform_server.h"

#include <array>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::array kOptions{
  kHostOption,
  kPortOption,
  OptionSpec{ "list-lag-ms",
              OptionKind::Number,
              "0",
              "time until a change of the VM list is seen" },
  OptionSpec{ "download-ms",
              OptionKind::Number,
              "2000",
              "time of one weight download at full speed" },
  OptionSpec{ "full-speed-downloads",
              OptionKind::Number,
              "2",
              "downloads at once without loss of speed" },
  OptionSpec{ "most-downloads",
              OptionKind::Number,
              "8",
              "downloads admitted at once" },
};

int
Run(const Options& aOptions)
{
  PlatformSettings settings;
  settings.mListLag = aOptions.Millis("list-lag-ms");
  settings.mDownloadTime = aOptions.Millis("download-ms");
  settings.mFullSpeedDownloads = aOptions.Unsigned("full-speed-downloads");
  settings.mMostDownloads = aOptions.Unsigned("most-downloads");
  Loop loop;
  PlatformServer server(loop, settings);
  return ServeUntilSignal(loop, server.Handler(), aOptions);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunProgram(aCount, aArguments, kOptions, Run);
}
