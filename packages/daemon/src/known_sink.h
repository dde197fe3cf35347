#pragma once

#include "home_message.h"
#include "request_context.h"

namespace bilberrytrail {

// Passes the frames of a home on, and remembers what the home says of its
// server for the requests that follow.
class KnownSink final : public FrameSink
{
public:
  // Takes the frames of one attempt, which goes out as the request.
  KnownSink(RequestContext& aContext,
            const HomeRequest& aRequest,
            FrameSink& aSink);

  [[nodiscard]] bool IsOpen() noexcept override { return mSink.IsOpen(); }

  Result<void> Write(const HomeFrame& aFrame) override;
  // The attempt has ended: when its home did not say how, nothing that it said
  // before is used any more.
  void Finish();

private:
  RequestContext& mContext;
  FrameSink& mSink;
  ServerId mServer;
  bool mIsUnasked;
  bool mHasEnded = false;
};

} // namespace bilberrytrail
