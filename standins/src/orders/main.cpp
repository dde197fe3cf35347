#include "common/program.h"
#include "orders/order_server.h"

#include <array>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::array kOptions{
  kHostOption,
  kPortOption,
  OptionSpec{ "book-ms", OptionKind::Number, "5", "time of one booking" },
  OptionSpec{ "stock-ms", OptionKind::Number, "1", "time of one stock read" },
};

int
Run(const Options& aOptions)
{
  OrderSettings settings;
  settings.mBookTime = aOptions.Millis("book-ms");
  settings.mStockTime = aOptions.Millis("stock-ms");
  Loop loop;
  OrderServer server(loop, settings);
  return ServeUntilSignal(loop, server.Handler(), aOptions);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunProgram(aCount, aArguments, kOptions, Run);
}
