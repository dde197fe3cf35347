#include "site_notice.h"

#include "loading_notifier.h"

#include <bilberrytrail/platform/json_read.h>

#include <cmath>
#include <tuple>

namespace bilberrytrail {

namespace {

// A longer time is not sent, and rejected when read.
constexpr Duration kMaxTime = 3600s;

// Reads a time. One that cannot be added to another is rejected.
Duration
ReadTime(JsonFields& aFields, std::string_view aName)
{
  const double time = aFields.Real(aName);
  if (std::isfinite(time) && time >= 0 && time <= ToMillis(kMaxTime)) {
    return FromMillis(time);
  }
  aFields.Reject(aName);
  return Duration(0);
}

Json
ToJson(const TableVersion& aVersion)
{
  return { { "number", aVersion.Number() }, { "era", aVersion.Era() } };
}

Result<TableVersion>
ReadVersion(const Json& aJson)
{
  JsonFields fields(aJson);
  const auto number = fields.Unsigned("number");
  return Checked(fields, TableVersion(number, fields.Unsigned("era")));
}

Json
ToJson(const TableNotice& aNotice)
{
  Json json{ { "version", ToJson(aNotice.mVersion) },
             { "changed", ToJson(aNotice.mChanged) } };
  if (aNotice.mLag && *aNotice.mLag <= kMaxTime) {
    json["lag_ms"] = ToMillis(*aNotice.mLag);
  }
  if (aNotice.mRows) {
    json["rows"] = ToJson(*aNotice.mRows);
  }
  return json;
}

Result<TableNotice>
ReadTableNotice(const Json& aJson)
{
  JsonFields fields(aJson);
  TableNotice notice;
  notice.mVersion = ReadObjectField(fields, "version", ReadVersion);
  notice.mChanged = ReadObjectField(fields, "changed", ReadVersion);
  if (fields.Has("lag_ms")) {
    notice.mLag = ReadTime(fields, "lag_ms");
  }
  if (fields.Has("rows")) {
    notice.mRows = ReadObjectField(fields, "rows", ReadReplicaRows);
  }
  return Checked(fields, std::move(notice));
}

// Returns the version of a replica, and that up to which changes are known.
Result<std::pair<TableVersion, TableVersion>>
ReadQueriedTable(const Json& aJson)
{
  JsonFields fields(aJson);
  const auto version = ReadObjectField(fields, "version", ReadVersion);
  const auto known = ReadObjectField(fields, "known", ReadVersion);
  return Checked(fields, std::pair(version, known));
}

} // namespace

Json
ToJson(const NoticeQuery& aQuery)
{
  Json json{ { "wait_ms", ToMillis(aQuery.mWait) },
             { "follows", aQuery.mFollows } };
  for (const auto table : AllOf<SiteTable>()) {
    const auto n = static_cast<std::size_t>(table);
    json[std::string(ToName(table))] = {
      { "version", ToJson(aQuery.mVersions[n]) },
      { "known", ToJson(aQuery.mKnown[n]) }
    };
  }
  return json;
}

Result<NoticeQuery>
ReadNoticeQuery(const Json& aJson)
{
  JsonFields fields(aJson);
  NoticeQuery query;
  query.mWait = ReadTime(fields, "wait_ms");
  query.mFollows = fields.Flag("follows");
  for (const auto table : AllOf<SiteTable>()) {
    const auto n = static_cast<std::size_t>(table);
    std::tie(query.mVersions[n], query.mKnown[n]) =
      ReadObjectField(fields, ToName(table), ReadQueriedTable);
  }
  return Checked(fields, query);
}

Json
ToJson(const SiteNotice& aNotice)
{
  Json json{ { "in_reach", aNotice.mIsTableReachable },
             { "held_ms", ToMillis(aNotice.mHeld) } };
  for (const auto table : AllOf<SiteTable>()) {
    json[std::string(ToName(table))] =
      ToJson(aNotice.mTables[static_cast<std::size_t>(table)]);
  }
  if (aNotice.mLoading) {
    json["loading"] = ToJson(aNotice.mLoading->mServers);
    json["loading_age_ms"] = ToMillis(aNotice.mLoading->mAge);
  }
  return json;
}

Result<SiteNotice>
ReadSiteNotice(const Json& aJson)
{
  JsonFields fields(aJson);
  SiteNotice notice;
  notice.mIsTableReachable = fields.Flag("in_reach");
  notice.mHeld = ReadTime(fields, "held_ms");
  for (const auto table : AllOf<SiteTable>()) {
    notice.mTables[static_cast<std::size_t>(table)] =
      ReadObjectField(fields, ToName(table), ReadTableNotice);
  }
  if (fields.Has("loading")) {
    notice.mLoading = LoadingNotice{ ReadServerIds(fields, "loading"),
                                     ReadTime(fields, "loading_age_ms") };
  }
  return Checked(fields, std::move(notice));
}

} // namespace bilberrytrail
