#include <bilberrytrail/traffic/answer_assembler.h>

#include <string_view>

namespace bilberrytrail {

AnswerAssembler::AnswerAssembler(AttemptId aAttempt)
  : mAttempt(std::move(aAttempt))
{
}

std::uint32_t
AnswerAssembler::NextPosition() const noexcept
{
  return static_cast<std::uint32_t>(mOffsets.size());
}

std::optional<ResumePoint>
AnswerAssembler::Resume() const
{
  if (mState != AnswerState::Cut) {
    return std::nullopt;
  }
  return ResumePoint{ NextPosition(), mText };
}

Result<CompleteAnswer>
AnswerAssembler::Finish() const
{
  if (mState == AnswerState::Corrupt) {
    return Fail(ErrorCode::Corrupt,
                "The answer is corrupt: a chunk was inconsistent with the " +
                  std::to_string(NextPosition()) + " chunks before it.");
  }
  if (mState != AnswerState::Complete) {
    return Fail(ErrorCode::Unavailable,
                "The answer is incomplete: " + std::to_string(NextPosition()) +
                  " chunks received, but no end chunk.");
  }
  return CompleteAnswer(mText);
}

ChunkVerdict
AnswerAssembler::Accept(const GenerateChunk& aChunk)
{
  if (mState != AnswerState::Open || aChunk.mAttempt != mAttempt) {
    return ChunkVerdict::Foreign;
  }
  if (aChunk.mPosition > NextPosition()) {
    return SetState(AnswerState::Cut, ChunkVerdict::Gap);
  }
  if (aChunk.mEnd) {
    return AcceptEnd(aChunk);
  }
  if (aChunk.mPosition < NextPosition()) {
    return AcceptRepeat(aChunk);
  }
  mOffsets.push_back(mText.size());
  mText += aChunk.mText;
  return ChunkVerdict::Appended;
}

void
AnswerAssembler::StreamClosed() noexcept
{
  if (mState == AnswerState::Open) {
    mState = AnswerState::Cut;
  }
}

Result<void>
AnswerAssembler::BeginAttempt(AttemptId aAttempt)
{
  if (mState != AnswerState::Cut) {
    return Fail(ErrorCode::Conflict,
                "Cannot resume the answer: its state is " +
                  std::string(ToName(mState)) + ", expected cut.");
  }
  if (aAttempt == mAttempt) {
    return Fail(ErrorCode::Conflict,
                "Cannot resume the answer: the new attempt has the ID of the "
                "current one.");
  }
  mAttempt = std::move(aAttempt);
  mStartPosition = NextPosition();
  mState = AnswerState::Open;
  return Ok();
}

ChunkVerdict
AnswerAssembler::AcceptEnd(const GenerateChunk& aChunk)
{
  if (aChunk.mPosition < NextPosition() || !aChunk.mText.empty()) {
    return SetState(AnswerState::Corrupt, ChunkVerdict::Contradiction);
  }
  return SetState(AnswerState::Complete, ChunkVerdict::End);
}

ChunkVerdict
AnswerAssembler::AcceptRepeat(const GenerateChunk& aChunk)
{
  const std::size_t n = aChunk.mPosition;
  const auto begin = mOffsets[n];
  const auto end = n + 1 < mOffsets.size() ? mOffsets[n + 1] : mText.size();
  const auto known = std::string_view(mText).substr(begin, end - begin);
  if (aChunk.mPosition < mStartPosition || known != aChunk.mText) {
    return SetState(AnswerState::Corrupt, ChunkVerdict::Contradiction);
  }
  return ChunkVerdict::Duplicate;
}

ChunkVerdict
AnswerAssembler::SetState(AnswerState aState, ChunkVerdict aVerdict) noexcept
{
  mState = aState;
  return aVerdict;
}

} // namespace bilberrytrail
