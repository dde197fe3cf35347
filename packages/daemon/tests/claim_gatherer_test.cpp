#include "claim_gatherer.h"
#include "claim_table.h"
#include "write_only_table.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <thread>

using namespace bilberrytrail;

namespace {

// Rows in memory; each commit takes a while, so that writes gather.
class SlowTable final : public WriteOnlyTable
{
public:
  explicit SlowTable(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  [[nodiscard]] std::size_t Commits() const { return mCommits; }
  [[nodiscard]] std::size_t Rows() const { return mVersions.size(); }

  void LoseReplies() { mLosesReplies = true; }

  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& aWrites,
                                   Duration /*aTimeout*/) override
  {
    ++mCommits;
    (void)mLoop.Sleep(2ms);
    CommitOutcome outcome;
    for (const auto& write : aWrites) {
      const auto it = mVersions.find(write.mKey);
      const auto version = it == mVersions.end() ? 0 : it->second;
      if (version != write.mExpectedVersion) {
        outcome.mCurrent.push_back({ write.mKey, {}, version });
      }
    }
    outcome.mCommitted = outcome.mCurrent.empty();
    for (const auto& write : aWrites) {
      if (outcome.mCommitted) {
        mVersions[write.mKey] = write.mExpectedVersion + 1;
      }
    }
    if (mLosesReplies) {
      return FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "lost");
    }
    return outcome;
  }

private:
  Loop& mLoop;
  std::size_t mCommits = 0;
  bool mLosesReplies = false;
  std::map<std::string, std::uint64_t> mVersions;
};

using Outcomes = std::vector<std::optional<CallResult<CommitOutcome>>>;

// Writes all rows at once, each on a fiber of its own.
Outcomes
WriteAll(Loop& aLoop,
         ClaimGatherer& aGatherer,
         SlowTable& aTable,
         const std::vector<TableWrite>& aWrites)
{
  Outcomes outcomes(aWrites.size());
  std::size_t left = aWrites.size();
  aLoop.Spawn([&] { aGatherer.Run(aLoop, aTable); });
  for (std::size_t n = 0; n < aWrites.size(); ++n) {
    aLoop.Spawn([&, n] {
      outcomes[n] = aGatherer.Write(aLoop, aWrites[n], 20s);
      if (--left == 0) {
        aLoop.Stop();
      }
    });
  }
  aLoop.Run();
  return outcomes;
}

std::vector<TableWrite>
MakeWrites(std::size_t aCount)
{
  std::vector<TableWrite> writes;
  for (std::size_t n = 0; n < aCount; ++n) {
    writes.push_back({ "row-" + std::to_string(n), "v", 0 });
  }
  return writes;
}

} // namespace

TEST_CASE("writes that come together share transactions")
{
  constexpr std::size_t kWrites = 120;
  Loop loop;
  SlowTable table(loop);
  ClaimGatherer gatherer(20ms);
  for (const auto& it : WriteAll(loop, gatherer, table, MakeWrites(kWrites))) {
    REQUIRE(it.has_value());
    REQUIRE(it->has_value());
    CHECK(it->value().mCommitted);
  }
  CHECK(table.Rows() == kWrites);
  CHECK(table.Commits() <= kWrites / 10);
}

TEST_CASE("a conflict settles its own row only")
{
  Loop loop;
  SlowTable table(loop);
  ClaimGatherer gatherer(5ms);
  auto writes = MakeWrites(20);
  writes[7].mExpectedVersion = 3;
  const auto outcomes = WriteAll(loop, gatherer, table, writes);
  for (std::size_t n = 0; n < writes.size(); ++n) {
    CAPTURE(n);
    REQUIRE(outcomes[n]->has_value());
    CHECK(outcomes[n]->value().mCommitted == (n != 7));
  }
  REQUIRE(outcomes[7]->value().mCurrent.size() == 1);
  CHECK(outcomes[7]->value().mCurrent.front().mKey == "row-7");
}

TEST_CASE("a lost reply leaves the fate of every write of the batch unknown")
{
  Loop loop;
  SlowTable table(loop);
  table.LoseReplies();
  ClaimGatherer gatherer(5ms);
  for (const auto& it : WriteAll(loop, gatherer, table, MakeWrites(10))) {
    REQUIRE_FALSE(it->has_value());
    CHECK(it->error().mDisposition == CallDisposition::Unknown);
  }
}

TEST_CASE("a write that is not committed in time has an unknown fate")
{
  Loop loop;
  ClaimGatherer gatherer(1ms);
  std::optional<CallResult<CommitOutcome>> outcome;
  loop.Spawn([&] {
    outcome = gatherer.Write(loop, { "row", "v", 0 }, 10ms);
    loop.Stop();
  });
  loop.Run();
  REQUIRE_FALSE(outcome->has_value());
  CHECK(outcome->error().mDisposition == CallDisposition::Unknown);
}

TEST_CASE("writers of other threads are settled")
{
  Loop committing;
  Loop writing;
  SlowTable table(committing);
  ClaimGatherer gatherer(2ms);
  committing.Spawn([&] { gatherer.Run(committing, table); });
  std::thread thread([&] { committing.Run(); });
  std::size_t committed = 0;
  std::size_t left = 50;
  for (const auto& write : MakeWrites(left)) {
    writing.Spawn([&, write] {
      const auto outcome = gatherer.Write(writing, write, 20s);
      committed += outcome && outcome.value().mCommitted ? 1 : 0;
      if (--left == 0) {
        writing.Stop();
      }
    });
  }
  writing.Run();
  committing.Stop();
  thread.join();
  CHECK(committed == 50);
  CHECK(table.Rows() == 50);
}

TEST_CASE("the result of claim.write comes back with its fate")
{
  const CallResult<CommitOutcome> rows[] = {
    CommitOutcome{ true, {} },
    CommitOutcome{ false, { { "k", "v", 4 } } },
    FailCall(CallDisposition::NotRun, ErrorCode::Exhausted, "full"),
    FailCall(CallDisposition::Unknown, ErrorCode::Timeout, "lost"),
    FailCall(CallDisposition::Failed, ErrorCode::Internal, "bad"),
  };
  for (const auto& row : rows) {
    const auto read = ReadClaimResult(ToJson(row));
    REQUIRE(read.has_value() == row.has_value());
    if (row) {
      CHECK(read.value().mCommitted == row.value().mCommitted);
      CHECK(read.value().mCurrent.size() == row.value().mCurrent.size());
    } else {
      CHECK(read.error().mDisposition == row.error().mDisposition);
      CHECK(read.error().mError.mCode == row.error().mError.mCode);
    }
  }
  CHECK(ReadClaimResult(Json::object()).error().mDisposition ==
        CallDisposition::Unknown);
}

TEST_CASE("the claims of all rows have few homes")
{
  constexpr int kDaemons = 40;
  std::vector<HomeCandidate> daemons;
  daemons.reserve(kDaemons);
  for (int n = 0; n < kDaemons; ++n) {
    daemons.push_back({ DaemonId("d" + std::to_string(n)), ZoneId("z"), 1 });
  }
  std::map<DaemonId, int> homes;
  for (int n = 0; n < 3000; ++n) {
    ++homes[ClaimHomeOf("claim/p/a/" + std::to_string(n), daemons, 3)];
  }
  CHECK(homes.size() <= 3);
  CHECK(ClaimHomeOf("claim/p/a/1", {}, 3).IsEmpty());
}
