#include "common/program.h"
#include "engine/engine_server.h"

#include <array>
#include <cstdio>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr std::array kOptions{
  kHostOption,
  kPortOption,
  OptionSpec{ "slots", OptionKind::Number, "8", "attempts in one batch" },
  OptionSpec{ "cache-blocks",
              OptionKind::Number,
              "64",
              "blocks of the prefix cache" },
  OptionSpec{ "prefill-tokens-per-s",
              OptionKind::Number,
              "20000",
              "prefill speed of the server" },
  OptionSpec{ "decode-tokens-per-s",
              OptionKind::Number,
              "50",
              "decode speed of one stream" },
  OptionSpec{ "tokens-per-chunk",
              OptionKind::Number,
              "1",
              "tokens in one piece of an answer" },
  OptionSpec{ "kv-bytes-per-token",
              OptionKind::Number,
              "16",
              "KV cache bytes of one prompt token" },
  OptionSpec{ "link-bytes-per-s",
              OptionKind::Number,
              "0",
              "rate of the link to stores, 0 for no limit" },
  OptionSpec{ "ignore-fencing",
              OptionKind::Flag,
              "false",
              "obey orders with an old fencing number" },
  OptionSpec{ "load-ms",
              OptionKind::Number,
              "2000",
              "time to load a version without a weight store" },
  OptionSpec{ "weight-store",
              OptionKind::Text,
              "",
              "host:port of the weight store" },
  OptionSpec{ "preload",
              OptionKind::Text,
              "",
              "model:version that is ready at the start" },
  OptionSpec{ "report-ms",
              OptionKind::Number,
              "100",
              "period of load reports" },
  OptionSpec{ "report-lag-ms",
              OptionKind::Number,
              "0",
              "time until an event is published" },
  OptionSpec{ "event-gap-every",
              OptionKind::Number,
              "0",
              "lose every Nth event, 0 for none" },
};

Result<EngineSettings>
ReadSettings(const Options& aOptions)
{
  EngineSettings settings;
  settings.mSlots = static_cast<std::uint32_t>(aOptions.Unsigned("slots"));
  settings.mCacheBlocks = aOptions.Unsigned("cache-blocks");
  settings.mPrefillTokensPerSecond = aOptions.Real("prefill-tokens-per-s");
  settings.mDecodeTokensPerSecond = aOptions.Real("decode-tokens-per-s");
  settings.mTokensPerChunk =
    static_cast<std::uint32_t>(aOptions.Unsigned("tokens-per-chunk"));
  settings.mKvBytesPerToken = aOptions.Unsigned("kv-bytes-per-token");
  settings.mLinkBytesPerSecond = aOptions.Real("link-bytes-per-s");
  settings.mIgnoresFencing = aOptions.Flag("ignore-fencing");
  settings.mLoadTime = aOptions.Millis("load-ms");
  settings.mReportPeriod = aOptions.Millis("report-ms");
  settings.mReportLag = aOptions.Millis("report-lag-ms");
  settings.mEventGapEvery = aOptions.Unsigned("event-gap-every");
  if (settings.mSlots == 0 || settings.mTokensPerChunk == 0 ||
      settings.mDecodeTokensPerSecond <= 0 || settings.mKvBytesPerToken == 0 ||
      settings.mReportPeriod <= Duration(0)) {
    return Fail(ErrorCode::InvalidInput, "an option must be greater than 0");
  }
  if (!aOptions.Text("weight-store").empty()) {
    const auto endpoint = ParseEndpoint(aOptions.Text("weight-store"));
    if (!endpoint) {
      return endpoint.error();
    }
    settings.mWeightStore = endpoint.value();
  }
  return settings;
}

int
Run(const Options& aOptions)
{
  const auto settings = ReadSettings(aOptions);
  if (!settings) {
    std::fprintf(stderr, "%s\n", settings.error().mMessage.c_str());
    return 2;
  }
  Loop loop;
  EngineServer server(loop, settings.value());
  const auto& preload = aOptions.Text("preload");
  if (const auto colon = preload.find(':'); colon != std::string::npos) {
    server.Preload(ModelId(preload.substr(0, colon)),
                   VersionId(preload.substr(colon + 1)));
  }
  return ServeUntilSignal(loop, server.Handler(), aOptions);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  return RunProgram(aCount, aArguments, kOptions, Run);
}
