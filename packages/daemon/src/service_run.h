#pragma once

#include "home_message.h"
#include "homed_server.h"
#include "thread_context.h"

#include <bilberrytrail/orders/claim.h>

#include <memory>

namespace bilberrytrail {

// Runs one call of a plain service at the server's home. A call that must not
// be repeated is claimed in the table right before its first byte.
class ServiceRun
{
public:
  ServiceRun(ThreadContext& aThread,
             HomedServerPtr aServer,
             const HomeRequest& aRequest,
             FrameSink& aSink);

  // Runs to the end on the calling fiber.
  void Execute();

private:
  [[nodiscard]] bool AwaitGrant();
  void InvokeRepeatable();
  void InvokeClaimed();
  // Carries out the claim's actions until none is left.
  void Perform(ClaimedCall& aCall, ClaimActions aActions);
  [[nodiscard]] ClaimActions PerformOne(ClaimedCall& aCall,
                                        const ClaimAction& aAction);
  [[nodiscard]] ClaimActions Invoke(ClaimedCall& aCall);
  void Answer(const ClaimAction& aAction);
  [[nodiscard]] CallResult<ServiceResponse> CallService();
  void EndNotRun(RefusalReason aReason,
                 std::string aText,
                 Duration aRetryAfter = {});
  void EndBroken(RefusalReason aReason, std::string aText);
  void EndAnswered(ServiceResponse aAnswer);

  ThreadContext& mThread;
  HomedServerPtr mServer;
  const HomeRequest& mRequest;
  FrameSink& mSink;
  Instant mDeadline;
  std::unique_ptr<QueuePlace> mPlace;
  // The service said that it did not run the call.
  bool mIsRefused = false;
};

} // namespace bilberrytrail
