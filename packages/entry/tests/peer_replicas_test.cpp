#include "peer_replicas.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE(
  "a reply holds only tables that are newer than the requester's replicas")
{
  SiteReplica replica;
  const Instant now = Instant() + 1000s;
  const std::string bytes("\x00\xff{", 3);
  (void)replica.Replace(
    SiteTable::Operator, { { { "config", bytes, 5, false } }, 6 }, now);
  (void)replica.Replace(
    SiteTable::Servers, { { { "s1", "x", 7, false } }, 8 }, now);
  struct Row
  {
    ReplicaQuery mQuery;
    bool mHasOperator;
    bool mHasServers;
  };
  for (const Row& row : { Row{ { 0, 0 }, true, true },
                          Row{ { 6, 7 }, false, true },
                          Row{ { 6, 8 }, false, false },
                          Row{ { 9, 9 }, false, false } }) {
    const auto query = ReadReplicaQuery(ToJson(row.mQuery));
    REQUIRE(query.has_value());
    const auto reply = ReadReplicaReply(
      ToJson(AnswerReplicaQuery(query.value(), replica, true, 250ms)));
    REQUIRE(reply.has_value());
    CHECK(reply.value().mIsTableReachable);
    CHECK(reply.value().mAge == 250ms);
    CHECK(reply.value().mOperator.has_value() == row.mHasOperator);
    CHECK(reply.value().mServers.has_value() == row.mHasServers);
    if (row.mHasOperator) {
      CHECK(reply.value().mOperator->mRows.mVersion == 6);
      CHECK(reply.value().mOperator->mRows.mRows.front().mValue == bytes);
    }
  }
}

// Guards against a daemon that counts the age of weights from the time at which
// another daemon told it of them.
TEST_CASE("a reply tells for how long the rows may have lacked changes")
{
  const SiteReplica replica;
  struct Row
  {
    std::optional<Duration> mLag;
    std::optional<Duration> mRead;
  };
  for (const Row& row : { Row{ std::nullopt, std::nullopt },
                          Row{ 0ms, 0ms },
                          Row{ 1750ms, 1750ms },
                          // A daemon that never read the table.
                          Row{ std::chrono::hours(9000), std::nullopt } }) {
    const auto reply = ReadReplicaReply(
      ToJson(AnswerReplicaQuery({}, replica, true, 0ms, row.mLag)));
    REQUIRE(reply.has_value());
    CHECK(reply.value().mLag == row.mRead);
  }
}

// Guards against a row that stays with a requester for good: the daemon that
// answers started after its removal, so that it knows nothing of it.
TEST_CASE("a replica read anew tells no changes since before its first read")
{
  SiteReplica replica;
  const Instant now = Instant() + 1000s;
  (void)replica.Replace(
    SiteTable::Servers, { { { "s2", "y", 5, false } }, 6 }, now);
  for (const std::uint64_t version : { 4, 5 }) {
    const auto reply = AnswerReplicaQuery({ 0, version }, replica, true, 0ms);
    REQUIRE(reply.mServers);
    CHECK(reply.mServers->mIsWhole);
  }
}

// Guards against daemons that keep each other at rows of before a loss, which
// have higher numbers than the restored ones.
TEST_CASE("a replica of a later era is newer whatever its number")
{
  SiteReplica replica;
  const Instant now = Instant() + 1000s;
  const auto table = SiteTable::Servers;
  (void)replica.Replace(table, { { { "s1", "x", 7 } }, { 7, 1 } }, now);
  (void)replica.Replace(table, { { { "s2", "y", { 3, 2 } } }, { 4, 2 } }, now);
  struct Row
  {
    TableVersion mHas;
    bool mIsTold;
    bool mIsWhole;
  };
  for (const Row& row : { Row{ 0, true, true },
                          Row{ { 7, 1 }, true, true },
                          Row{ { 4, 1 }, true, true },
                          Row{ { 3, 2 }, true, true },
                          Row{ { 4, 2 }, false, false },
                          Row{ { 9, 2 }, false, false },
                          Row{ { 1, 3 }, false, false } }) {
    CAPTURE(row.mHas.Era());
    CAPTURE(row.mHas.Number());
    const auto query = ReadReplicaQuery(ToJson(ReplicaQuery{ 9, row.mHas }));
    REQUIRE(query.has_value());
    const auto reply = ReadReplicaReply(
      ToJson(AnswerReplicaQuery(query.value(), replica, true, 0ms)));
    REQUIRE(reply.has_value());
    const auto& rows = reply.value().mServers;
    REQUIRE(rows.has_value() == row.mIsTold);
    if (rows) {
      CHECK(rows->mIsWhole == row.mIsWhole);
      CHECK(rows->mRows.mVersion == TableVersion{ 4, 2 });
      CHECK(rows->mRows.mRows.front().mVersion == TableVersion{ 3, 2 });
    }
  }
}

TEST_CASE("malformed replica replies are rejected")
{
  for (const char* text :
       { "{}",
         R"({"in_reach":1,"age_ms":0})",
         R"({"in_reach":true})",
         R"({"in_reach":true,"age_ms":"x"})",
         R"({"in_reach":true,"age_ms":0,"lag_ms":"x"})",
         R"({"in_reach":true,"age_ms":0,"lag_ms":-1})",
         R"({"in_reach":true,"age_ms":0,"lag_ms":1e300})",
         R"({"in_reach":true,"age_ms":0,"operator":{"version":1,"rows":[]}})",
         R"({"in_reach":true,"age_ms":0,"operator":{"whole":true,
            "version":1}})",
         R"({"in_reach":true,"age_ms":0,"operator":{"whole":true,
            "version":1,"rows":[{"key":"a"}]}})",
         R"({"in_reach":true,"age_ms":0,"servers":{"whole":true,
            "version":1,"rows":[
            {"key":"a","version":1,"value":"not base64!"}]}})" }) {
    CAPTURE(text);
    CHECK_FALSE(ReadReplicaReply(Json::parse(text)).has_value());
  }
}

TEST_CASE("a requester that is up to date gets changes and removals only")
{
  SiteReplica replica;
  const Instant now = Instant() + 1000s;
  replica.OnContact(now - 100s);
  (void)replica.Replace(
    SiteTable::Servers,
    { { { "s1", "x", 3, false }, { "s2", "y", 4, false } }, 4 },
    now);
  SiteReplica copy;
  copy.OnContact(now - 100s);
  const auto follow = [&] {
    const ReplicaQuery query{ 0, copy.Version(SiteTable::Servers) };
    const auto reply =
      ReadReplicaReply(ToJson(AnswerReplicaQuery(query, replica, true, 0ms)));
    REQUIRE(reply.has_value());
    const auto& rows = reply.value().mServers;
    if (!rows) {
      return std::size_t{ 0 };
    }
    (void)(rows->mIsWhole ? copy.Replace(SiteTable::Servers, rows->mRows, now)
                          : copy.Merge(SiteTable::Servers, rows->mRows, now));
    return rows->mRows.mRows.size();
  };
  CHECK(follow() == 2);
  CHECK(follow() == 0);
  (void)replica.Merge(SiteTable::Servers,
                      { { { "s1", {}, 5, true }, { "s3", "z", 6, false } }, 6 },
                      now);
  CHECK(follow() == 2);
  CHECK(copy.Rows(SiteTable::Servers) == replica.Rows(SiteTable::Servers));
  CHECK(copy.Version(SiteTable::Servers) == 6);
}

TEST_CASE("a requester older than the kept removals gets the whole table")
{
  SiteReplica replica;
  const Instant now = Instant() + 1000s;
  replica.OnContact(now - 100s);
  std::uint64_t version = 1;
  (void)replica.Merge(
    SiteTable::Servers, { { { "s", "x", 1, false } }, 1 }, now);
  for (int n = 0; n < 2000; ++n) {
    const auto key = "t" + std::to_string(n);
    ++version;
    (void)replica.Merge(
      SiteTable::Servers, { { { key, "x", version, false } }, version }, now);
    ++version;
    (void)replica.Merge(
      SiteTable::Servers, { { { key, {}, version, true } }, version }, now);
  }
  const auto old = AnswerReplicaQuery({ 0, 1 }, replica, true, 0ms);
  REQUIRE(old.mServers);
  CHECK(old.mServers->mIsWhole);
  CHECK(old.mServers->mRows.mRows.size() == 1);
  const auto late = AnswerReplicaQuery({ 0, version - 4 }, replica, true, 0ms);
  REQUIRE(late.mServers);
  CHECK_FALSE(late.mServers->mIsWhole);
  CHECK(late.mServers->mRows.mRows.size() == 2);
}
