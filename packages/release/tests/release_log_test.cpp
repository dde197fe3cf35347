#include "fake_table.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/release/release_log.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

ReleaseNote
MakeNote(std::uint64_t aAgainst, const std::string& aAccount)
{
  const std::string text =
    "[release]\nproduct = brotlag\nagainst = " + std::to_string(aAgainst) +
    "\n[add account " + aAccount + "]\ntoken_sha256 = " + Sha256Hex(aAccount) +
    "\nrequests_per_second = 1\ntokens_per_second = 1\nconcurrent = 1\n";
  const auto note = CheckNote(text, "n.ini");
  REQUIRE(note);
  return note.value();
}

// An operator's append that advances by one table call at a time.
class Operator
{
public:
  explicit Operator(ReleaseNote aNote)
    : mAppend(std::move(aNote))
    , mStep(mAppend.Start())
  {
  }

  [[nodiscard]] const AppendResult* Result() const
  {
    return std::get_if<AppendResult>(&mStep);
  }

  void Advance(FakeTable& aTable, TableFault aFault)
  {
    if (const auto* read = std::get_if<ReadRowStep>(&mStep)) {
      mStep = mAppend.OnRead(aTable.Read(read->mKey, aFault));
    } else if (const auto* commit = std::get_if<CommitStep>(&mStep)) {
      mStep = mAppend.OnCommit(aTable.Commit(commit->mWrites, aFault));
    }
  }

  AppendResult Finish(FakeTable& aTable)
  {
    while (Result() == nullptr) {
      Advance(aTable, TableFault::None);
    }
    return *Result();
  }

private:
  ReleaseAppend mAppend;
  AppendStep mStep;
};

AppendOutcome
AppendNow(FakeTable& aTable, std::uint64_t aAgainst, const std::string& aName)
{
  return Operator(MakeNote(aAgainst, aName)).Finish(aTable).mOutcome;
}

std::uint64_t
HeadOf(FakeTable& aTable)
{
  const auto row = aTable.Read(ReleaseHeadKey(ProductId("brotlag")));
  return row.value()
           ? ReleaseHeadFromText(row.value()->mValue).value().mNumber.Value()
           : 0;
}

bool
Holds(FakeTable& aTable, std::uint64_t aNumber, const std::string& aAccount)
{
  const auto row =
    aTable.Read(ReleaseRowKey(ProductId("brotlag"), ReleaseNumber(aNumber)));
  if (!row.value()) {
    return false;
  }
  const auto body = ReleaseBodyFromText(row.value()->mValue);
  return body.value().mState.mAccounts.contains(AccountId(aAccount));
}

} // namespace

TEST_CASE("notes are appended in order and applied once")
{
  FakeTable table;
  CHECK(AppendNow(table, 0, "a") == AppendOutcome::Applied);
  CHECK(AppendNow(table, 1, "b") == AppendOutcome::Applied);
  CHECK(AppendNow(table, 0, "a") == AppendOutcome::AlreadyApplied);
  CHECK(AppendNow(table, 1, "c") == AppendOutcome::Conflict);
  CHECK(AppendNow(table, 2, "a") == AppendOutcome::Rejected);
  CHECK(AppendNow(table, 7, "d") == AppendOutcome::Rejected);
  CHECK(HeadOf(table) == 2);
  CHECK(Holds(table, 2, "a"));
  CHECK(Holds(table, 2, "b"));
}

TEST_CASE("a note of the same id with another text is a conflict")
{
  FakeTable table;
  ReleaseNote first = MakeNote(0, "a");
  ReleaseNote second = MakeNote(0, "b");
  second.mId = first.mId;
  CHECK(Operator(first).Finish(table).mOutcome == AppendOutcome::Applied);
  CHECK(Operator(second).Finish(table).mOutcome == AppendOutcome::Conflict);
}

TEST_CASE("an append is applied under every pair of table faults")
{
  constexpr int kSteps = 6;
  const auto faults = AllOf<TableFault>();
  for (int first = 0; first < kSteps; ++first) {
    for (int second = first; second < kSteps; ++second) {
      for (const TableFault one : faults) {
        for (const TableFault two : faults) {
          CAPTURE(first);
          CAPTURE(second);
          CAPTURE(ToName(one));
          CAPTURE(ToName(two));
          FakeTable table;
          REQUIRE(AppendNow(table, 0, "a") == AppendOutcome::Applied);
          Operator op(MakeNote(1, "b"));
          for (int n = 0; op.Result() == nullptr; ++n) {
            op.Advance(table,
                       n == first    ? one
                       : n == second ? two
                                     : TableFault::None);
          }
          CHECK(op.Result()->mOutcome == AppendOutcome::Applied);
          CHECK(HeadOf(table) == 2);
          CHECK(Holds(table, 2, "b"));
        }
      }
    }
  }
}

TEST_CASE("the outcome matches the table when the table stops answering")
{
  for (int from = 0; from < 4; ++from) {
    for (const TableFault it :
         { TableFault::Down, TableFault::LostBefore, TableFault::LostAfter }) {
      CAPTURE(from);
      CAPTURE(ToName(it));
      FakeTable table;
      REQUIRE(AppendNow(table, 0, "a") == AppendOutcome::Applied);
      Operator op(MakeNote(1, "b"));
      int n = 0;
      for (; op.Result() == nullptr && n < 100; ++n) {
        op.Advance(table, n < from ? TableFault::None : it);
      }
      REQUIRE(op.Result() != nullptr);
      const AppendOutcome outcome = op.Result()->mOutcome;
      if (outcome == AppendOutcome::NotApplied) {
        CHECK(HeadOf(table) == 1);
      } else if (outcome == AppendOutcome::Applied) {
        CHECK(HeadOf(table) == 2);
      } else {
        CHECK(outcome == AppendOutcome::Unknown);
      }
      const AppendOutcome again = AppendNow(table, 1, "b");
      CHECK((again == AppendOutcome::Applied ||
             again == AppendOutcome::AlreadyApplied));
      CHECK(HeadOf(table) == 2);
    }
  }
}

// Runs two operators with every interleaving of their calls and one fault.
TEST_CASE("one of two concurrent operators wins and the other gets a conflict")
{
  constexpr unsigned kCalls = 8;
  for (unsigned order = 0; order < (1U << kCalls); ++order) {
    for (unsigned faulty = 0; faulty < kCalls; ++faulty) {
      for (const TableFault fault : AllOf<TableFault>()) {
        CAPTURE(order);
        CAPTURE(faulty);
        CAPTURE(ToName(fault));
        FakeTable table;
        Operator ops[] = { Operator(MakeNote(0, "x")),
                           Operator(MakeNote(0, "y")) };
        std::uint64_t head = 0;
        for (unsigned n = 0; n < kCalls; ++n) {
          ops[(order >> n) & 1U].Advance(
            table, n == faulty ? fault : TableFault::None);
          REQUIRE(HeadOf(table) >= head);
          head = HeadOf(table);
        }
        const bool firstWon =
          ops[0].Finish(table).mOutcome == AppendOutcome::Applied;
        const bool secondWon =
          ops[1].Finish(table).mOutcome == AppendOutcome::Applied;
        REQUIRE(firstWon != secondWon);
        const AppendOutcome loser =
          ops[firstWon ? 1 : 0].Finish(table).mOutcome;
        REQUIRE(loser == AppendOutcome::Conflict);
        REQUIRE(Holds(table, 1, "x") == firstWon);
        REQUIRE(Holds(table, 1, "y") == secondWon);
        REQUIRE(HeadOf(table) == 1);
      }
    }
  }
}
