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
