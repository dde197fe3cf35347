#pragma once

#include "homed_server.h"
#include "peer_channel.h"
#include "quarantine_service.h"

namespace bilberrytrail {

// Stands between one run on an engine and the receiver of its frames: lets a
// suspect wait for its turn, and tells the quarantine how the run ended before
// the receiver hears of it.
//
//   QuarantineGate gate(thread, quarantine, server, request, sink);
//   if (gate.AwaitTurn()) {
//     EngineRun(thread, server, request, gate).Execute();
//   }
class QuarantineGate final : public FrameSink
{
public:
  QuarantineGate(ThreadContext& aThread,
                 QuarantineService& aQuarantine,
                 HomedServerPtr aServer,
                 const HomeRequest& aRequest,
                 FrameSink& aSink);
  ~QuarantineGate() override;
  QuarantineGate(const QuarantineGate&) = delete;
  QuarantineGate& operator=(const QuarantineGate&) = delete;

  // Waits until the request may run on the server. Otherwise writes the frame
  // that refuses it and returns false.
  [[nodiscard]] bool AwaitTurn();

  [[nodiscard]] bool IsOpen() noexcept override { return mSink.IsOpen(); }
  Result<void> Write(const HomeFrame& aFrame) override;
  void NoteSent() override;

private:
  void Refuse(RefusalReason aReason, std::string aText, Duration aRetryAfter);
  // Looks whether the server died under the request.
  void CheckDeath();
  void EndRun(RunOutcome aEnd);

  ThreadContext& mThread;
  QuarantineService& mQuarantine;
  HomedServerPtr mServer;
  const HomeRequest& mRequest;
  FrameSink& mSink;
  QuarantineRun mRun;
  bool mHasFingerprint = false;
  bool mIsStarted = false;
  bool mIsSent = false;
};

} // namespace bilberrytrail
