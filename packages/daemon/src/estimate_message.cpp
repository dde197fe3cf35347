#include "home_service.h"

#include <bilberrytrail/platform/json_fields.h>

namespace bilberrytrail {

Json
ToJson(const EstimateQuery& aQuery)
{
  Json json = { { "servers", Json::array() },
                { "account", aQuery.mAccount.Text() },
                { "class", ToName(aQuery.mClass) },
                { "model", aQuery.mModel.Text() },
                { "version", aQuery.mVersion.Text() },
                { "prompt_tokens", aQuery.mPromptTokens },
                { "answer_tokens", aQuery.mAnswerTokens },
                { "blocks", Json::array() } };
  for (const auto& it : aQuery.mServers) {
    json["servers"].push_back(it.Text());
  }
  for (const auto& it : aQuery.mBlocks) {
    json["blocks"].push_back(it.Value());
  }
  return json;
}

Result<EstimateQuery>
ReadEstimateQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  EstimateQuery query;
  query.mAccount = AccountId(fields.Text("account"));
  const auto workClass = FromName<WorkClass>(fields.Text("class"));
  query.mModel = ModelId(fields.Text("model"));
  query.mVersion = VersionId(fields.Text("version"));
  query.mPromptTokens = fields.Real("prompt_tokens");
  query.mAnswerTokens = fields.Real("answer_tokens");
  if (!workClass) {
    fields.Reject("class");
  }
  for (const auto& it : fields.List("servers")) {
    if (it.is_string()) {
      query.mServers.emplace_back(it.get<std::string>());
    }
  }
  for (const auto& it : fields.List("blocks")) {
    if (it.is_number_unsigned()) {
      query.mBlocks.emplace_back(it.get<std::uint64_t>());
    }
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  query.mClass = *workClass;
  return query;
}

Json
ToJson(const std::vector<ServerEstimate>& aEstimates)
{
  Json list = Json::array();
  for (const auto& it : aEstimates) {
    list.push_back({ { "server", it.mServer.Text() },
                     { "ready", it.mReady },
                     { "wait_us", it.mQueueWait.count() },
                     { "service_us", it.mService.count() },
                     { "prefill_per_s", it.mPrefillTokensPerSecond },
                     { "resident", it.mResidentBlocks },
                     { "pending", it.mPendingBlocks },
                     { "pending_us", it.mPendingWait.count() },
                     { "weight", it.mWeight } });
  }
  return { { "servers", std::move(list) } };
}

Result<std::vector<ServerEstimate>>
ReadServerEstimates(const Json& aJson)
{
  JsonFields outer(aJson);
  std::vector<ServerEstimate> estimates;
  for (const auto& it : outer.List("servers")) {
    JsonFields fields(it);
    ServerEstimate estimate;
    estimate.mServer = ServerId(fields.Text("server"));
    estimate.mReady = fields.Flag("ready");
    estimate.mQueueWait = Duration(fields.Unsigned("wait_us"));
    estimate.mService = Duration(fields.Unsigned("service_us"));
    estimate.mPrefillTokensPerSecond = fields.Real("prefill_per_s");
    estimate.mResidentBlocks = fields.Unsigned32("resident");
    estimate.mPendingBlocks = fields.Unsigned32("pending");
    estimate.mPendingWait = Duration(fields.Unsigned("pending_us"));
    estimate.mWeight = fields.Real("weight");
    if (estimate.mWeight <= 0 || estimate.mWeight > 1) {
      fields.Reject("weight");
    }
    if (auto ok = fields.Check(); !ok) {
      return std::move(ok).error();
    }
    estimates.push_back(std::move(estimate));
  }
  if (auto ok = outer.Check(); !ok) {
    return std::move(ok).error();
  }
  return estimates;
}

} // namespace bilberrytrail
