#pragma once

#include "common/json_server.h"
#include "engine/answer_text.h"
#include "engine/engine_state.h"

#include <bilberrytrail/backend/engine.h>

#include <memory>
#include <string>
#include <unordered_map>

namespace bilberrytrail::standins {

// Runs attempts to generate: admission to a slot, prefill, decode.
class AttemptRunner
{
public:
  explicit AttemptRunner(EngineContext& aContext)
    : mContext(aContext)
  {
  }

  // Runs one attempt to its end and writes its answer.
  void Run(const GenerateRequest& aRequest, HttpResponder& aResponder);
  // Stops an attempt, if it is known.
  void Cancel(const AttemptId& aAttempt);

private:
  struct Attempt
  {
    explicit Attempt(Loop& aLoop)
      : mAdmitted(aLoop)
    {
    }

    Event mAdmitted;
    bool mHasSlot = false;
    bool mCancelled = false;
  };

  // Returns why the attempt is refused before running, if it is.
  [[nodiscard]] std::optional<HttpResponse> Refusal(
    const GenerateRequest& aRequest,
    const Answer& aAnswer) const;
  [[nodiscard]] bool AwaitSlot(const GenerateRequest& aRequest,
                               Attempt& aAttempt,
                               HttpResponder& aResponder);
  void AdmitWaiting();
  void Generate(const GenerateRequest& aRequest,
                const Answer& aAnswer,
                Attempt& aAttempt,
                HttpResponder& aResponder);
  // Returns the prompt tokens whose KV cache is reused.
  [[nodiscard]] std::uint32_t UseCache(const GenerateRequest& aRequest);
  [[nodiscard]] bool UseBlock(const GenerateRequest& aRequest,
                              std::size_t aIndex);
  [[nodiscard]] bool Prefill(std::uint32_t aTokens, const Attempt& aAttempt);
  void KeepBlocks(const GenerateRequest& aRequest);
  void Decode(const GenerateRequest& aRequest,
              const Answer& aAnswer,
              const Attempt& aAttempt,
              HttpResponder& aResponder);
  [[nodiscard]] bool WriteChunk(const GenerateChunk& aChunk,
                                HttpResponder& aResponder);

  EngineContext& mContext;
  std::unordered_map<SlotQueue::Ticket, std::shared_ptr<Attempt>> mWaiting;
  std::unordered_map<AttemptId, std::shared_ptr<Attempt>> mAttempts;
};

} // namespace bilberrytrail::standins
