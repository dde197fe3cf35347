#include "fake_table.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/release/lease.h>

#include <doctest/doctest.h>

#include <deque>

using namespace bilberrytrail;

namespace {

constexpr LeaseSettings kSettings;
constexpr Duration kStep = 100ms;
const std::string kKey = LeaseKey(3);

// A daemon with its own view of the lease. Each of its table calls meets the
// given fault.
struct Daemon
{
  explicit Daemon(const std::string& aName)
    : mLease(kKey, DaemonId(aName), kSettings)
  {
    mLease.SetWanted(true);
  }

  void Step(FakeTable& aTable, Instant aNow, TableFault aFault)
  {
    const auto action = mLease.Tick(aNow);
    if (!action) {
      return;
    }
    if (const auto* read = std::get_if<LeaseRead>(&*action)) {
      mLease.OnRead(read->mSequence, aTable.Read(read->mKey, aFault), aNow);
      return;
    }
    const auto& write = std::get<LeaseWrite>(*action);
    mLease.OnWrite(
      write.mSequence, aTable.Commit({ write.mWrite }, aFault), aNow);
  }

  Lease mLease;
  bool mPaused = false;
};

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

void
RunSteps(FakeTable& aTable,
         const std::vector<Daemon*>& aDaemons,
         Instant& aNow,
         Duration aLength)
{
  for (const Instant end = aNow + aLength; aNow < end; aNow += kStep) {
    for (Daemon* it : aDaemons) {
      it->Step(aTable, aNow, TableFault::None);
    }
  }
}

} // namespace

TEST_CASE("one of two daemons gets the lease and keeps it by renewals")
{
  FakeTable table;
  Daemon first("a");
  Daemon second("b");
  Instant now = At(0s);
  RunSteps(table, { &first, &second }, now, 1s);
  REQUIRE(first.mLease.EpochForOrder(now) == FencingNumber(1));
  for (int n = 0; n < 60; ++n) {
    RunSteps(table, { &first, &second }, now, 1s);
    CHECK(first.mLease.EpochForOrder(now) == FencingNumber(1));
    CHECK_FALSE(second.mLease.EpochForOrder(now));
  }
}

TEST_CASE("a takeover waits for the end of the lease and of the longest order")
{
  FakeTable table;
  Daemon first("a");
  Daemon second("b");
  Instant now = At(0s);
  RunSteps(table, { &first, &second }, now, 5s);
  const Instant stopped = now;
  while (!second.mLease.EpochForOrder(now)) {
    RunSteps(table, { &second }, now, kStep);
    REQUIRE(now - stopped < 20s);
  }
  // The holder's last write was at most mRenewAfter before it stopped.
  CHECK(now - stopped >= kSettings.mLength + kSettings.mMaxOrderDuration -
                           kSettings.mRenewAfter);
  CHECK(second.mLease.EpochForOrder(now) == FencingNumber(2));
  CHECK_FALSE(first.mLease.EpochForOrder(now));
}

TEST_CASE("a relinquished lease is acquired at once, with a higher epoch")
{
  FakeTable table;
  Daemon first("a");
  Daemon second("b");
  Instant now = At(0s);
  RunSteps(table, { &first, &second }, now, 5s);
  first.mLease.SetWanted(false);
  RunSteps(table, { &first, &second }, now, 2s);
  CHECK_FALSE(first.mLease.EpochForOrder(now));
  CHECK(second.mLease.EpochForOrder(now) == FencingNumber(2));
  first.mLease.SetWanted(true);
  CHECK_FALSE(first.mLease.EpochForOrder(now));
}

TEST_CASE("a write with a lost reply counts from its sending once read back")
{
  FakeTable table;
  Daemon first("a");
  Instant now = At(0s);
  first.Step(table, now, TableFault::None);
  const Instant sent = now + kStep;
  first.Step(table, sent, TableFault::LostAfter);
  CHECK_FALSE(first.mLease.EpochForOrder(sent));
  now = sent + kSettings.mReadInterval;
  first.Step(table, now, TableFault::None);
  CHECK(first.mLease.EpochForOrder(now) == FencingNumber(1));
  CHECK(first.mLease.EpochForOrder(sent + kSettings.mLength - 1us));
  CHECK_FALSE(first.mLease.EpochForOrder(sent + kSettings.mLength));
}

// The first write takes effect late, after a second one was sent that never
// takes effect: the lease must run from the sending of the first write.
TEST_CASE("a row written by an earlier write does not confirm a later one")
{
  FakeTable table;
  Daemon first("a");
  const Instant start = At(0s);
  first.Step(table, start, TableFault::None);
  std::vector<std::pair<Instant, TableWrite>> writes;
  Instant now = start + kStep;
  for (; writes.size() < 2; now += kStep) {
    REQUIRE(now < start + 10s);
    const auto action = first.mLease.Tick(now);
    if (action && std::holds_alternative<LeaseWrite>(*action)) {
      writes.emplace_back(now, std::get<LeaseWrite>(*action).mWrite);
    } else if (action) {
      first.mLease.OnRead(
        std::get<LeaseRead>(*action).mSequence, table.Read(kKey), now);
    }
  }
  REQUIRE(table.Commit({ writes[0].second }).value().mCommitted);
  for (const Instant end = now + 4s; now < end; now += kStep) {
    if (const auto action = first.mLease.Tick(now)) {
      const auto* read = std::get_if<LeaseRead>(&*action);
      REQUIRE(read != nullptr);
      first.mLease.OnRead(read->mSequence, table.Read(kKey), now);
      break;
    }
  }
  const Instant end = writes[0].first + kSettings.mLength;
  REQUIRE(now < end);
  CHECK(first.mLease.EpochForOrder(end - 1us) == FencingNumber(1));
  CHECK_FALSE(first.mLease.EpochForOrder(end));
}

TEST_CASE("a holder that relinquishes issues no more orders under its epoch")
{
  for (const TableFault it : AllOf<TableFault>()) {
    CAPTURE(ToName(it));
    FakeTable table;
    Daemon first("a");
    Instant now = At(0s);
    RunSteps(table, { &first }, now, 1s);
    REQUIRE(first.mLease.EpochForOrder(now));
    first.mLease.SetWanted(false);
    first.Step(table, now, it);
    first.mLease.SetWanted(true);
    CHECK_FALSE(first.mLease.EpochForOrder(now));
  }
}

// Without the repetition the next holder would have to wait for the end of the
// lease and of the longest order.
TEST_CASE("relinquishing is repeated until the row confirms it")
{
  constexpr Duration kBound = 3s;
  for (const TableFault it : AllOf<TableFault>()) {
    for (const int faults : { 1, 5 }) {
      CAPTURE(ToName(it));
      CAPTURE(faults);
      FakeTable table;
      Daemon first("a");
      Daemon second("b");
      Instant now = At(0s);
      RunSteps(table, { &first, &second }, now, 5s);
      first.mLease.SetWanted(false);
      CHECK(first.mLease.IsRelinquishing());
      for (int n = 0; n < faults; ++n, now += kStep) {
        first.Step(table, now, it);
        CHECK_FALSE(first.mLease.EpochForOrder(now));
      }
      RunSteps(table, { &first, &second }, now, kBound);
      CHECK_FALSE(first.mLease.IsRelinquishing());
      CHECK_FALSE(first.mLease.EpochForOrder(now));
      CHECK(second.mLease.EpochForOrder(now) == FencingNumber(2));
    }
  }
}

TEST_CASE(
  "relinquishing ends when another daemon holds the lease or the lease is "
  "wanted again")
{
  for (const bool isWantedAgain : { false, true }) {
    CAPTURE(isWantedAgain);
    FakeTable table;
    Daemon first("a");
    Instant now = At(0s);
    RunSteps(table, { &first }, now, 5s);
    first.mLease.SetWanted(false);
    first.Step(table, now, TableFault::LostBefore);
    CHECK(first.mLease.IsRelinquishing());
    const LeaseRow other{ DaemonId("b"), FencingNumber(2), 1 };
    const auto version = table.mRows[kKey].mVersion;
    REQUIRE(table.Commit({ { kKey, ToText(other), version } }).has_value());
    first.mLease.SetWanted(isWantedAgain);
    RunSteps(table, { &first }, now, 3s);
    CHECK_FALSE(first.mLease.IsRelinquishing());
    CHECK_FALSE(first.mLease.EpochForOrder(now));
    CHECK(table.mRows[kKey].mValue == ToText(other));
  }
}

TEST_CASE(
  "a holder issues no orders after its lease ends while the table is down")
{
  FakeTable table;
  Daemon first("a");
  Instant now = At(0s);
  RunSteps(table, { &first }, now, 5s);
  const Instant down = now;
  for (; now < down + 10s; now += kStep) {
    first.Step(table, now, TableFault::Down);
    if (now - down > kSettings.mLength) {
      CHECK_FALSE(first.mLease.EpochForOrder(now));
    }
  }
  RunSteps(table, { &first }, now, 12s);
  CHECK(first.mLease.EpochForOrder(now));
}

TEST_CASE("a lease whose row cannot be decoded is never taken over")
{
  FakeTable table;
  table.mRows[kKey] = { kKey, "damaged", 4 };
  Daemon first("a");
  Instant now = At(0s);
  RunSteps(table, { &first }, now, 30s);
  CHECK_FALSE(first.mLease.EpochForOrder(now));
  CHECK(table.mRows[kKey].mValue == "damaged");
}

// Three daemons with random faults of their calls, random pauses in which a
// daemon does nothing, and writes that take effect late. At no time may two
// daemons hold the lease, and the epochs of successive holders must grow. On
// some runs the table comes back from a copy some seconds old, several times:
// versions are given out again, so that late writes may match.
TEST_CASE("at most one holder and growing epochs under random faults")
{
  struct LateWrite
  {
    Instant mAt;
    TableWrite mWrite;
  };
  int holders = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    const bool isRestored = seed % 2 == 0;
    Random random(seed);
    FakeTable table;
    FakeTable copy;
    std::uint64_t era = isRestored ? 1 : 0;
    std::vector<Daemon> daemons;
    std::vector<Instant> pausedUntil(3, At(0s));
    for (const char* it : { "a", "b", "c" }) {
      daemons.emplace_back(it);
    }
    std::deque<LateWrite> late;
    std::uint64_t lastEpoch = 0;
    std::string lastHolder;
    for (Instant now = At(0s); now < At(120s); now += kStep) {
      while (!late.empty() && late.front().mAt <= now) {
        (void)table.Commit({ late.front().mWrite });
        late.pop_front();
      }
      if (isRestored && random.Below(100) == 0) {
        copy = table;
      }
      if (isRestored && random.Below(150) == 0) {
        table = copy;
        ++era;
      }
      for (std::size_t n = 0; n < daemons.size(); ++n) {
        if (now < pausedUntil[n]) {
          continue;
        }
        if (random.Below(150) == 0) {
          pausedUntil[n] = now + Duration(random.Below(15'000'000));
          continue;
        }
        Lease& lease = daemons[n].mLease;
        const auto action = lease.Tick(now);
        if (!action) {
          continue;
        }
        const auto fault = random.Below(3) == 0
                             ? static_cast<TableFault>(random.Below(4))
                             : TableFault::None;
        if (const auto* read = std::get_if<LeaseRead>(&*action)) {
          const auto row = table.Read(read->mKey, fault);
          if (row) {
            lease.SetEra(era, now);
          }
          lease.OnRead(read->mSequence, row, now);
          continue;
        }
        const auto& write = std::get<LeaseWrite>(*action);
        if (fault == TableFault::LostBefore) {
          // The reply never comes; the write may take effect late.
          late.push_back({ now + 4s, write.mWrite });
          continue;
        }
        const auto done = table.Commit({ write.mWrite }, fault);
        if (done) {
          lease.SetEra(era, now);
        }
        lease.OnWrite(write.mSequence, done, now);
      }
      int count = 0;
      for (std::size_t n = 0; n < daemons.size(); ++n) {
        // A paused holder counts too, as it may resume at any moment.
        const auto epoch = daemons[n].mLease.EpochForOrder(now);
        if (!epoch) {
          continue;
        }
        ++count;
        ++holders;
        const std::string name(1, static_cast<char>('a' + n));
        REQUIRE(epoch->Value() >= lastEpoch);
        REQUIRE((epoch->Value() > lastEpoch || name == lastHolder));
        lastEpoch = epoch->Value();
        lastHolder = name;
      }
      REQUIRE(count <= 1);
    }
  }
  CHECK(holders > 10000);
}

// Guards against a second holder, or a fencing number given out again, when the
// table comes back from a copy without the holder's row.
TEST_CASE("a lease of an earlier era ends before the next holder's begins")
{
  FakeTable table;
  Daemon first("a");
  Daemon second("b");
  Instant now = At(0s);
  first.mLease.SetEra(1, now);
  second.mLease.SetEra(1, now);
  const auto wait = kSettings.mLength + kSettings.mMaxOrderDuration;
  // The era may have begun just before.
  RunSteps(table, { &first, &second }, now, wait);
  CHECK_FALSE(first.mLease.EpochForOrder(now));
  RunSteps(table, { &first, &second }, now, 2s);
  const auto before = first.mLease.EpochForOrder(now);
  REQUIRE(before);
  table = FakeTable();
  // Only the second daemon learns of the loss; the first one is paused.
  second.mLease.SetEra(2, now);
  const auto lost = now;
  while (!second.mLease.EpochForOrder(now)) {
    RunSteps(table, { &second }, now, kStep);
    REQUIRE(now - lost < 20s);
  }
  CHECK(now - lost >= wait);
  CHECK_FALSE(first.mLease.EpochForOrder(now));
  CHECK(second.mLease.EpochForOrder(now)->Value() > before->Value());
  // The first one learns of it by an answer, after a late write of its own.
  const LeaseRow row{ DaemonId("a"), *before, 99 };
  CHECK(table.Commit({ { kKey + "@1", ToText(row), 0 } }).value().mCommitted);
  first.mLease.SetEra(2, now);
  for (int n = 0; n < 20; ++n) {
    RunSteps(table, { &first, &second }, now, 1s);
    CHECK_FALSE(first.mLease.EpochForOrder(now));
    CHECK(second.mLease.EpochForOrder(now));
  }
}

// A holder that lost its connection to the table returns before a takeover.
// No other daemon can have sent orders, so it does not have to wait.
TEST_CASE("an expired holder reacquires its lease at once, with a higher epoch")
{
  FakeTable table;
  Daemon first("a");
  Daemon second("b");
  Instant now = At(0s);
  RunSteps(table, { &first, &second }, now, 5s);
  const Instant back = now + kSettings.mLength + 1s;
  for (; now < back; now += kStep) {
    first.Step(table, now, TableFault::Down);
    second.Step(table, now, TableFault::None);
  }
  CHECK_FALSE(first.mLease.EpochForOrder(now));
  RunSteps(table, { &first, &second }, now, kSettings.mReadInterval + kStep);
  CHECK(first.mLease.EpochForOrder(now) == FencingNumber(2));
  CHECK_FALSE(second.mLease.EpochForOrder(now));
}

// The table service numbers its transactions instead of each row's writes.
TEST_CASE("renewals expect the row versions that the table service returned")
{
  FakeTable table;
  table.mVersionsPerCommit = 10;
  Daemon first("a");
  Instant now = At(0s);
  for (int n = 0; n < 30; ++n) {
    RunSteps(table, { &first }, now, 1s);
    CHECK(first.mLease.EpochForOrder(now) == FencingNumber(1));
  }
}
