#include "peer_replicas.h"

#include "cbor.h"

#include <bilberrytrail/runtime/deflate.h>

#include <doctest/doctest.h>

#include <limits>

using namespace bilberrytrail;

namespace {

// Ways in which rows travel between daemons.
enum class Form : unsigned char
{
  // Within a notice.
  Inline,
  // In an answer of their own.
  Encoded
};

// Returns the rows of a table that a requester lacks, as they arrive there.
std::optional<ReplicaRows>
Told(SiteTable aTable,
     TableVersion aVersion,
     const SiteReplica& aReplica,
     Form aForm = Form::Encoded)
{
  const auto rows = RowsSince(aTable, aVersion, aReplica);
  if (!rows) {
    return std::nullopt;
  }
  if (aForm == Form::Inline) {
    const auto read = ReadReplicaRows(ToJson(*rows));
    REQUIRE(read.has_value());
    return read.value();
  }
  const auto reply =
    DecodeRowsReply(EncodeRowsReply(std::nullopt, EncodeRows(*rows)));
  REQUIRE(reply.has_value());
  return reply.value().mRows;
}

} // namespace

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
    TableVersion mOperatorVersion;
    TableVersion mServersVersion;
    bool mHasOperator;
    bool mHasServers;
  };
  for (const Row& row : { Row{ 0, 0, true, true },
                          Row{ 6, 7, false, true },
                          Row{ 6, 8, false, false },
                          Row{ 9, 9, false, false } }) {
    for (const auto form : { Form::Inline, Form::Encoded }) {
      const auto rows =
        Told(SiteTable::Operator, row.mOperatorVersion, replica, form);
      CHECK(rows.has_value() == row.mHasOperator);
      CHECK(Told(SiteTable::Servers, row.mServersVersion, replica, form)
              .has_value() == row.mHasServers);
      if (rows) {
        CHECK(rows->mRows.mVersion == 6);
        CHECK(rows->mRows.mRows.front().mValue == bytes);
      }
    }
  }
}

// Guards against a daemon that counts the age of weights from the time at which
// another daemon told it of them.
TEST_CASE("a reply tells for how long the rows may have lacked changes")
{
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
    const auto reply =
      DecodeRowsReply(EncodeRowsReply(row.mLag, EncodeRows({})));
    REQUIRE(reply.has_value());
    CHECK(reply.value().mLag == row.mRead);
  }
}

TEST_CASE("queries for rows keep their content")
{
  const RowsQuery query{ SiteTable::Servers, { 9, 2 } };
  const auto read = DecodeRowsQuery(EncodeRowsQuery(query));
  REQUIRE(read.has_value());
  CHECK(read.value().mTable == SiteTable::Servers);
  CHECK(read.value().mAfter == TableVersion{ 9, 2 });
  for (const Json& json :
       { Json::object(),
         Json{ { "table", "x" }, { "number", 1 }, { "era", 1 } },
         Json{ { "table", "servers" }, { "number", -1 }, { "era", 1 } },
         Json{ { "table", "servers" }, { "number", 1 } } }) {
    CAPTURE(json.dump());
    CHECK_FALSE(DecodeRowsQuery(WriteCbor(json)).has_value());
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
    const auto rows = Told(SiteTable::Servers, version, replica);
    REQUIRE(rows);
    CHECK(rows->mIsWhole);
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
    const auto rows = Told(table, row.mHas, replica);
    REQUIRE(rows.has_value() == row.mIsTold);
    if (rows) {
      CHECK(rows->mIsWhole == row.mIsWhole);
      CHECK(rows->mRows.mVersion == TableVersion{ 4, 2 });
      CHECK(rows->mRows.mRows.front().mVersion == TableVersion{ 3, 2 });
    }
  }
}

TEST_CASE("malformed rows are rejected")
{
  for (const char* text :
       { "{}",
         R"({"version":1,"era":0,"rows":[]})",
         R"({"whole":true,"era":0,"rows":[]})",
         R"({"whole":true,"version":1,"rows":[]})",
         R"({"whole":true,"version":1,"era":0})",
         R"({"whole":1,"version":1,"era":0,"rows":[]})",
         R"({"whole":true,"version":-1,"era":0,"rows":[]})",
         R"({"whole":true,"version":1,"era":0,"rows":{}})",
         R"({"whole":true,"version":1,"era":0,"rows":[],"table_ms":"x"})",
         R"({"whole":true,"version":1,"era":0,"rows":[{"key":"a"}]})",
         R"({"whole":true,"version":1,"era":0,
            "rows":[{"key":"a","version":1}]})",
         R"({"whole":true,"version":1,"era":0,
            "rows":[{"key":"a","version":1,"value":"not base64!"}]})" }) {
    CAPTURE(text);
    const auto json = Json::parse(text);
    CHECK_FALSE(ReadReplicaRows(json).has_value());
    CHECK_FALSE(
      DecodeRowsReply(EncodeRowsReply(std::nullopt, Deflate(WriteCbor(json))))
        .has_value());
  }
  const auto rows = EncodeRows({});
  for (const Json& json :
       { Json::object(),
         Json{ { "rows", "text" } },
         Json{ { "rows", ToBinary("noise") } },
         Json{ { "rows", ToBinary(rows) }, { "lag_ms", "x" } },
         Json{ { "rows", ToBinary(rows) }, { "lag_ms", -1 } },
         Json{ { "rows", ToBinary(rows) }, { "lag_ms", 1e300 } },
         Json{ { "rows", ToBinary(rows) },
               { "lag_ms", std::numeric_limits<double>::quiet_NaN() } } }) {
    CHECK_FALSE(DecodeRowsReply(WriteCbor(json)).has_value());
  }
  CHECK_FALSE(DecodeRowsReply("").has_value());
  CHECK_FALSE(DecodeRowsReply("noise").has_value());
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
    const auto rows =
      Told(SiteTable::Servers, copy.Version(SiteTable::Servers), replica);
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
  const auto old = Told(SiteTable::Servers, 1, replica);
  REQUIRE(old);
  CHECK(old->mIsWhole);
  CHECK(old->mRows.mRows.size() == 1);
  const auto late = Told(SiteTable::Servers, version - 4, replica);
  REQUIRE(late);
  CHECK_FALSE(late->mIsWhole);
  CHECK(late->mRows.mRows.size() == 2);
}
