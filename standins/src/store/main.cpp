#include "common/program.h"
#include "store/store_server.h"

#include <array>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::array kOptions{
  kHostOption,
  kPortOption,
  OptionSpec{ "memory-bytes",
              OptionKind::Number,
              "67108864",
              "size of the memory tier" },
  OptionSpec{ "disk-bytes",
              OptionKind::Number,
              "268435456",
              "size of the disk tier" },
  OptionSpec{ "link-bytes-per-s",
              OptionKind::Number,
              "0",
              "rate of the link, 0 for no limit" },
  OptionSpec{ "memory-bytes-per-s",
              OptionKind::Number,
              "0",
              "rate of the memory tier, 0 for no limit" },
  OptionSpec{ "disk-bytes-per-s",
              OptionKind::Number,
              "0",
              "rate of the disk tier, 0 for no limit" },
  OptionSpec{ "meter-ms",
              OptionKind::Number,
              "1000",
              "time over which the use of the link is counted" },
  OptionSpec{ "reserve-ms",
              OptionKind::Number,
              "30000",
              "time from reserving space to sealing" },
  OptionSpec{ "pin-ms", OptionKind::Number, "10000", "longest pin" },
};

int
Run(const Options& aOptions)
{
  StoreSettings settings;
  settings.mLimits.mMemoryBytes = aOptions.Unsigned("memory-bytes");
  settings.mLimits.mDiskBytes = aOptions.Unsigned("disk-bytes");
  settings.mLimits.mReserveTime = aOptions.Millis("reserve-ms");
  settings.mLimits.mPinTime = aOptions.Millis("pin-ms");
  settings.mLinkBytesPerSecond = aOptions.Real("link-bytes-per-s");
  settings.mMemoryBytesPerSecond = aOptions.Real("memory-bytes-per-s");
  settings.mDiskBytesPerSecond = aOptions.Real("disk-bytes-per-s");
  settings.mMeterWindow = aOptions.Millis("meter-ms");
  Loop loop;
  StoreServer server(loop, settings);
  return ServeUntilSignal(loop, server.Handler(), aOptions);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunProgram(aCount, aArguments, kOptions, Run);
}
