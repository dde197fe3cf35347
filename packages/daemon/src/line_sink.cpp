#include "line_sink.h"

namespace bilberrytrail {

namespace {

constexpr Duration kWriteCheckPeriod = 100ms;

} // namespace

LineSink::LineSink(Loop& aLoop, HttpResponder& aResponder)
  : mResponder(aResponder)
  , mWritten(aLoop)
{
}

bool
LineSink::IsOpen() noexcept
{
  return mResponder.IsPeerOpen();
}

Result<void>
LineSink::Write(const HomeFrame& aFrame)
{
  Finish();
  if (mHasEnded) {
    return Fail(ErrorCode::Unavailable, "the answer has ended");
  }
  mIsWriting = true;
  mHasEnded = IsLast(aFrame.mKind);
  return WriteText(EncodeHomeFrame(aFrame) + "\n", mHasEnded);
}

void
LineSink::KeepAlive(Instant aNow)
{
  if (!mIsWriting && !mHasEnded && aNow - mWrittenAt >= kKeepAlivePeriod) {
    mIsWriting = true;
    (void)WriteText("\n", false);
  }
}

void
LineSink::Finish()
{
  while (mIsWriting) {
    (void)mWritten.Wait(kWriteCheckPeriod);
  }
}

Result<void>
LineSink::WriteText(const std::string& aText, bool aIsLast)
{
  auto result =
    aIsLast ? mResponder.EndStreamWith(aText) : mResponder.WriteChunk(aText);
  mWrittenAt = MonotonicNow();
  mIsWriting = false;
  mWritten.Notify();
  return result;
}

} // namespace bilberrytrail
