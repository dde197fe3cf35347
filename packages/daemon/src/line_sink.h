#pragma once

#include "peer_channel.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

namespace bilberrytrail {

// Writes frames as lines of a chunked response, and blank lines while there
// is none, so that the reader can tell a long wait from a lost home. The head
// of the response goes out with the first of them, and the end with the last
// frame.
class LineSink final : public FrameSink
{
public:
  LineSink(Loop& aLoop, HttpResponder& aResponder);

  [[nodiscard]] bool IsOpen() noexcept override;

  Result<void> Write(const HomeFrame& aFrame) override;
  // Writes a blank line when nothing was written yet, or nothing for the
  // period. Called on another fiber than Write, several times a second.
  void KeepAlive(Instant aNow);
  // Waits until a blank line under way is written. Call before the sink goes.
  void Finish();
  // Returns whether the last frame has ended the response.
  [[nodiscard]] bool HasEnded() const noexcept { return mHasEnded; }

private:
  Result<void> WriteText(const std::string& aText, bool aIsLast);

  HttpResponder& mResponder;
  // Before the first write long ago.
  Instant mWrittenAt{};
  bool mHasEnded = false;
  // One fiber at a time may write; the other one waits.
  bool mIsWriting = false;
  Event mWritten;
};

} // namespace bilberrytrail
