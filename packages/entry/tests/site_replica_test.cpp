#include <bilberrytrail/entry/site_replica.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr auto kServers = SiteTable::Servers;

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

SiteRow
Row(std::string aKey, std::uint64_t aVersion, std::string aValue = "v")
{
  return { std::move(aKey), std::move(aValue), aVersion, false };
}

SiteRow
Removed(std::string aKey, std::uint64_t aVersion)
{
  return { std::move(aKey), {}, aVersion, true };
}

// A replica whose table service has been reachable for long.
SiteReplica
StableReplica()
{
  SiteReplica replica;
  replica.OnContact(At(-100s));
  (void)replica.Replace(kServers, { { Row("a", 1), Row("b", 2) }, 2 }, At(0s));
  return replica;
}

bool
Has(const SiteReplica& aReplica, const std::string& aKey)
{
  for (const auto& it : aReplica.Rows(kServers)) {
    if (it.mKey == aKey) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("a replica never goes back to an older version")
{
  SiteReplica replica;
  const auto table = SiteTable::Operator;
  CHECK(replica.Replace(table, { { Row("config", 7, "new") }, 9 }, At(0s)));
  CHECK_FALSE(
    replica.Replace(table, { { Row("config", 5, "old") }, 5 }, At(1s)));
  CHECK_FALSE(replica.Merge(table, { { Row("config", 6, "old") }, 6 }, At(1s)));
  CHECK(replica.Version(table) == 9);
  CHECK(replica.Rows(table).front().mValue == "new");
}

// Guards against a replica that refuses the rows of a table service that came
// back from an older copy, or takes changes of an earlier era.
TEST_CASE("a replica follows its table service into a later era")
{
  const auto table = SiteTable::Operator;
  SiteReplica replica;
  (void)replica.Replace(
    table, { { { "config", "old", 9 } }, { 9, 1 } }, At(0s));
  const TableVersion restored{ 4, 2 };
  const SiteRows later{ { { "config", "new", restored } }, restored };
  CHECK_FALSE(replica.Merge(table, later, At(1s)));
  CHECK(replica.Replace(table, later, At(1s)));
  CHECK(replica.Version(table) == restored);
  CHECK(replica.Rows(table).front().mValue == "new");
  const SiteRows earlier{ { { "config", "old", { 12, 1 } } }, { 12, 1 } };
  CHECK_FALSE(replica.Merge(table, earlier, At(2s)));
  CHECK_FALSE(replica.Replace(table, earlier, At(2s)));
  // The number of an earlier row is given out again.
  const TableVersion again{ 9, 2 };
  CHECK(
    replica.Merge(table, { { { "config", "newer", again } }, again }, At(3s)));
  CHECK(replica.Rows(table).front().mValue == "newer");
  CHECK(replica.Rows(table).size() == 1);
}

// Guards against live servers that are dropped because the copy has no row of
// them yet: they write it again.
TEST_CASE("servers without a row in the copy stay until the recovery time")
{
  for (const bool comesBack : { false, true }) {
    CAPTURE(comesBack);
    auto replica = StableReplica();
    CHECK(replica.Replace(
      kServers, { { { "b", "v", { 2, 1 } } }, { 2, 1 } }, At(10s)));
    CHECK(Has(replica, "a"));
    if (comesBack) {
      CHECK(replica.Merge(
        kServers, { { { "a", "v", { 3, 1 } } }, { 3, 1 } }, At(11s)));
    }
    CHECK(replica.Expire(At(10s) + SiteReplica::kRecoveryTime) != comesBack);
    CHECK(Has(replica, "a") == comesBack);
    CHECK(Has(replica, "b"));
  }
}

TEST_CASE(
  "a server removed while the table service is reachable is gone at once")
{
  auto replica = StableReplica();
  CHECK(replica.Merge(kServers, { { Removed("a", 3) }, 3 }, At(1s)));
  CHECK_FALSE(Has(replica, "a"));
  CHECK(Has(replica, "b"));
}

TEST_CASE("servers whose rows lapse in an outage stay until the recovery time "
          "has passed")
{
  struct Case
  {
    const char* mName;
    bool mComesBack;
    bool mByFullRead;
  };
  for (const Case& it :
       { Case{ "not back, removed by a change", false, false },
         Case{ "not back, missing in a full read", false, true },
         Case{ "written again", true, false } }) {
    CAPTURE(it.mName);
    auto replica = StableReplica();
    replica.OnOutage();
    replica.OnContact(At(10s));
    if (it.mByFullRead) {
      (void)replica.Replace(kServers, { { Row("b", 2) }, 5 }, At(10s));
    } else {
      (void)replica.Merge(kServers, { { Removed("a", 3) }, 5 }, At(10s));
    }
    CHECK(Has(replica, "a"));
    CHECK_FALSE(replica.Expire(At(10s) + SiteReplica::kRecoveryTime - 1ms));
    if (it.mComesBack) {
      CHECK(replica.Merge(kServers, { { Row("a", 8) }, 8 }, At(11s)));
    }
    CHECK(replica.Expire(At(10s) + SiteReplica::kRecoveryTime) !=
          it.mComesBack);
    CHECK(Has(replica, "a") == it.mComesBack);
  }
}

TEST_CASE("an export for another daemon leaves out lapsed rows")
{
  auto replica = StableReplica();
  replica.OnOutage();
  (void)replica.Merge(kServers, { { Removed("a", 3) }, 3 }, At(1s));
  CHECK(replica.Rows(kServers).size() == 2);
  const auto copy = replica.Export(kServers);
  REQUIRE(copy.mRows.size() == 1);
  CHECK(copy.mRows.front().mKey == "b");
  CHECK(copy.mVersion == 3);
}
