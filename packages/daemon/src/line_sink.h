#pragma once

#include "peer_channel.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

namespace bilberrytrail {

// Writes frames as lines of a chunked response, and blank lines while there
// is none, so that the reader can tell a long wait from a lost home.
class LineSink final : public FrameSink
{
public:
  LineSink(Loop& aLoop, HttpResponder& aResponder);

  [[nodiscard]] bool IsOpen() noexcept override;

  Result<void> Write(const HomeFrame& aFrame) override;
  // Writes a blank line when nothing was written for the period. Called on
  // another fiber than Write.
  void KeepAlive(Instant aNow);
  // Waits until a blank line under way is written. Call before the sink goes.
  void Finish();

private:
  Result<void> WriteText(const std::string& aText);

  HttpResponder& mResponder;
  Instant mWrittenAt = MonotonicNow();
  // One fiber at a time may write; the other one waits.
  bool mIsWriting = false;
  Event mWritten;
};

} // namespace bilberrytrail
