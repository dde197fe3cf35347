#include <bilberrytrail/platform/platform_json.h>

namespace bilberrytrail {

Json
ToJson(const TableRow& aRow)
{
  return { { "key", aRow.mKey },
           { "value", aRow.mValue },
           { "version", aRow.mVersion } };
}

Result<TableRow>
ReadTableRow(const Json& aJson)
{
  JsonFields fields(aJson);
  TableRow row;
  row.mKey = fields.Text("key");
  row.mValue = fields.Text("value");
  row.mVersion = fields.Unsigned("version");
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return row;
}

Json
ToJson(const std::vector<TableRow>& aRows)
{
  auto list = Json::array();
  for (const auto& row : aRows) {
    list.push_back(ToJson(row));
  }
  return list;
}

Result<std::vector<TableRow>>
ReadTableRows(const Json& aList)
{
  std::vector<TableRow> rows;
  for (const auto& it : aList) {
    auto row = ReadTableRow(it);
    if (!row) {
      return std::move(row).error();
    }
    rows.push_back(std::move(row).value());
  }
  return rows;
}

Json
ToJson(const TableWrite& aWrite)
{
  return { { "key", aWrite.mKey },
           { "value", aWrite.mValue },
           { "expected_version", aWrite.mExpectedVersion },
           { "erase", aWrite.mErase } };
}

Result<TableWrite>
ReadTableWrite(const Json& aJson)
{
  JsonFields fields(aJson);
  TableWrite write;
  write.mKey = fields.Text("key");
  write.mValue = fields.Text("value");
  write.mExpectedVersion = fields.Unsigned("expected_version");
  write.mErase = fields.Flag("erase");
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return write;
}

Json
ToJson(const CommitOutcome& aOutcome)
{
  return { { "committed", aOutcome.mCommitted },
           { "current", ToJson(aOutcome.mCurrent) } };
}

Result<CommitOutcome>
ReadCommitOutcome(const Json& aJson)
{
  JsonFields fields(aJson);
  CommitOutcome outcome;
  outcome.mCommitted = fields.Flag("committed");
  auto rows = ReadTableRows(fields.List("current"));
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  if (!rows) {
    return std::move(rows).error();
  }
  outcome.mCurrent = std::move(rows).value();
  return outcome;
}

Json
ToJson(const VmEntry& aEntry)
{
  return { { "name", aEntry.mName },
           { "role", ToName(aEntry.mRole) },
           { "product", aEntry.mProduct.Text() },
           { "group", aEntry.mGroup },
           { "zone", aEntry.mZone.Text() },
           { "host", aEntry.mEndpoint.mHost },
           { "port", aEntry.mEndpoint.mPort },
           { "leaving", aEntry.mLeaving },
           { "checks_fencing", aEntry.mChecksFencing } };
}

Result<VmEntry>
ReadVmEntry(const Json& aJson)
{
  JsonFields fields(aJson);
  VmEntry entry;
  entry.mName = fields.Text("name");
  const auto role = FromName<VmRole>(fields.Text("role"));
  entry.mProduct = ProductId(fields.Text("product"));
  entry.mGroup = fields.Text("group");
  entry.mZone = ZoneId(fields.Text("zone"));
  entry.mEndpoint.mHost = fields.Text("host");
  entry.mEndpoint.mPort = fields.Unsigned16("port");
  entry.mLeaving = fields.Flag("leaving");
  entry.mChecksFencing = fields.Flag("checks_fencing");
  if (!role) {
    fields.Reject("role");
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  entry.mRole = *role;
  return entry;
}

} // namespace bilberrytrail
