#include "peer_images.h"

#include <bilberrytrail/base/base64.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

Json
ToJson(const SiteRow& aRow)
{
  Json json{ { "key", aRow.mKey }, { "version", aRow.mVersion } };
  if (aRow.mRemoved) {
    json["removed"] = true;
  } else {
    json["value"] = ToBase64(aRow.mValue);
  }
  return json;
}

Json
ToJson(const ImageRows& aRows)
{
  auto rows = Json::array();
  for (const auto& it : aRows.mRows.mRows) {
    rows.push_back(ToJson(it));
  }
  return { { "whole", aRows.mIsWhole },
           { "version", aRows.mRows.mVersion },
           { "rows", std::move(rows) } };
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

Result<ImageRows>
ReadRows(const Json& aJson)
{
  JsonFields fields(aJson);
  ImageRows rows;
  rows.mIsWhole = fields.Flag("whole");
  rows.mRows.mVersion = fields.Unsigned("version");
  rows.mRows.mRows = ReadListField(fields, "rows", ReadRow);
  return Checked(fields, std::move(rows));
}

std::optional<ImageRows>
ReadOptionalRows(JsonFields& aFields, std::string_view aName)
{
  if (!aFields.Has(aName)) {
    return std::nullopt;
  }
  return ReadObjectField(aFields, aName, ReadRows);
}

// Returns what the asker lacks of a table.
std::optional<ImageRows>
RowsBehind(SiteTable aTable, std::uint64_t aVersion, const SiteImage& aImage)
{
  if (aImage.Version(aTable) <= aVersion) {
    return std::nullopt;
  }
  if (auto changes = aImage.ChangesSince(aTable, aVersion)) {
    return ImageRows{ false, *std::move(changes) };
  }
  return ImageRows{ true, aImage.Export(aTable) };
}

} // namespace

Json
ToJson(const ImageQuery& aQuery)
{
  return { { "operator", aQuery.mOperatorVersion },
           { "servers", aQuery.mServersVersion } };
}

Result<ImageQuery>
ReadImageQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  ImageQuery query;
  query.mOperatorVersion = fields.Unsigned("operator");
  query.mServersVersion = fields.Unsigned("servers");
  return Checked(fields, query);
}

Json
ToJson(const ImageReply& aReply)
{
  Json json{ { "in_reach", aReply.mIsInReach },
             { "age_ms", ToMillis(aReply.mAge) } };
  if (aReply.mOperator) {
    json["operator"] = ToJson(*aReply.mOperator);
  }
  if (aReply.mServers) {
    json["servers"] = ToJson(*aReply.mServers);
  }
  return json;
}

Result<ImageReply>
ReadImageReply(const Json& aJson)
{
  JsonFields fields(aJson);
  ImageReply reply;
  reply.mIsInReach = fields.Flag("in_reach");
  reply.mAge = FromMillis(fields.Real("age_ms"));
  reply.mOperator = ReadOptionalRows(fields, "operator");
  reply.mServers = ReadOptionalRows(fields, "servers");
  return Checked(fields, std::move(reply));
}

ImageReply
AnswerImageQuery(const ImageQuery& aQuery,
                 const SiteImage& aImage,
                 bool aIsInReach,
                 Duration aAge)
{
  return { aIsInReach,
           aAge,
           RowsBehind(SiteTable::Operator, aQuery.mOperatorVersion, aImage),
           RowsBehind(SiteTable::Servers, aQuery.mServersVersion, aImage) };
}

} // namespace bilberrytrail
