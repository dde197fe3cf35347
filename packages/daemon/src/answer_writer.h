#pragma once

#include "completion_event.h"
#include "request_context.h"

#include <string>
#include <string_view>

namespace bilberrytrail {

// Writes the answer of a completion to its caller, as server-sent events or
// as one JSON object.
class AnswerWriter
{
public:
  AnswerWriter(RequestContext& aContext, std::string aId);

  // Returns true once part of the answer has been delivered.
  [[nodiscard]] bool HasBegun() const noexcept;

  // Takes the next piece of text. Fails with Unavailable when the caller has
  // gone.
  Result<void> Append(std::string_view aText);
  // Ends the answer; aTokens is its number of pieces.
  Result<void> Finish(std::string_view aWholeText, std::uint32_t aTokens);
  // Tells the caller that the answer ends here incomplete.
  void Break(const Refusal& aRefusal);

private:
  // Begins a stream; its head goes out with the first event.
  Result<void> Begin();

  RequestContext& mContext;
  std::string mId;
  CompletionEvent mEvent;
  bool mBegun = false;
};

// Sends a refusal as application/problem+json with Retry-After.
void
SendRefusal(HttpResponder& aResponder, const Refusal& aRefusal);

} // namespace bilberrytrail
