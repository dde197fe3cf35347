#pragma once

#include "peer_channel.h"

#include <functional>
#include <utility>

namespace bilberrytrail {

// Adds to the last frame of an answer what its home says of the server then.
class ReportSink final : public FrameSink
{
public:
  using Reporter = std::function<ServerEstimate()>;

  ReportSink(Reporter aReport, FrameSink& aSink)
    : mReport(std::move(aReport))
    , mSink(aSink)
  {
  }

  [[nodiscard]] bool IsOpen() noexcept override { return mSink.IsOpen(); }
  void NoteSent() override { mSink.NoteSent(); }

  Result<void> Write(const HomeFrame& aFrame) override
  {
    if (!IsLast(aFrame.mKind)) {
      return mSink.Write(aFrame);
    }
    HomeFrame last = aFrame;
    last.mEstimate = mReport();
    return mSink.Write(last);
  }

private:
  Reporter mReport;
  FrameSink& mSink;
};

} // namespace bilberrytrail
