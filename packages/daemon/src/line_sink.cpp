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
  mIsWriting = true;
  return WriteText(EncodeHomeFrame(aFrame) + "\n");
}

void
LineSink::KeepAlive(Instant aNow)
{
  if (!mIsWriting && aNow - mWrittenAt >= kKeepAlivePeriod) {
    mIsWriting = true;
    (void)WriteText("\n");
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
LineSink::WriteText(const std::string& aText)
{
  auto result = mResponder.WriteChunk(aText);
  mWrittenAt = MonotonicNow();
  mIsWriting = false;
  mWritten.Notify();
  return result;
}

} // namespace bilberrytrail
