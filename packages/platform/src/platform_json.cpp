#include <bilberrytrail/platform/platform_json.h>

#include <bilberrytrail/platform/json_read.h>

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
  return Checked(fields, std::move(row));
}

Json
ToJson(const std::vector<TableRow>& aRows)
{
  return ToJsonList(aRows);
}

Result<std::vector<TableRow>>
ReadTableRows(const Json& aList)
{
  return ReadEach(aList, ReadTableRow);
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
  return Checked(fields, std::move(write));
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
  outcome.mCurrent = ReadListField(fields, "current", ReadTableRow);
  return Checked(fields, std::move(outcome));
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
  entry.mRole = ReadEnumField<VmRole>(fields, "role");
  entry.mProduct = ProductId(fields.Text("product"));
  entry.mGroup = fields.Text("group");
  entry.mZone = ZoneId(fields.Text("zone"));
  entry.mEndpoint.mHost = fields.Text("host");
  entry.mEndpoint.mPort = fields.Unsigned16("port");
  entry.mLeaving = fields.Flag("leaving");
  entry.mChecksFencing = fields.Flag("checks_fencing");
  return Checked(fields, std::move(entry));
}

} // namespace bilberrytrail
