#include "completion_sink.h"

namespace bilberrytrail {

void
CompletionSink::NoteNotSent()
{
  mEnd.TakeUnreachable(mContext.mLedger.MarkRejected(mAttempt).has_value());
}

Result<void>
CompletionSink::Write(const HomeFrame& aFrame)
{
  if (aFrame.mAttempt != mAttempt) {
    return Ok();
  }
  switch (aFrame.mKind) {
    case FrameKind::Head:
      return TakeHead(aFrame);
    case FrameKind::Chunk:
      return TakeChunk({ mAttempt, aFrame.mPosition, aFrame.mText, false });
    case FrameKind::End:
      return TakeChunk({ mAttempt, aFrame.mPosition, {}, true });
    case FrameKind::NotRun:
      mEnd.mNotRun = mContext.mLedger.MarkRejected(mAttempt).has_value();
      [[fallthrough]];
    case FrameKind::Broken:
      mEnd.Take(aFrame);
      return Ok();
    case FrameKind::Answer:
      return Fail(ErrorCode::Corrupt, "unexpected frame");
  }
  return Ok();
}

Result<void>
CompletionSink::TakeHead(const HomeFrame& aFrame)
{
  if (aFrame.mHead.mVersion != mContext.mVersion) {
    return Fail(ErrorCode::Corrupt, "another weight version answered");
  }
  return mContext.mLedger.MarkAccepted(mAttempt);
}

Result<void>
CompletionSink::TakeChunk(const GenerateChunk& aChunk)
{
  switch (mAnswer.Accept(aChunk)) {
    case ChunkVerdict::Appended:
      if (auto ok = mWriter.Append(aChunk.mText); !ok) {
        mIsCallerGone = true;
        return ok;
      }
      return Ok();
    case ChunkVerdict::End:
      return mContext.mLedger.MarkFinished(mAttempt);
    case ChunkVerdict::Duplicate:
    case ChunkVerdict::Foreign:
      return Ok();
    case ChunkVerdict::Gap:
    case ChunkVerdict::Contradiction:
      return Fail(ErrorCode::Corrupt, "the answer has a gap");
  }
  return Ok();
}

} // namespace bilberrytrail
