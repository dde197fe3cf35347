#include <bilberrytrail/traffic/answer_assembler.h>

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

GenerateChunk
Text(const char* aAttempt, std::uint32_t aPosition, const char* aText)
{
  return { AttemptId(aAttempt), aPosition, aText, false };
}

GenerateChunk
End(const char* aAttempt, std::uint32_t aPosition)
{
  return { AttemptId(aAttempt), aPosition, "", true };
}

} // namespace

TEST_CASE("chunk sequences give a complete, cut or corrupt answer")
{
  struct Row
  {
    std::string mName;
    std::vector<GenerateChunk> mChunks;
    AnswerState mState;
    const char* mText;
  };
  const Row rows[] = {
    { "complete",
      { Text("a", 0, "x"), Text("a", 1, "y"), End("a", 2) },
      AnswerState::Complete,
      "xy" },
    { "end chunk only", { End("a", 0) }, AnswerState::Complete, "" },
    { "no end chunk", { Text("a", 0, "x") }, AnswerState::Cut, "x" },
    { "end of another attempt",
      { Text("a", 0, "x"), End("b", 1) },
      AnswerState::Cut,
      "x" },
    { "interleaved with another attempt",
      { Text("a", 0, "x"), Text("b", 1, "!"), Text("a", 1, "y"), End("a", 2) },
      AnswerState::Complete,
      "xy" },
    { "duplicate",
      { Text("a", 0, "x"), Text("a", 0, "x"), End("a", 1) },
      AnswerState::Complete,
      "x" },
    { "duplicate position with different text",
      { Text("a", 0, "x"), Text("a", 0, "z"), End("a", 1) },
      AnswerState::Corrupt,
      "x" },
    { "gap",
      { Text("a", 0, "x"), Text("a", 2, "z"), End("a", 3) },
      AnswerState::Cut,
      "x" },
    { "gap, filled after the answer was cut",
      { Text("a", 0, "x"), Text("a", 2, "z"), Text("a", 1, "y"), End("a", 3) },
      AnswerState::Cut,
      "x" },
    { "end after a gap",
      { Text("a", 0, "x"), End("a", 5) },
      AnswerState::Cut,
      "x" },
    { "end before the last chunk",
      { Text("a", 0, "x"), Text("a", 1, "y"), End("a", 1) },
      AnswerState::Corrupt,
      "xy" },
    { "chunk after the end",
      { Text("a", 0, "x"), End("a", 1), Text("a", 1, "y") },
      AnswerState::Complete,
      "x" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    AnswerAssembler answer{ AttemptId("a") };
    for (const auto& chunk : row.mChunks) {
      answer.Accept(chunk);
    }
    answer.StreamClosed();
    CHECK(answer.State() == row.mState);
    CHECK(answer.Text() == row.mText);
    CHECK(answer.Finish().has_value() == (row.mState == AnswerState::Complete));
    CHECK(answer.Resume().has_value() == (row.mState == AnswerState::Cut));
  }
}

TEST_CASE("an answer cut at any position can be resumed to the complete text")
{
  const std::string whole = "bilberry";
  for (std::uint32_t cut = 0; cut <= whole.size(); ++cut) {
    CAPTURE(cut);
    AnswerAssembler answer{ AttemptId("a") };
    for (std::uint32_t n = 0; n < cut; ++n) {
      answer.Accept(Text("a", n, whole.substr(n, 1).c_str()));
    }
    answer.StreamClosed();
    REQUIRE(answer.Resume().has_value());
    CHECK(answer.Resume()->mPosition == cut);
    CHECK(answer.Resume()->mText == whole.substr(0, cut));
    CHECK(!answer.BeginAttempt(AttemptId("a")).has_value());
    REQUIRE(answer.BeginAttempt(AttemptId("b")).has_value());
    CHECK(answer.Accept(End("a", cut)) == ChunkVerdict::Foreign);
    for (std::uint32_t n = cut; n < whole.size(); ++n) {
      answer.Accept(Text("b", n, whole.substr(n, 1).c_str()));
      CHECK(!answer.Finish().has_value());
    }
    CHECK(answer.Accept(End("b", 8)) == ChunkVerdict::End);
    CHECK(answer.Finish().value().Text() == whole);
  }
}

TEST_CASE(
  "a resumed attempt that restarts at position 0 makes the answer corrupt")
{
  AnswerAssembler answer{ AttemptId("a") };
  answer.Accept(Text("a", 0, "x"));
  answer.StreamClosed();
  REQUIRE(answer.BeginAttempt(AttemptId("b")).has_value());
  CHECK(answer.Accept(Text("b", 0, "x")) == ChunkVerdict::Contradiction);
  CHECK(answer.State() == AnswerState::Corrupt);
}
