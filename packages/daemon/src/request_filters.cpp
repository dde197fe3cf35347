#include "request_filters.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/orders/claim_row.h>
#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>
#include <charconv>

namespace bilberrytrail {

namespace {

constexpr std::string_view kCompletionsPath = "/v1/completions";
constexpr std::string_view kProductsPath = "/v1/products/";
constexpr std::string_view kServicesPart = "/services/";
constexpr std::uint32_t kDefaultMaxTokens = 256;
constexpr std::uint32_t kLargestMaxTokens = 65536;
constexpr Duration kNotReadyRetry = 1s;

class ReadinessFilter final : public RequestFilter
{
public:
  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    const ControlView& view = *aContext.mView;
    if (view.mClosing) {
      return aContext.Refuse(RefusalReason::Draining,
                             "this daemon is stopping; another one serves you",
                             Duration::zero());
    }
    if (!view.mNotReady.empty()) {
      return aContext.Refuse(
        RefusalReason::PlatformUnavailable, view.mNotReady, kNotReadyRetry);
    }
    return std::nullopt;
  }
};

class AuthenticateFilter final : public RequestFilter
{
public:
  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    constexpr std::string_view kBearer = "Bearer ";
    const auto header = FindHeader(aContext.mHttp.mHeaders, "Authorization");
    if (!header.starts_with(kBearer)) {
      return aContext.Refuse(RefusalReason::Unauthorized,
                             "expected the header Authorization: Bearer TOKEN");
    }
    const auto hash = Sha256Hex(header.substr(kBearer.size()));
    const auto& tokens = aContext.mView->mTokens;
    const auto it = tokens.find(hash);
    if (it == tokens.end()) {
      return aContext.Refuse(RefusalReason::Unauthorized, "unknown token");
    }
    aContext.mAccount = it->second;
    aContext.mProduct = aContext.mView->FindProduct(it->second.mProduct);
    if (aContext.mProduct == nullptr) {
      return aContext.Refuse(RefusalReason::Unauthorized, "unknown product");
    }
    return std::nullopt;
  }
};

class DeadlineFilter final : public RequestFilter
{
public:
  explicit DeadlineFilter(const DaemonSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    const auto text = FindHeader(aContext.mHttp.mHeaders, "X-Deadline-Ms");
    Duration length = mSettings.mDefaultDeadline;
    if (!text.empty()) {
      std::uint32_t n = 0;
      const auto [end, ec] =
        std::from_chars(text.data(), text.data() + text.size(), n);
      if (ec != std::errc() || end != text.data() + text.size() || n == 0) {
        return aContext.Refuse(
          RefusalReason::InvalidRequest,
          "X-Deadline-Ms must be a whole number of milliseconds above 0");
      }
      length = std::min<Duration>(std::chrono::milliseconds(n),
                                  mSettings.mMaxDeadline);
    }
    aContext.mDeadline = aContext.mArrivedAt + length;
    return std::nullopt;
  }

private:
  const DaemonSettings& mSettings;
};

class ParseFilter final : public RequestFilter
{
public:
  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    const std::string_view target = aContext.mHttp.mTarget;
    if (target == kCompletionsPath) {
      return ParseCompletion(aContext);
    }
    if (target.starts_with(kProductsPath)) {
      return ParseService(aContext, target.substr(kProductsPath.size()));
    }
    return Invalid(aContext, "no such path");
  }

private:
  static Refusal Invalid(RequestContext& aContext, std::string aText)
  {
    return aContext.Refuse(RefusalReason::InvalidRequest, std::move(aText));
  }

  static std::optional<Refusal> ParseCompletion(RequestContext& aContext)
  {
    if (aContext.mHttp.mMethod != "POST") {
      return Invalid(aContext, "completions take POST");
    }
    const auto json = ParseJson(aContext.mHttp.mBody);
    if (!json || !json.value().is_object()) {
      return Invalid(aContext, "the body must be a JSON object");
    }
    JsonFields fields(json.value());
    CompletionRequest request;
    request.mModel = ModelId(fields.Text("model"));
    request.mPrompt = fields.Text("prompt");
    request.mMaxTokens = fields.Has("max_tokens")
                           ? fields.Unsigned32("max_tokens")
                           : kDefaultMaxTokens;
    request.mStream = fields.Has("stream") && fields.Flag("stream");
    request.mAdapter = fields.Has("adapter") ? fields.Text("adapter") : "";
    if (const auto ok = fields.Check(); !ok) {
      return Invalid(aContext, ok.error().mMessage);
    }
    if (request.mMaxTokens == 0 || request.mMaxTokens > kLargestMaxTokens) {
      return Invalid(aContext,
                     "max_tokens must be 1 to " +
                       std::to_string(kLargestMaxTokens));
    }
    aContext.mCompletion = std::move(request);
    return std::nullopt;
  }

  static std::optional<Refusal> ParseService(RequestContext& aContext,
                                             std::string_view aRest)
  {
    const auto services = aRest.find(kServicesPart);
    if (services == std::string_view::npos ||
        aRest.substr(0, services) != aContext.mAccount.mProduct.Text()) {
      return Invalid(aContext, "no such product");
    }
    aRest.remove_prefix(services + kServicesPart.size());
    const auto slash = aRest.find('/');
    ServiceRequest request;
    request.mService = std::string(aRest.substr(0, slash));
    request.mPath =
      slash == std::string_view::npos ? "/" : std::string(aRest.substr(slash));
    const auto it = aContext.mProduct->mServices.find(request.mService);
    if (it == aContext.mProduct->mServices.end()) {
      return Invalid(aContext, "no such service: " + request.mService);
    }
    request.mRepeatable =
      IsRepeatable(it->second, aContext.mHttp.mMethod, request.mPath);
    request.mIdempotencyKey =
      std::string(FindHeader(aContext.mHttp.mHeaders, "Idempotency-Key"));
    if (!request.mRepeatable) {
      if (const auto ok = CheckIdempotencyKey(request.mIdempotencyKey); !ok) {
        return Invalid(aContext, ok.error().mMessage);
      }
    }
    aContext.mService = std::move(request);
    return std::nullopt;
  }

  // A call may be repeated when the release note lists its method and a path
  // that it equals or lies below.
  static bool IsRepeatable(const ServiceSpec& aService,
                           const std::string& aMethod,
                           std::string_view aPath)
  {
    const auto path = aPath.substr(0, aPath.find('?'));
    return std::any_of(
      aService.mRepeatable.begin(),
      aService.mRepeatable.end(),
      [&](const std::string& aRule) {
        const auto space = aRule.find(' ');
        const std::string_view prefix = std::string_view(aRule).substr(
          space == std::string::npos ? aRule.size() : space + 1);
        return aRule.substr(0, space) == aMethod && path.starts_with(prefix) &&
               (path.size() == prefix.size() || prefix.ends_with('/') ||
                path[prefix.size()] == '/');
      });
  }
};

class EstimateFilter final : public RequestFilter
{
public:
  explicit EstimateFilter(WorkEstimator& aEstimator)
    : mEstimator(aEstimator)
  {
  }

  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    RequestShape& shape = aContext.mShape;
    shape.mAccount = aContext.mAccount.mAccount;
    shape.mStatedClass =
      FromName<WorkClass>(FindHeader(aContext.mHttp.mHeaders, "X-Work-Class"));
    if (aContext.mCompletion) {
      const CompletionRequest& request = *aContext.mCompletion;
      const auto it = aContext.mProduct->mModels.find(request.mModel);
      if (it == aContext.mProduct->mModels.end()) {
        return aContext.Refuse(RefusalReason::InvalidRequest,
                               "no such model: " + request.mModel.Text());
      }
      aContext.mVersion = it->second.mVersion;
      shape.mPromptBytes = request.mPrompt.size();
      shape.mMaxTokens = request.mMaxTokens;
    } else {
      shape.mPromptBytes = aContext.mHttp.mBody.size();
      shape.mPlainService = true;
    }
    aContext.mEstimate = mEstimator.Estimate(shape);
    return std::nullopt;
  }

private:
  WorkEstimator& mEstimator;
};

} // namespace

std::unique_ptr<RequestFilter>
MakeReadinessFilter()
{
  return std::make_unique<ReadinessFilter>();
}

std::unique_ptr<RequestFilter>
MakeAuthenticateFilter()
{
  return std::make_unique<AuthenticateFilter>();
}

std::unique_ptr<RequestFilter>
MakeDeadlineFilter(const DaemonSettings& aSettings)
{
  return std::make_unique<DeadlineFilter>(aSettings);
}

std::unique_ptr<RequestFilter>
MakeParseFilter()
{
  return std::make_unique<ParseFilter>();
}

std::unique_ptr<RequestFilter>
MakeEstimateFilter(WorkEstimator& aEstimator)
{
  return std::make_unique<EstimateFilter>(aEstimator);
}

} // namespace bilberrytrail
