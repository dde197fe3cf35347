#include <bilberrytrail/entry/site_view.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

// Parses "config N", "weights N", "evacuate ZONE", "server START" and "leaving
// START"; anything else is unreadable.
class FakeReader final : public SiteReader
{
public:
  [[nodiscard]] ParsedSiteRow Read(SiteTable /*aTable*/,
                                   const SiteRow& aRow) const override
  {
    const auto& text = aRow.mValue;
    if (text.starts_with("config ")) {
      SiteConfig config;
      config.mVersion = std::stoull(text.substr(7));
      return config;
    }
    if (text.starts_with("weights ")) {
      return WeightTarget{ ModelId("m"), std::stoull(text.substr(8)) };
    }
    if (text.starts_with("evacuate ")) {
      return ZoneEvacuation{ ZoneId(text.substr(9)) };
    }
    if (text.starts_with("server ") || text.starts_with("leaving ")) {
      ServerRecord record;
      record.mId = ServerId(aRow.mKey);
      record.mZone = ZoneId("z1");
      record.mIsLeaving = text.starts_with("leaving ");
      record.mStartedAtMs = std::stoull(text.substr(text.find(' ') + 1));
      return record;
    }
    return Fail(ErrorCode::Corrupt, "unreadable");
  }
};

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

void
Put(SiteReplica& aReplica,
    SiteTable aTable,
    const std::string& aKey,
    const std::string& aValue,
    std::uint64_t aVersion)
{
  (void)aReplica.Merge(
    aTable, { { { aKey, aValue, aVersion, false } }, aVersion }, At(0s));
}

} // namespace

TEST_CASE(
  "unreadable rows are skipped and the last readable configuration stays")
{
  FakeReader reader;
  SiteAssembler assembler(reader);
  SiteReplica replica;
  Put(replica, SiteTable::Operator, "config", "config 4", 1);
  Put(replica, SiteTable::Servers, "s1", "server 1", 2);
  Put(replica, SiteTable::Servers, "s2", "spoiled", 3);
  auto view = assembler.Assemble(replica, At(0s));
  REQUIRE(view->mConfig != nullptr);
  CHECK(view->mConfig->mVersion == 4);
  REQUIRE(view->mServers.size() == 1);
  CHECK(view->mServers.front().mId == ServerId("s1"));

  Put(replica, SiteTable::Operator, "config", "spoiled", 4);
  Put(replica, SiteTable::Servers, "s1", "spoiled", 5);
  Put(replica, SiteTable::Servers, "s2", "server 1", 6);
  view = assembler.Assemble(replica, At(1s));
  CHECK(view->mConfig->mVersion == 4);
  REQUIRE(view->mServers.size() == 1);
  CHECK(view->mServers.front().mId == ServerId("s2"));
}

TEST_CASE("a list of servers that was not read differs from an empty one")
{
  FakeReader reader;
  SiteAssembler assembler(reader);
  SiteReplica replica;
  Put(replica, SiteTable::Operator, "config", "config 4", 1);
  CHECK_FALSE(assembler.Assemble(replica, At(0s))->mHasReadServers);
  CHECK(replica.Replace(SiteTable::Servers, { {}, 1 }, At(0s)));
  CHECK_FALSE(replica.Replace(SiteTable::Servers, { {}, 2 }, At(0s)));
  const auto view = assembler.Assemble(replica, At(0s));
  CHECK(view->mHasReadServers);
  CHECK(view->mServers.empty());
}

TEST_CASE("servers are evacuated while the operator's row of their zone exists")
{
  FakeReader reader;
  SiteAssembler assembler(reader);
  SiteReplica replica;
  Put(replica, SiteTable::Servers, "s1", "server 1", 1);
  Put(replica, SiteTable::Operator, "other", "evacuate z2", 2);
  CHECK_FALSE(
    assembler.Assemble(replica, At(0s))->mServers.front().mIsEvacuated);
  Put(replica, SiteTable::Operator, "own", "evacuate z1", 3);
  CHECK(assembler.Assemble(replica, At(1s))->mServers.front().mIsEvacuated);
  // A server that starts meanwhile is evacuated, too.
  Put(replica, SiteTable::Servers, "s1", "server 2", 4);
  CHECK(assembler.Assemble(replica, At(2s))->mServers.front().mIsEvacuated);
  (void)replica.Merge(
    SiteTable::Operator, { { { "own", "", 5, true } }, 5 }, At(3s));
  CHECK_FALSE(
    assembler.Assemble(replica, At(3s))->mServers.front().mIsEvacuated);
}

TEST_CASE("a configuration with a lower number is not put in force")
{
  FakeReader reader;
  SiteAssembler assembler(reader);
  SiteReplica replica;
  Put(replica, SiteTable::Operator, "config", "config 9", 1);
  (void)assembler.Assemble(replica, At(0s));
  Put(replica, SiteTable::Operator, "config", "config 8", 2);
  CHECK(assembler.Assemble(replica, At(1s))->mConfig->mVersion == 9);
  Put(replica, SiteTable::Operator, "config", "config 12", 3);
  CHECK(assembler.Assemble(replica, At(2s))->mConfig->mVersion == 12);
}

TEST_CASE("weights announced before the start count as old, later ones as new")
{
  FakeReader reader;
  SiteAssembler assembler(reader);
  SiteReplica replica;
  const ModelId model("m");
  Put(replica, SiteTable::Operator, "m", "weights 2", 1);
  CHECK(assembler.Assemble(replica, At(0s))
          ->mWeights.LeastAllowed(model, 10s, At(0s)) == 2);
  Put(replica, SiteTable::Operator, "m", "weights 3", 2);
  const auto view = assembler.Assemble(replica, At(5s));
  CHECK(view->mWeights.Newest(model) == 3);
  CHECK(view->mWeights.LeastAllowed(model, 10s, At(14s)) == 2);
  CHECK(view->mWeights.LeastAllowed(model, 10s, At(15s)) == 3);
}

TEST_CASE("the time limit of each version counts from its own announcement")
{
  WeightHistory history;
  const ModelId model("m");
  CHECK(history.AddVersion(model, 1, At(0s)));
  CHECK(history.AddVersion(model, 2, At(4s)));
  CHECK_FALSE(history.AddVersion(model, 2, At(5s)));
  CHECK_FALSE(history.AddVersion(model, 1, At(5s)));
  CHECK(history.LeastAllowed(model, 10s, At(9s)) == 0);
  CHECK(history.LeastAllowed(model, 10s, At(10s)) == 1);
  CHECK(history.LeastAllowed(model, 10s, At(14s)) == 2);
  CHECK(history.LeastAllowed(ModelId("other"), 10s, At(99s)) == 0);
}

// Guards against servers that are used again because a restored table has an
// earlier row of them: they were leaving, are gone, or have started anew.
TEST_CASE("a restored row does not undo what is known of its server")
{
  struct Row
  {
    std::string mName;
    // Rows before the loss, then in the copy; empty for none.
    std::string mBefore;
    std::string mCopy;
    bool mIsUsable;
  };
  for (const Row& row :
       { Row{ "was leaving", "leaving 5", "server 5", false },
         Row{ "is gone", "", "server 5", false },
         Row{ "started anew", "server 7", "server 5", true },
         Row{
           "started anew, was leaving before", "server 7", "leaving 5", true },
         Row{ "unchanged", "server 5", "server 5", true },
         Row{ "unknown", "", "server 9", true } }) {
    CAPTURE(row.mName);
    FakeReader reader;
    SiteAssembler assembler(reader);
    SiteReplica replica;
    Put(replica, SiteTable::Servers, "s", "server 5", 1);
    (void)assembler.Assemble(replica, At(0s));
    SiteRows before{ {}, { 9, 1 } };
    if (!row.mBefore.empty()) {
      before.mRows = { { "s", row.mBefore, { 9, 1 } } };
    }
    replica.OnContact(At(-100s));
    (void)replica.Replace(SiteTable::Servers, before, At(1s));
    (void)replica.Expire(At(10s));
    (void)assembler.Assemble(replica, At(10s));
    (void)replica.Replace(SiteTable::Servers,
                          { { { "s", row.mCopy, { 1, 2 } } }, { 4, 2 } },
                          At(11s));
    auto view = assembler.Assemble(replica, At(11s));
    REQUIRE(view->mServers.size() == 1);
    CHECK(view->mServers.front().mIsLeaving == !row.mIsUsable);
    // The server writes its row again, with a number of before.
    const TableVersion again{ 9, 2 };
    (void)replica.Merge(
      SiteTable::Servers, { { { "s", "server 8", again } }, again }, At(12s));
    view = assembler.Assemble(replica, At(12s));
    REQUIRE(view->mServers.size() == 1);
    CHECK_FALSE(view->mServers.front().mIsLeaving);
    CHECK(view->mServers.front().mStartedAtMs == 8);
  }
}

// Guards against a row that is taken for one of before, with its number, while
// the server of before has lapsed.
TEST_CASE("a row of another era is read although its number was given before")
{
  FakeReader reader;
  SiteAssembler assembler(reader);
  SiteReplica replica;
  Put(replica, SiteTable::Servers, "s", "server 5", 3);
  (void)assembler.Assemble(replica, At(0s));
  (void)replica.Replace(SiteTable::Servers, { {}, { 2, 1 } }, At(1s));
  const TableVersion again{ 3, 1 };
  (void)replica.Merge(
    SiteTable::Servers, { { { "s", "leaving 5", again } }, again }, At(1s));
  const auto view = assembler.Assemble(replica, At(1s));
  REQUIRE(view->mServers.size() == 1);
  CHECK(view->mServers.front().mIsLeaving);
}
