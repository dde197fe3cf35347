#include "peer_replicas.h"

#include <bilberrytrail/base/base64.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// A longer lag is not sent, and rejected when read.
constexpr Duration kMaxLag = 3600s;

// Returns an era; builds that do not know eras omit the field.
std::uint64_t
ReadEra(JsonFields& aFields, std::string_view aName)
{
  return aFields.Has(aName) ? aFields.Unsigned(aName) : 0;
}

// The era of a row is that of its table.
Json
ToJson(const SiteRow& aRow)
{
  Json json{ { "key", aRow.mKey }, { "version", aRow.mVersion.Number() } };
  if (aRow.mRemoved) {
    json["removed"] = true;
  } else {
    json["value"] = ToBase64(aRow.mValue);
  }
  return json;
}

Json
ToJson(const ReplicaRows& aRows)
{
  auto rows = Json::array();
  for (const auto& it : aRows.mRows.mRows) {
    rows.push_back(ToJson(it));
  }
  Json json{ { "whole", aRows.mIsWhole },
             { "version", aRows.mRows.mVersion.Number() },
             { "era", aRows.mRows.mVersion.Era() },
             { "rows", std::move(rows) } };
  if (aRows.mRows.mTableMs) {
    json["table_ms"] = *aRows.mRows.mTableMs;
  }
  return json;
}

Result<SiteRow>
ReadRow(const Json& aJson)
{
  JsonFields fields(aJson);
  SiteRow row;
  row.mKey = fields.Text("key");
  row.mVersion = fields.Unsigned("version");
  row.mRemoved = fields.Has("removed") && fields.Flag("removed");
  if (row.mRemoved) {
    return Checked(fields, std::move(row));
  }
  auto value = FromBase64(fields.Text("value"));
  if (!value) {
    return std::move(value).error();
  }
  row.mValue = std::move(value).value();
  return Checked(fields, std::move(row));
}

Result<ReplicaRows>
ReadRows(const Json& aJson)
{
  JsonFields fields(aJson);
  ReplicaRows rows;
  rows.mIsWhole = fields.Flag("whole");
  const auto number = fields.Unsigned("version");
  const auto era = ReadEra(fields, "era");
  rows.mRows.mVersion = { number, era };
  if (fields.Has("table_ms")) {
    rows.mRows.mTableMs = fields.Unsigned("table_ms");
  }
  rows.mRows.mRows = ReadListField(fields, "rows", ReadRow);
  for (auto& it : rows.mRows.mRows) {
    it.mVersion = { it.mVersion.Number(), era };
  }
  return Checked(fields, std::move(rows));
}

std::optional<ReplicaRows>
ReadOptionalRows(JsonFields& aFields, std::string_view aName)
{
  if (!aFields.Has(aName)) {
    return std::nullopt;
  }
  return ReadObjectField(aFields, aName, ReadRows);
}

// Reads a lag. One that cannot be added to a time is rejected.
Duration
ReadLag(JsonFields& aFields)
{
  const double lag = aFields.Real("lag_ms");
  if (lag >= 0 && lag <= ToMillis(kMaxLag)) {
    return FromMillis(lag);
  }
  aFields.Reject("lag_ms");
  return Duration(0);
}

// Returns the rows of a table that the requester lacks.
std::optional<ReplicaRows>
RowsSince(SiteTable aTable, TableVersion aVersion, const SiteReplica& aReplica)
{
  if (aReplica.Version(aTable) <= aVersion) {
    return std::nullopt;
  }
  if (auto changes = aReplica.ChangesSince(aTable, aVersion)) {
    return ReplicaRows{ false, *std::move(changes) };
  }
  return ReplicaRows{ true, aReplica.Export(aTable) };
}

} // namespace

Json
ToJson(const ReplicaQuery& aQuery)
{
  return { { "operator", aQuery.mOperatorVersion.Number() },
           { "operator_era", aQuery.mOperatorVersion.Era() },
           { "servers", aQuery.mServersVersion.Number() },
           { "servers_era", aQuery.mServersVersion.Era() } };
}

Result<ReplicaQuery>
ReadReplicaQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  ReplicaQuery query;
  query.mOperatorVersion = { fields.Unsigned("operator"),
                             ReadEra(fields, "operator_era") };
  query.mServersVersion = { fields.Unsigned("servers"),
                            ReadEra(fields, "servers_era") };
  return Checked(fields, query);
}

Json
ToJson(const ReplicaReply& aReply)
{
  Json json{ { "in_reach", aReply.mIsTableReachable },
             { "age_ms", ToMillis(aReply.mAge) } };
  if (aReply.mLag && *aReply.mLag <= kMaxLag) {
    json["lag_ms"] = ToMillis(*aReply.mLag);
  }
  if (aReply.mOperator) {
    json["operator"] = ToJson(*aReply.mOperator);
  }
  if (aReply.mServers) {
    json["servers"] = ToJson(*aReply.mServers);
  }
  return json;
}

Result<ReplicaReply>
ReadReplicaReply(const Json& aJson)
{
  JsonFields fields(aJson);
  ReplicaReply reply;
  reply.mIsTableReachable = fields.Flag("in_reach");
  reply.mAge = FromMillis(fields.Real("age_ms"));
  // Builds that do not know the lag omit the field.
  if (fields.Has("lag_ms")) {
    reply.mLag = ReadLag(fields);
  }
  reply.mOperator = ReadOptionalRows(fields, "operator");
  reply.mServers = ReadOptionalRows(fields, "servers");
  return Checked(fields, std::move(reply));
}

ReplicaReply
AnswerReplicaQuery(const ReplicaQuery& aQuery,
                   const SiteReplica& aReplica,
                   bool aIsTableReachable,
                   Duration aAge,
                   std::optional<Duration> aLag)
{
  return { aIsTableReachable,
           aAge,
           aLag,
           RowsSince(SiteTable::Operator, aQuery.mOperatorVersion, aReplica),
           RowsSince(SiteTable::Servers, aQuery.mServersVersion, aReplica) };
}

} // namespace bilberrytrail
