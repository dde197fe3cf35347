#include "fake_table.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/release/release_follower.h>
#include <bilberrytrail/release/release_log.h>

#include <doctest/doctest.h>

#include <functional>

using namespace bilberrytrail;

namespace {

const ProductId kProduct("brotlag");
constexpr FollowerSettings kSettings;

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

// A table with a release log to which notes are appended like an operator's.
class Log
{
public:
  void AppendNext()
  {
    const std::string number = std::to_string(++mNewest);
    auto note = CheckNote("[release]\nproduct = brotlag\nagainst = 0\n"
                          "[add account account-" +
                            number + "]\ntoken_sha256 = " + Sha256Hex(number) +
                            "\nrequests_per_second = 0.1\n"
                            "tokens_per_second = 8000\nconcurrent = 4\n",
                          "note");
    REQUIRE(note);
    note.value().mAgainst = ReleaseNumber(mNewest - 1);
    note.value().mId = "note-" + number;
    ReleaseAppend append(note.value());
    AppendStep step = append.Start();
    while (!std::holds_alternative<AppendResult>(step)) {
      if (const auto* read = std::get_if<ReadRowStep>(&step)) {
        step = append.OnRead(mTable.Read(read->mKey));
      } else {
        step =
          append.OnCommit(mTable.Commit(std::get<CommitStep>(step).mWrites));
      }
    }
    REQUIRE(std::get<AppendResult>(step).mOutcome == AppendOutcome::Applied);
  }

  ReleaseHead Head()
  {
    return ReleaseHeadFromText(mTable.mRows[ReleaseHeadKey(kProduct)].mValue)
      .value();
  }

  std::string& Row(const std::string& aKey)
  {
    REQUIRE(mTable.mRows.contains(aKey));
    return mTable.mRows[aKey].mValue;
  }

  FakeTable mTable;
  std::uint64_t mNewest = 0;
};

// A follower whose fetches are answered from the log at once. Counts the
// bodies and notes that it reads.
class Reader
{
public:
  explicit Reader(Log& aLog)
    : mLog(aLog)
    , mFollower(kSettings)
  {
  }

  void Scan(Duration aTime)
  {
    Perform(mFollower.OnHeads({ mLog.Head() }, At(aTime)), aTime);
  }

  [[nodiscard]] std::uint64_t InForce() const
  {
    const auto body = mFollower.InForce(kProduct);
    return body == nullptr ? 0 : body->mState.mNumber.Value();
  }

  void Perform(const FollowerActions& aActions, Duration aTime)
  {
    for (const auto& action : aActions) {
      if (const auto* fetch = std::get_if<FetchRelease>(&action)) {
        ++mBodies;
        const auto& head = fetch->mHead;
        Perform(
          mFollower.OnBody(head,
                           mLog.Row(ReleaseRowKey(head.mProduct, head.mNumber)),
                           At(aTime)),
          aTime);
      } else if (const auto* notes = std::get_if<FetchNotes>(&action)) {
        ReadNotes(*notes, aTime);
      } else if (const auto* inForce = std::get_if<ReleaseInForce>(&action)) {
        CHECK(Sha256Hex(ToText(*inForce->mBody)) == inForce->mHead.mHash);
      }
    }
  }

  int mBodies = 0;
  int mNotes = 0;

private:
  void ReadNotes(const FetchNotes& aFetch, Duration aTime)
  {
    std::vector<NoteRow> rows;
    for (auto n = aFetch.mFirst; n <= aFetch.mHead.mNumber; n = n.Next()) {
      ++mNotes;
      const auto row = mLog.mTable.Read(NoteRowKey(kProduct, n)).value();
      const auto note = row ? NoteRowFromText(row->mValue)
                            : Result<NoteRow>(Fail(ErrorCode::NotFound, ""));
      if (!note) {
        break;
      }
      rows.push_back(note.value());
    }
    Perform(mFollower.OnNotes(aFetch, rows, At(aTime)), aTime);
  }

  Log& mLog;
  ReleaseFollower mFollower;
};

} // namespace

TEST_CASE("a follower applies single notes and reads only the first body")
{
  Log log;
  log.AppendNext();
  Reader reader(log);
  reader.Scan(0s);
  CHECK(reader.mBodies == 1);
  for (int n = 1; n <= 30; ++n) {
    log.AppendNext();
    reader.Scan(n * 1s);
    CHECK(reader.InForce() == log.mNewest);
  }
  CHECK(reader.mBodies == 1);
  CHECK(reader.mNotes == 30);
}

TEST_CASE("up to mMaxNotes missed notes are applied, more need the whole body")
{
  for (const std::uint64_t missed :
       { std::uint64_t{ 2 }, kSettings.mMaxNotes, kSettings.mMaxNotes + 1 }) {
    CAPTURE(missed);
    Log log;
    log.AppendNext();
    Reader reader(log);
    reader.Scan(0s);
    for (std::uint64_t n = 0; n < missed; ++n) {
      log.AppendNext();
    }
    reader.Scan(1s);
    CHECK(reader.InForce() == log.mNewest);
    CHECK(reader.mBodies == (missed > kSettings.mMaxNotes ? 2 : 1));
  }
}

TEST_CASE("the whole body is read when a note row is missing or does not match")
{
  struct Row
  {
    const char* mName;
    std::function<void(Log&)> mCorrupt;
  };
  const std::string key2 = NoteRowKey(kProduct, ReleaseNumber(2));
  const std::string key3 = NoteRowKey(kProduct, ReleaseNumber(3));
  const Row rows[] = {
    { "missing", [&](Log& aLog) { aLog.mTable.mRows.erase(key2); } },
    { "last one missing", [&](Log& aLog) { aLog.mTable.mRows.erase(key3); } },
    { "malformed", [&](Log& aLog) { aLog.Row(key2) = "{"; } },
    { "row of another note",
      [&](Log& aLog) { aLog.Row(key2) = aLog.Row(key3); } },
    { "swapped",
      [&](Log& aLog) { std::swap(aLog.Row(key2), aLog.Row(key3)); } },
    { "changed id",
      [&](Log& aLog) {
        auto note = NoteRowFromText(aLog.Row(key3)).value();
        note.mNoteId = "other";
        aLog.Row(key3) = ToText(note);
      } },
    { "changed limit",
      [&](Log& aLog) {
        auto note = NoteRowFromText(aLog.Row(key2)).value();
        const auto at = note.mNoteText.find("8000");
        note.mNoteText.replace(at, 4, "9000");
        aLog.Row(key2) = ToText(note);
      } },
  };
  for (const auto& row : rows) {
    CAPTURE(std::string(row.mName));
    Log log;
    log.AppendNext();
    Reader reader(log);
    reader.Scan(0s);
    log.AppendNext();
    log.AppendNext();
    row.mCorrupt(log);
    reader.Scan(1s);
    CHECK(reader.InForce() == 3);
    CHECK(reader.mBodies == 2);
    log.AppendNext();
    reader.Scan(2s);
    CHECK(reader.InForce() == 4);
    CHECK(reader.mBodies == 2);
  }
}

TEST_CASE("late notes never replace a newer release")
{
  Log log;
  log.AppendNext();
  ReleaseFollower follower(kSettings);
  const auto first = log.Head();
  (void)follower.OnHeads({ first }, At(0s));
  (void)follower.OnBody(
    first, log.Row(ReleaseRowKey(kProduct, first.mNumber)), At(0s));
  log.AppendNext();
  const auto second = log.Head();
  const auto fetch = follower.OnHeads({ second }, At(1s));
  const FetchNotes* notes = nullptr;
  for (const auto& it : fetch) {
    notes = std::get_if<FetchNotes>(&it);
  }
  REQUIRE(notes != nullptr);
  const NoteRow row =
    NoteRowFromText(log.Row(NoteRowKey(kProduct, second.mNumber))).value();
  log.AppendNext();
  const auto third = log.Head();
  (void)follower.OnHeads({ third }, At(2s));
  REQUIRE_FALSE(
    follower
      .OnBody(third, log.Row(ReleaseRowKey(kProduct, third.mNumber)), At(2s))
      .empty());
  CHECK(follower.OnNotes(*notes, { row }, At(3s)).empty());
  CHECK(follower.InForce(kProduct)->mState.mNumber == ReleaseNumber(3));
}
