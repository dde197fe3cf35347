#include "peer_images.h"

#include <bilberrytrail/base/base64.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

Json
ToJson(const SiteRows& aRows)
{
  auto rows = Json::array();
  for (const auto& it : aRows.mRows) {
    rows.push_back({ { "key", it.mKey },
                     { "value", ToBase64(it.mValue) },
                     { "version", it.mVersion } });
  }
  return { { "version", aRows.mVersion }, { "rows", std::move(rows) } };
}

Result<SiteRow>
ReadRow(const Json& aJson)
{
  JsonFields fields(aJson);
  SiteRow row;
  row.mKey = fields.Text("key");
  row.mVersion = fields.Unsigned("version");
  auto value = FromBase64(fields.Text("value"));
  if (!value) {
    return std::move(value).error();
  }
  row.mValue = std::move(value).value();
  return Checked(fields, std::move(row));
}

Result<SiteRows>
ReadRows(const Json& aJson)
{
  JsonFields fields(aJson);
  SiteRows rows;
  rows.mVersion = fields.Unsigned("version");
  rows.mRows = ReadListPart(fields, "rows", ReadRow);
  return Checked(fields, std::move(rows));
}

std::optional<SiteRows>
ReadOptionalRows(JsonFields& aFields, std::string_view aName)
{
  if (!aFields.Has(aName)) {
    return std::nullopt;
  }
  return ReadPart(aFields, aName, ReadRows);
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
  Json json{ { "in_reach", aReply.mIsInReach } };
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
  reply.mOperator = ReadOptionalRows(fields, "operator");
  reply.mServers = ReadOptionalRows(fields, "servers");
  return Checked(fields, std::move(reply));
}

ImageReply
AnswerImageQuery(const ImageQuery& aQuery,
                 const SiteImage& aImage,
                 bool aIsInReach)
{
  ImageReply reply;
  reply.mIsInReach = aIsInReach;
  if (aImage.Version(SiteTable::Operator) > aQuery.mOperatorVersion) {
    reply.mOperator = aImage.Export(SiteTable::Operator);
  }
  if (aImage.Version(SiteTable::Servers) > aQuery.mServersVersion) {
    reply.mServers = aImage.Export(SiteTable::Servers);
  }
  return reply;
}

} // namespace bilberrytrail
