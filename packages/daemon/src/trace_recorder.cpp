#include "trace_recorder.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/platform/json_fields.h>

#include <fstream>
#include <string_view>

namespace bilberrytrail {

namespace {

constexpr std::size_t kHashDigits = 16;

// Hashes an identifier, so that equal ones stay equal and none can be read.
std::string
Hidden(const DaemonSettings& aSettings,
       std::string_view aKind,
       std::string_view aText)
{
  return HmacSha256Hex(aSettings.mSiteKey,
                       "trace/" + std::string(aKind) + "/" + std::string(aText))
    .substr(0, kHashDigits);
}

class TraceFilter final : public RequestFilter
{
public:
  explicit TraceFilter(const DaemonSettings& aSettings)
    : mRecorder(aSettings)
  {
  }

  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    mRecorder.Record(aContext);
    return std::nullopt;
  }

private:
  TraceRecorder mRecorder;
};

} // namespace

class TraceRecorder::Impl
{
public:
  explicit Impl(const DaemonSettings& aSettings)
    : mSettings(aSettings)
    , mBegin(MonotonicNow())
  {
    if (!aSettings.mTraceFile.empty()) {
      mFile.open(aSettings.mTraceFile, std::ios::app);
    }
  }

  void Record(const RequestContext& aContext)
  {
    if (!mFile.is_open()) {
      return;
    }
    // One write for each line, so that the lines of threads do not mix.
    const auto at = aContext.mArrivedAt - mBegin;
    const std::string line = RenderTraceLine(aContext, mSettings, at) + "\n";
    mFile.write(line.data(), static_cast<std::streamsize>(line.size()));
    mFile.flush();
  }

private:
  const DaemonSettings& mSettings;
  Instant mBegin;
  std::ofstream mFile;
};

TraceRecorder::TraceRecorder(const DaemonSettings& aSettings)
  : mImpl(std::make_unique<Impl>(aSettings))
{
}

TraceRecorder::~TraceRecorder() = default;

void
TraceRecorder::Record(const RequestContext& aContext)
{
  mImpl->Record(aContext);
}

std::string
RenderTraceLine(const RequestContext& aContext,
                const DaemonSettings& aSettings,
                Duration aAt)
{
  const std::string account =
    aContext.mAccount.mProduct.Text() + "/" + aContext.mAccount.mAccount.Text();
  const bool isCompletion = aContext.mCompletion.has_value();
  const std::string_view text =
    isCompletion ? aContext.mCompletion->mPrompt : aContext.mHttp.mBody;
  // The first block tells prompts apart; later turns extend them.
  const auto root = text.substr(0, aSettings.mBlockBytes);
  Json json = {
    { "kind", "request" },
    { "at_ms", std::max<std::int64_t>(0, aAt.count() / 1000) },
    { "class", ToName(aContext.mEstimate.mClass) },
    { "account", Hidden(aSettings, "account", account) },
    { "prompt",
      Hidden(aSettings, "prompt", account + "/" + std::string(root)) },
    { "blocks", isCompletion ? text.size() / aSettings.mBlockBytes : 0 },
    { "answer",
      static_cast<std::uint32_t>(isCompletion ? aContext.mEstimate.mAnswerTokens
                                              : 0) }
  };
  if (aContext.mService && !aContext.mService->mRepeatable) {
    json["key"] = Hidden(
      aSettings, "key", account + "/" + aContext.mService->mIdempotencyKey);
  }
  return json.dump();
}

std::unique_ptr<RequestFilter>
MakeTraceFilter(const DaemonSettings& aSettings)
{
  return std::make_unique<TraceFilter>(aSettings);
}

} // namespace bilberrytrail
