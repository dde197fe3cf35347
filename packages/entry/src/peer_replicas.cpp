#include "peer_replicas.h"

#include "cbor.h"

#include <bilberrytrail/base/base64.h>
#include <bilberrytrail/platform/json_read.h>
#include <bilberrytrail/runtime/deflate.h>

#include <cmath>

namespace bilberrytrail {

namespace {

// A longer lag is not sent, and rejected when read.
constexpr Duration kMaxLag = 3600s;
// Largest rows of a table, encoded and not compressed.
constexpr std::size_t kMaxRowsBytes = 16 * 1024 * 1024;
// Bytes of a row besides its key and value.
constexpr std::size_t kRowBytes = 40;

// Writes and reads the value of a row: as Base64 in a text, as it is in CBOR.
class ValueForm
{
public:
  virtual ~ValueForm() = default;

  [[nodiscard]] virtual Json Write(const std::string& aValue) const = 0;
  // Marks the field as bad when it holds no value.
  [[nodiscard]] virtual std::string Read(JsonFields& aFields,
                                         const Json& aRow) const = 0;
};

constexpr std::string_view kValue = "value";

class Base64Form final : public ValueForm
{
public:
  [[nodiscard]] Json Write(const std::string& aValue) const override
  {
    return ToBase64(aValue);
  }
  [[nodiscard]] std::string Read(JsonFields& aFields,
                                 const Json& /*aRow*/) const override
  {
    auto value = FromBase64(aFields.Text(kValue));
    if (!value) {
      aFields.Reject(kValue);
      return {};
    }
    return std::move(value).value();
  }
};

class BinaryForm final : public ValueForm
{
public:
  [[nodiscard]] Json Write(const std::string& aValue) const override
  {
    return ToBinary(aValue);
  }
  [[nodiscard]] std::string Read(JsonFields& aFields,
                                 const Json& aRow) const override
  {
    return ReadBinary(aFields, aRow, kValue);
  }
};

// The era of a row is that of its table.
Json
RowToJson(const SiteRow& aRow, const ValueForm& aForm)
{
  Json json{ { "key", aRow.mKey }, { "version", aRow.mVersion.Number() } };
  if (aRow.mRemoved) {
    json["removed"] = true;
  } else {
    json[std::string(kValue)] = aForm.Write(aRow.mValue);
  }
  return json;
}

Result<SiteRow>
ReadRow(const Json& aJson, std::uint64_t aEra, const ValueForm& aForm)
{
  JsonFields fields(aJson);
  SiteRow row;
  row.mKey = fields.Text("key");
  row.mVersion = { fields.Unsigned("version"), aEra };
  row.mRemoved = fields.Has("removed") && fields.Flag("removed");
  if (!row.mRemoved) {
    row.mValue = aForm.Read(fields, aJson);
  }
  return Checked(fields, std::move(row));
}

Json
RowsToJson(const ReplicaRows& aRows, const ValueForm& aForm)
{
  auto rows = Json::array();
  for (const auto& it : aRows.mRows.mRows) {
    rows.push_back(RowToJson(it, aForm));
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

Result<ReplicaRows>
ReadRows(const Json& aJson, const ValueForm& aForm)
{
  JsonFields fields(aJson);
  ReplicaRows rows;
  rows.mIsWhole = fields.Flag("whole");
  const auto number = fields.Unsigned("version");
  const auto era = fields.Unsigned("era");
  rows.mRows.mVersion = { number, era };
  if (fields.Has("table_ms")) {
    rows.mRows.mTableMs = fields.Unsigned("table_ms");
  }
  rows.mRows.mRows = ReadListField(fields, "rows", [&](const Json& aRow) {
    return ReadRow(aRow, era, aForm);
  });
  return Checked(fields, std::move(rows));
}

} // namespace

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

std::size_t
BytesOf(const ReplicaRows& aRows) noexcept
{
  std::size_t bytes = 0;
  for (const auto& it : aRows.mRows.mRows) {
    bytes += kRowBytes + it.mKey.size() + it.mValue.size();
  }
  return bytes;
}

Json
ToJson(const ReplicaRows& aRows)
{
  return RowsToJson(aRows, Base64Form());
}

Result<ReplicaRows>
ReadReplicaRows(const Json& aJson)
{
  return ReadRows(aJson, Base64Form());
}

std::string
EncodeRowsQuery(const RowsQuery& aQuery)
{
  return WriteCbor({ { "table", ToName(aQuery.mTable) },
                     { "number", aQuery.mAfter.Number() },
                     { "era", aQuery.mAfter.Era() } });
}

Result<RowsQuery>
DecodeRowsQuery(std::string_view aBytes)
{
  const auto json = ReadCbor(aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  RowsQuery query;
  query.mTable = ReadEnumField<SiteTable>(fields, "table");
  const auto number = fields.Unsigned("number");
  query.mAfter = { number, fields.Unsigned("era") };
  return Checked(fields, query);
}

std::string
EncodeRows(const ReplicaRows& aRows)
{
  return Deflate(WriteCbor(RowsToJson(aRows, BinaryForm())));
}

std::string
EncodeRowsReply(std::optional<Duration> aLag, std::string_view aEncodedRows)
{
  Json json{ { "rows", ToBinary(aEncodedRows) } };
  if (aLag && *aLag <= kMaxLag) {
    json["lag_ms"] = ToMillis(*aLag);
  }
  return WriteCbor(json);
}

Result<RowsReply>
DecodeRowsReply(std::string_view aBytes)
{
  const auto json = ReadCbor(aBytes);
  if (!json) {
    return json.error();
  }
  JsonFields fields(json.value());
  RowsReply reply;
  if (fields.Has("lag_ms")) {
    const double lag = fields.Real("lag_ms");
    if (!std::isfinite(lag) || lag < 0 || lag > ToMillis(kMaxLag)) {
      return Fail(ErrorCode::Corrupt, "lag is out of range");
    }
    reply.mLag = FromMillis(lag);
  }
  const auto encoded =
    Inflate(ReadBinary(fields, json.value(), "rows"), kMaxRowsBytes);
  if (!encoded) {
    return encoded.error();
  }
  const auto rows = ReadCbor(encoded.value());
  if (!rows) {
    return rows.error();
  }
  auto read = ReadRows(rows.value(), BinaryForm());
  if (!read) {
    return std::move(read).error();
  }
  reply.mRows = std::move(read).value();
  return Checked(fields, std::move(reply));
}

} // namespace bilberrytrail
