#include "peer_directory.h"

#include <doctest/doctest.h>

#include <map>

using namespace bilberrytrail;

namespace {

// A table in which nobody else writes.
class OwnTable final : public TableService
{
public:
  CallResult<std::optional<TableRow>> Read(const std::string& aKey,
                                           Duration /*aTimeout*/) override
  {
    const auto it = mRows.find(aKey);
    return it == mRows.end() ? std::nullopt : std::optional(it->second);
  }
  CallResult<std::vector<TableRow>> Scan(const std::string& /*aPrefix*/,
                                         std::size_t /*aLimit*/,
                                         Duration /*aTimeout*/) override
  {
    std::vector<TableRow> rows;
    for (const auto& [key, row] : mRows) {
      rows.push_back(row);
    }
    return rows;
  }
  CallResult<CommitOutcome> Commit(const std::vector<TableWrite>& aWrites,
                                   Duration /*aTimeout*/) override
  {
    for (const auto& it : aWrites) {
      mRows[it.mKey] = { it.mKey, it.mValue, it.mExpectedVersion + 1 };
    }
    return CommitOutcome{ true, {}, 1 };
  }

private:
  std::map<std::string, TableRow> mRows;
};

} // namespace

// Guards against daemons that ask a relay for cache changes at a port that it
// does not have: the system picks the port when the settings name none.
TEST_CASE("a daemon's row names the port for cache changes that it has")
{
  const PeerAddress self{
    DaemonId("d"), { "10.0.0.1", 82 }, ZoneId("z"), 20, std::nullopt
  };
  const Endpoint bulk{ "10.0.0.1", 40'000 };
  Loop loop(LoopTime::Virtual);
  OwnTable table;
  PeerDirectory peers(loop, table, self, 1);
  peers.SetBulk(bulk);
  loop.Spawn([&] { peers.Run(); });
  loop.Spawn([&] {
    (void)loop.Sleep(5s);
    REQUIRE(peers.IsComplete());
    REQUIRE(peers.All().size() == 1);
    CHECK(peers.All().front().mBulk == bulk);
    loop.Stop();
  });
  loop.Run();
}
