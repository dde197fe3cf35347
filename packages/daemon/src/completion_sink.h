#pragma once

#include "answer_writer.h"
#include "dispatch.h"

#include <bilberrytrail/traffic/answer_assembler.h>

namespace bilberrytrail {

// Takes the frames of one attempt: keeps the ledger and the answer, and
// writes the answer to the caller.
class CompletionSink final : public FrameSink
{
public:
  CompletionSink(RequestContext& aContext,
                 AnswerAssembler& aAnswer,
                 AnswerWriter& aWriter,
                 AttemptId aAttempt)
    : mContext(aContext)
    , mAnswer(aAnswer)
    , mWriter(aWriter)
    , mAttempt(std::move(aAttempt))
  {
  }

  [[nodiscard]] bool IsCallerGone() const noexcept { return mIsCallerGone; }
  [[nodiscard]] const AttemptEnd& End() const noexcept { return mEnd; }
  // The home never saw the attempt.
  void NoteNotSent();

  [[nodiscard]] bool IsOpen() noexcept override
  {
    return !mIsCallerGone && mContext.mResponder.IsPeerOpen();
  }
  Result<void> Write(const HomeFrame& aFrame) override;

private:
  Result<void> TakeHead(const HomeFrame& aFrame);
  Result<void> TakeChunk(const GenerateChunk& aChunk);

  RequestContext& mContext;
  AnswerAssembler& mAnswer;
  AnswerWriter& mWriter;
  AttemptId mAttempt;
  AttemptEnd mEnd;
  bool mIsCallerGone = false;
};

} // namespace bilberrytrail
