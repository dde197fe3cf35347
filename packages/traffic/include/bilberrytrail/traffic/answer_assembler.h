#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/base/error.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// State of an answer that is being assembled.
enum class AnswerState : unsigned char
{
  // More chunks are expected.
  Open,
  // The end chunk arrived and no position is missing.
  Complete,
  // The stream stopped before the end; it can be resumed.
  Cut,
  // Two chunks contradict each other; the answer must not be used.
  Corrupt
};

template<>
struct EnumNames<AnswerState>
{
  static constexpr std::array<std::string_view, 4> kNames{ "open",
                                                           "complete",
                                                           "cut",
                                                           "corrupt" };
};

// Result of accepting one chunk.
enum class ChunkVerdict : unsigned char
{
  // The text is new and was appended.
  Appended,
  // The end chunk, with no position missing.
  End,
  // Same position and text as before; dropped.
  Duplicate,
  // The chunk belongs to another attempt, or came after the stream was cut or
  // completed; dropped.
  Foreign,
  // Positions before the chunk are missing; the answer is cut.
  Gap,
  // The chunk contradicts an earlier one; the answer is corrupt.
  Contradiction
};

template<>
struct EnumNames<ChunkVerdict>
{
  static constexpr std::array<std::string_view, 6> kNames{
    "appended", "end", "duplicate", "foreign", "gap", "contradiction"
  };
};

// A complete answer. Only AnswerAssembler::Finish creates one.
class CompleteAnswer
{
public:
  [[nodiscard]] const std::string& Text() const noexcept { return mText; }

private:
  friend class AnswerAssembler;
  explicit CompleteAnswer(std::string aText)
    : mText(std::move(aText))
  {
  }

  std::string mText;
};

// Where a new attempt continues a cut answer.
struct ResumePoint
{
  std::uint32_t mPosition = 0;
  // The text before mPosition.
  std::string mText;
};

// Assembles the chunks of one answer across attempts. Each chunk takes one
// position; the end chunk carries the position after the last one.
//
//   AnswerAssembler answer(attempt);
//   const auto verdict = answer.Accept(chunk);
//   if (answer.State() == AnswerState::Cut) {
//     request.mStartPosition = answer.Resume()->mPosition;
//     answer.BeginAttempt(nextAttempt);
//   }
class AnswerAssembler
{
public:
  explicit AnswerAssembler(AttemptId aAttempt);

  [[nodiscard]] AnswerState State() const noexcept { return mState; }
  [[nodiscard]] const AttemptId& Attempt() const noexcept { return mAttempt; }
  // Position of the next expected chunk.
  [[nodiscard]] std::uint32_t NextPosition() const noexcept;
  // The text so far, in order and without gaps.
  [[nodiscard]] const std::string& Text() const noexcept { return mText; }
  // Returns where to resume; nullopt unless the answer is cut.
  [[nodiscard]] std::optional<ResumePoint> Resume() const;
  // Returns the complete answer. Fails with Unavailable when it is open or cut,
  // and with Corrupt when it is corrupt.
  [[nodiscard]] Result<CompleteAnswer> Finish() const;

  // Processes a received chunk.
  ChunkVerdict Accept(const GenerateChunk& aChunk);
  // Records that the attempt's stream ended, for any reason. An open answer
  // becomes cut.
  void StreamClosed() noexcept;
  // Continues a cut answer at NextPosition() with a new attempt. Fails with
  // Conflict when the answer is not cut or aAttempt is the current attempt.
  [[nodiscard]] Result<void> BeginAttempt(AttemptId aAttempt);

private:
  ChunkVerdict AcceptEnd(const GenerateChunk& aChunk);
  ChunkVerdict AcceptRepeat(const GenerateChunk& aChunk);
  ChunkVerdict SetState(AnswerState aState, ChunkVerdict aVerdict) noexcept;

  AttemptId mAttempt;
  AnswerState mState = AnswerState::Open;
  std::string mText;
  // Offset in mText where the chunk of each position starts.
  std::vector<std::size_t> mOffsets;
  // First position that the current attempt may send.
  std::uint32_t mStartPosition = 0;
};

} // namespace bilberrytrail
