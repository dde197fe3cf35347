#include "cbor.h"
#include "part_report_codec.h"

#include <bilberrytrail/platform/json_read.h>

#include <algorithm>
#include <cmath>
#include <iterator>

namespace bilberrytrail {

namespace {

constexpr const char* kRowsField = "rows";

// First byte of a datagram; CBOR follows.
constexpr char kMessage = 'M';
constexpr char kReply = 'R';
// An older observation of a rate limit is not sent, and rejected when read.
constexpr Duration kMaxLimitAge = 3600s;
// Most tokens and longest objective of a request.
constexpr double kMaxTokens = 1e12;
constexpr double kMaxObjectiveMs = 3.6e6;
// Longest time for which a server is said to be cold.
constexpr Duration kMaxColdLeft = 3600s;

// Deepest nesting and most values of a datagram.
constexpr std::size_t kMaxDepth = 16;
constexpr std::size_t kMaxValues = 64 * 1024;

std::string
Pack(char aKind, const Json& aJson)
{
  return aKind + WriteCbor(aJson);
}

Result<Json>
Unpack(char aKind, std::string_view aBytes)
{
  if (aBytes.empty() || aBytes.front() != aKind) {
    return Fail(ErrorCode::Corrupt,
                std::string("placement datagram does not begin with '") +
                  aKind + "': got " + std::to_string(aBytes.size()) + " bytes");
  }
  auto json = ReadCbor(aBytes.substr(1), { kMaxDepth, kMaxValues });
  if (!json) {
    return json;
  }
  if (!json.value().is_object()) {
    return Fail(ErrorCode::Corrupt,
                "placement datagram is not a CBOR object: got " +
                  std::to_string(aBytes.size()) + " bytes");
  }
  return json;
}

Json
ToJson(const ServerQuery& aQuery)
{
  Json json{ { "service", aQuery.mService.Text() },
             { "newest", aQuery.mNewestVersion },
             { "least", aQuery.mLeastVersion },
             { "affinity", aQuery.mAffinity },
             { "work", aQuery.mWork },
             { "miss", aQuery.mMissWork },
             { "shared", aQuery.mSharedTokens },
             { "memory", aQuery.mMemory },
             { "server_memory", aQuery.mServerMemory },
             { "kind", aQuery.mKind },
             { "objective_ms", ToMillis(aQuery.mObjective) },
             { "rank", aQuery.mRank },
             { "tried", ToJsonList(aQuery.mTried, [](const ServerId& aServer) {
                 return aServer.Text();
               }) } };
  if (aQuery.mModel) {
    json["model"] = aQuery.mModel->Text();
  }
  return json;
}

Result<ServerQuery>
ReadQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  ServerQuery query;
  query.mService = ServiceId(fields.Text("service"));
  query.mNewestVersion = fields.Unsigned("newest");
  query.mLeastVersion = fields.Unsigned("least");
  query.mAffinity = fields.Unsigned("affinity");
  query.mWork = fields.Real("work");
  query.mMissWork = fields.Real("miss");
  query.mSharedTokens = fields.Real("shared");
  query.mMemory = fields.Real("memory");
  query.mServerMemory = fields.Real("server_memory");
  query.mKind = fields.Unsigned("kind");
  query.mRank = fields.Unsigned32("rank");
  if (query.mRank >= kRanks) {
    fields.Reject("rank");
  }
  if (!(query.mMemory >= 0 && query.mMemory <= kMaxTokens)) {
    fields.Reject("memory");
  }
  const double objective = fields.Real("objective_ms");
  if (!(objective > 0 && objective <= kMaxObjectiveMs)) {
    fields.Reject("objective_ms");
  } else {
    query.mObjective = FromMillis(objective);
  }
  for (auto& it : ReadListField(fields, "tried", ReadText)) {
    query.mTried.emplace_back(std::move(it));
  }
  if (fields.Has("model")) {
    query.mModel = ModelId(fields.Text("model"));
  }
  return Checked(fields, std::move(query));
}

Json
ToJson(const PlacementRequest& aRequest)
{
  return { { "group", aRequest.mGroup.mNumber },
           { "groups", aRequest.mGroup.mCount },
           { "query", ToJson(aRequest.mQuery) },
           { "ticket", aRequest.mTicket },
           { "left_ms", ToMillis(aRequest.mTimeLeft) },
           { "must", aRequest.mMustPlace } };
}

Result<PlacementRequest>
ReadRequest(const Json& aJson)
{
  JsonFields fields(aJson);
  PlacementRequest request;
  request.mGroup.mNumber = fields.Unsigned32("group");
  request.mGroup.mCount = fields.Unsigned32("groups");
  request.mQuery = ReadObjectField(fields, "query", ReadQuery);
  request.mGroup.mService = request.mQuery.mService;
  request.mTicket = fields.Unsigned("ticket");
  request.mTimeLeft = FromMillis(fields.Real("left_ms"));
  request.mMustPlace = fields.Flag("must");
  if (request.mGroup.mNumber >= request.mGroup.mCount) {
    fields.Reject("group");
  }
  return Checked(fields, std::move(request));
}

Json
ToJson(const PlacementReport& aReport)
{
  Json json{ { "ticket", aReport.mTicket } };
  if (aReport.mSendOutcome) {
    json["end"] = std::string(ToName(*aReport.mSendOutcome));
  }
  return json;
}

Result<PlacementReport>
ReadReport(const Json& aJson)
{
  JsonFields fields(aJson);
  PlacementReport report;
  report.mTicket = fields.Unsigned("ticket");
  if (fields.Has("end")) {
    report.mSendOutcome = ReadEnumField<SendOutcome>(fields, "end");
  }
  return Checked(fields, report);
}

Json
ToJson(const LimitReport& aReport)
{
  return { { "server", aReport.mServer.Text() },
           { "per_second", aReport.mPerSecond },
           { "age_ms", ToMillis(aReport.mAge) } };
}

Result<LimitReport>
ReadLimitReport(const Json& aJson)
{
  JsonFields fields(aJson);
  LimitReport report;
  report.mServer = ServerId(fields.Text("server"));
  report.mPerSecond = fields.Real("per_second");
  if (!std::isfinite(report.mPerSecond) || report.mPerSecond < 0) {
    fields.Reject("per_second");
  }
  const double age = fields.Real("age_ms");
  if (age >= 0 && age <= ToMillis(kMaxLimitAge)) {
    report.mAge = FromMillis(age);
  } else {
    fields.Reject("age_ms");
  }
  return Checked(fields, std::move(report));
}

// Most messages carry no limits; builds that know none omit the field.
void
AddLimits(Json& aJson, const std::vector<LimitReport>& aLimits)
{
  std::vector<LimitReport> limits;
  std::ranges::copy_if(
    aLimits, std::back_inserter(limits), [](const LimitReport& aReport) {
      return aReport.mAge <= kMaxLimitAge;
    });
  if (!limits.empty()) {
    aJson["limits"] = ToJsonList(
      limits, [](const LimitReport& aReport) { return ToJson(aReport); });
  }
}

std::vector<LimitReport>
ReadLimits(JsonFields& aFields)
{
  return aFields.Has("limits")
           ? ReadListField(aFields, "limits", ReadLimitReport)
           : std::vector<LimitReport>();
}

Json
ToJson(const ColdReport& aReport)
{
  Json json{ { "server", aReport.mServer.Text() } };
  if (aReport.mLeft) {
    json["left_ms"] = ToMillis(*aReport.mLeft);
  }
  return json;
}

Result<ColdReport>
ReadColdReport(const Json& aJson)
{
  JsonFields fields(aJson);
  ColdReport report;
  report.mServer = ServerId(fields.Text("server"));
  if (fields.Has("left_ms")) {
    const double left = fields.Real("left_ms");
    if (left >= 0 && left <= ToMillis(kMaxColdLeft)) {
      report.mLeft = FromMillis(left);
    } else {
      fields.Reject("left_ms");
    }
  }
  return Checked(fields, std::move(report));
}

void
AddColds(Json& aJson, const std::vector<ColdReport>& aColds)
{
  if (!aColds.empty()) {
    aJson["colds"] = ToJsonList(
      aColds, [](const ColdReport& aReport) { return ToJson(aReport); });
  }
}

std::vector<ColdReport>
ReadColds(JsonFields& aFields)
{
  return aFields.Has("colds") ? ReadListField(aFields, "colds", ReadColdReport)
                              : std::vector<ColdReport>();
}

// Each version as its number and its era.
void
AddNewestRows(Json& aJson, const TableVersions& aVersions)
{
  auto rows = Json::array();
  for (const auto& it : aVersions) {
    rows.push_back(it.Number());
    rows.push_back(it.Era());
  }
  aJson[kRowsField] = std::move(rows);
}

Result<std::uint64_t>
ReadNumber(const Json& aJson)
{
  if (!aJson.is_number_unsigned()) {
    return Fail(ErrorCode::Corrupt, "not a number");
  }
  return aJson.get<std::uint64_t>();
}

TableVersions
ReadNewestRows(JsonFields& aFields)
{
  TableVersions versions;
  if (!aFields.Has(kRowsField)) {
    return versions;
  }
  const auto numbers = ReadListField(aFields, kRowsField, ReadNumber);
  if (numbers.size() != 2 * versions.size()) {
    aFields.Reject(kRowsField);
    return versions;
  }
  for (std::size_t n = 0; n < versions.size(); ++n) {
    versions[n] = { numbers[2 * n], numbers[2 * n + 1] };
  }
  return versions;
}

} // namespace

std::string
Encode(const PlacementMessage& aMessage)
{
  Json json{ { "daemon", aMessage.mClient.mDaemon.Text() },
             { "incarnation", aMessage.mClient.mIncarnation },
             { "tells",
               ToJsonList(aMessage.mReports,
                          [](const PlacementReport& aReport) {
                            return ToJson(aReport);
                          }) } };
  if (aMessage.mRequest) {
    json["ask"] = ToJson(*aMessage.mRequest);
  }
  AddNewestRows(json, aMessage.mNewestRows);
  AddLimits(json, aMessage.mLimits);
  AddColds(json, aMessage.mColds);
  AddPartReports(json, kPartsField, aMessage.mParts);
  AddPartReports(json, kWholeRequestsField, aMessage.mWholeRequests);
  return Pack(kMessage, json);
}

std::string
Encode(const PlacementAnswer& aAnswer)
{
  const auto& reply = aAnswer.mReply;
  Json json{ { "ticket", reply.mTicket },
             { "outcome", std::string(ToName(reply.mOutcome)) },
             { "server", reply.mServer.Text() },
             { "weights", reply.mWeightVersion },
             { "reason", std::string(ToName(reply.mReason)) },
             { "time_ms", ToMillis(reply.mTime) },
             { "candidates", reply.mCandidates } };
  AddNewestRows(json, aAnswer.mNewestRows);
  AddLimits(json, aAnswer.mLimits);
  AddColds(json, aAnswer.mColds);
  AddPartReports(json, kPartsField, aAnswer.mParts);
  AddPartReports(json, kWholeRequestsField, aAnswer.mWholeRequests);
  return Pack(kReply, json);
}

Result<PlacementMessage>
DecodePlacementMessage(std::string_view aBytes)
{
  const auto json = Unpack(kMessage, aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  PlacementMessage message;
  message.mClient.mDaemon = DaemonId(fields.Text("daemon"));
  message.mClient.mIncarnation = fields.Unsigned("incarnation");
  message.mReports = ReadListField(fields, "tells", ReadReport);
  if (fields.Has("ask")) {
    message.mRequest = ReadObjectField(fields, "ask", ReadRequest);
  }
  message.mNewestRows = ReadNewestRows(fields);
  message.mLimits = ReadLimits(fields);
  message.mColds = ReadColds(fields);
  message.mParts = ReadPartReports(fields, kPartsField);
  message.mWholeRequests = ReadPartReports(fields, kWholeRequestsField);
  return Checked(fields, std::move(message));
}

Result<PlacementAnswer>
DecodePlacementAnswer(std::string_view aBytes)
{
  const auto json = Unpack(kReply, aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  PlacementAnswer answer;
  auto& reply = answer.mReply;
  reply.mTicket = fields.Unsigned("ticket");
  reply.mOutcome = ReadEnumField<PlacementOutcome>(fields, "outcome");
  reply.mServer = ServerId(fields.Text("server"));
  reply.mWeightVersion = fields.Unsigned("weights");
  reply.mReason = ReadEnumField<ChoiceReason>(fields, "reason");
  reply.mTime = FromMillis(fields.Real("time_ms"));
  reply.mCandidates = fields.Unsigned("candidates");
  answer.mNewestRows = ReadNewestRows(fields);
  answer.mLimits = ReadLimits(fields);
  answer.mColds = ReadColds(fields);
  answer.mParts = ReadPartReports(fields, kPartsField);
  answer.mWholeRequests = ReadPartReports(fields, kWholeRequestsField);
  return Checked(fields, std::move(answer));
}

bool
IsPlacementReply(std::string_view aBytes) noexcept
{
  return !aBytes.empty() && aBytes.front() == kReply;
}

} // namespace bilberrytrail
