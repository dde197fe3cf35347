#pragma once

#include "home_message.h"
#include "homed_server.h"
#include "prefix_import.h"
#include "thread_context.h"

#include <bilberrytrail/traffic/answer_assembler.h>

#include <memory>

namespace bilberrytrail {

// Runs one request on an engine at the server's home: waits in the queue,
// dispatches, relays the answer, and pauses and resumes when the queue says so.
class EngineRun
{
public:
  EngineRun(ThreadContext& aThread,
            KeptCache& aCache,
            HomedServerPtr aServer,
            const HomeRequest& aRequest,
            FrameSink& aSink);

  // Runs to the end on the calling fiber; the last frame is End, NotRun or
  // Broken unless the sink has closed.
  void Execute();

private:
  enum class StepEnd : unsigned char
  {
    Finished,
    Paused
  };

  [[nodiscard]] QueueEntry MakeEntry() const;
  [[nodiscard]] bool AwaitGrant();
  [[nodiscard]] bool AwaitResume();
  [[nodiscard]] StepEnd RunAttempt();
  [[nodiscard]] StepEnd Relay(GenerateStream& aStream, Instant aSentAt);
  [[nodiscard]] GenerateRequest NextAttempt() const;
  // Has the engine stop when the receiver of the answer goes before the engine
  // has sent anything.
  [[nodiscard]] RunWatch::Guard WatchReceiver();
  [[nodiscard]] bool RelayChunk(const GenerateChunk& aChunk);
  void Learn(const GenerateHead& aHead, Instant aSentAt);
  // Returns true when the queue wants the request off the server.
  [[nodiscard]] bool IsPauseWanted();
  void EndNotRun(RefusalReason aReason,
                 std::string aText,
                 Duration aRetryAfter = {});
  void EndBroken(RefusalReason aReason, std::string aText);
  // Ends the request when the queue refused it; returns whether it did.
  template<class Decision>
  [[nodiscard]] bool EndIfRefused(const Decision& aDecision)
  {
    const auto* refusal = std::get_if<RefuseAction>(&aDecision);
    if (refusal != nullptr) {
      EndNotRun(refusal->mReason,
                "refused by the server's queue",
                refusal->mRetryAfter);
    }
    return refusal != nullptr;
  }

  ThreadContext& mThread;
  HomedServerPtr mServer;
  const HomeRequest& mRequest;
  FrameSink& mSink;
  Instant mDeadline;
  std::unique_ptr<QueuePlace> mPlace;
  PrefixImport mPrefix;
  AnswerAssembler mAnswer;
  bool mAccepted = false;
  Instant mFirstTokenAt{};
  std::uint32_t mTokens = 0;
};

} // namespace bilberrytrail
