#include "estimate_message.h"

#include <bilberrytrail/platform/json_read.h>

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
  query.mClass = ReadEnumField<WorkClass>(fields, "class");
  query.mModel = ModelId(fields.Text("model"));
  query.mVersion = VersionId(fields.Text("version"));
  query.mPromptTokens = fields.Real("prompt_tokens");
  query.mAnswerTokens = fields.Real("answer_tokens");
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
  return Checked(fields, std::move(query));
}

Json
ToJson(const ServerEstimate& aEstimate)
{
  return { { "server", aEstimate.mServer.Text() },
           { "ready", aEstimate.mReady },
           { "wait_us", aEstimate.mQueueWait.count() },
           { "service_us", aEstimate.mService.count() },
           { "prefill_per_s", aEstimate.mPrefillTokensPerSecond },
           { "resident", aEstimate.mResidentBlocks },
           { "pending", aEstimate.mPendingBlocks },
           { "pending_us", aEstimate.mPendingWait.count() },
           { "served_instead", aEstimate.mServedInstead.Text() },
           { "weight", aEstimate.mWeight },
           { "room", aEstimate.mHasRoom } };
}

Result<ServerEstimate>
ReadServerEstimate(const Json& aJson)
{
  JsonFields fields(aJson);
  ServerEstimate estimate;
  estimate.mServer = ServerId(fields.Text("server"));
  estimate.mReady = fields.Flag("ready");
  estimate.mQueueWait = Duration(fields.Unsigned("wait_us"));
  estimate.mService = Duration(fields.Unsigned("service_us"));
  estimate.mPrefillTokensPerSecond = fields.Real("prefill_per_s");
  estimate.mResidentBlocks = fields.Unsigned32("resident");
  estimate.mPendingBlocks = fields.Unsigned32("pending");
  estimate.mPendingWait = Duration(fields.Unsigned("pending_us"));
  if (fields.Has("served_instead")) {
    estimate.mServedInstead = VersionId(fields.Text("served_instead"));
  }
  estimate.mWeight = fields.Real("weight");
  estimate.mHasRoom = fields.Has("room") && fields.Flag("room");
  if (estimate.mWeight <= 0 || estimate.mWeight > 1) {
    fields.Reject("weight");
  }
  return Checked(fields, std::move(estimate));
}

Json
ToJson(const std::vector<ServerEstimate>& aEstimates)
{
  return { { "servers", ToJsonList(aEstimates) } };
}

Result<std::vector<ServerEstimate>>
ReadServerEstimates(const Json& aJson)
{
  JsonFields fields(aJson);
  auto estimates = ReadListField(fields, "servers", ReadServerEstimate);
  return Checked(fields, std::move(estimates));
}

} // namespace bilberrytrail
