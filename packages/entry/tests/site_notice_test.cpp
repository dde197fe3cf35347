#include "site_notice.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

SiteNotice
SomeNotice()
{
  SiteNotice notice;
  notice.mIsTableReachable = true;
  notice.mHeld = 700ms;
  notice.mTables[0] = { { 9, 1 }, { 7, 1 }, 250ms, std::nullopt };
  notice.mTables[1] = {
    { 8, 1 },
    { 8, 1 },
    std::nullopt,
    ReplicaRows{ false, { { { "s1", "x", { 8, 1 } } }, { 8, 1 }, 5000 } }
  };
  notice.mLoading = LoadingNotice{ { ServerId("s2") }, 100ms };
  return notice;
}

} // namespace

TEST_CASE("queries for notices keep their content")
{
  NoticeQuery query;
  query.mVersions = { TableVersion{ 5, 1 }, TableVersion{ 6, 2 } };
  query.mKnown = { TableVersion{ 7, 1 }, TableVersion{ 8, 2 } };
  query.mWait = 700ms;
  query.mFollows = true;
  const auto read = ReadNoticeQuery(ToJson(query));
  REQUIRE(read.has_value());
  CHECK(read.value().mVersions == query.mVersions);
  CHECK(read.value().mKnown == query.mKnown);
  CHECK(read.value().mWait == query.mWait);
  CHECK(read.value().mFollows);
}

TEST_CASE("notices keep their content")
{
  const auto notice = SomeNotice();
  const auto read = ReadSiteNotice(ToJson(notice));
  REQUIRE(read.has_value());
  const auto& value = read.value();
  CHECK(value.mIsTableReachable);
  CHECK(value.mHeld == 700ms);
  CHECK(value.mTables[0].mVersion == TableVersion{ 9, 1 });
  CHECK(value.mTables[0].mChanged == TableVersion{ 7, 1 });
  CHECK(value.mTables[0].mLag == 250ms);
  CHECK_FALSE(value.mTables[0].mRows);
  CHECK_FALSE(value.mTables[1].mLag);
  REQUIRE(value.mTables[1].mRows);
  CHECK(value.mTables[1].mRows->mRows.mTableMs == 5000);
  CHECK(value.mTables[1].mRows->mRows.mRows ==
        notice.mTables[1].mRows->mRows.mRows);
  REQUIRE(value.mLoading);
  CHECK(value.mLoading->mServers == notice.mLoading->mServers);
  CHECK(value.mLoading->mAge == 100ms);
  // A daemon that never read the table.
  auto unknown = notice;
  unknown.mTables[0].mLag = std::chrono::hours(9000);
  unknown.mLoading.reset();
  const auto other = ReadSiteNotice(ToJson(unknown));
  REQUIRE(other.has_value());
  CHECK_FALSE(other.value().mTables[0].mLag);
  CHECK_FALSE(other.value().mLoading);
}

TEST_CASE("malformed notices are rejected")
{
  const auto good = ToJson(SomeNotice());
  REQUIRE(ReadSiteNotice(good).has_value());
  struct Row
  {
    const char* mField;
    const char* mValue;
  };
  for (const Row& row :
       { Row{ "/in_reach", "1" },
         Row{ "/held_ms", "-1" },
         Row{ "/held_ms", "1e300" },
         Row{ "/operator", "{}" },
         Row{ "/operator/version", "5" },
         Row{ "/operator/changed/number", "-1" },
         Row{ "/operator/lag_ms", "\"x\"" },
         Row{ "/operator/lag_ms", "-1" },
         Row{ "/operator/lag_ms", "1e300" },
         Row{ "/servers/rows", "[]" },
         Row{ "/servers/rows/rows", R"([{"key":"a"}])" },
         Row{ "/servers/rows/rows/0/value", "\"not base64!\"" },
         Row{ "/loading", "5" },
         Row{ "/loading_age_ms", "-1" } }) {
    CAPTURE(row.mField);
    CAPTURE(row.mValue);
    auto json = good;
    json[Json::json_pointer(row.mField)] = Json::parse(row.mValue);
    CHECK_FALSE(ReadSiteNotice(json).has_value());
  }
  CHECK_FALSE(ReadSiteNotice(Json::array()).has_value());
  CHECK_FALSE(ReadNoticeQuery(Json::object()).has_value());
}
