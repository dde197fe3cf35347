#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/site_config.h>
#include <bilberrytrail/runtime/http.h>
#include <bilberrytrail/traffic/refusal.h>

#include <functional>
#include <string_view>

namespace bilberrytrail {

// A part of a prompt. Parts with the same id have the same tokens.
struct PromptPart
{
  std::string mId;
  std::uint64_t mTokens = 0;
};

// A prompt as a list of parts; all parts but the last may occur in other
// prompts too.
struct Prompt
{
  ModelId mModel;
  std::vector<PromptPart> mParts;
  std::uint64_t mInputTokens = 0;
  std::uint64_t mMaxOutputTokens = 0;

  // Returns the last part that other prompts may have too; null when there is
  // none.
  [[nodiscard]] const PromptPart* LastSharedPart() const noexcept
  {
    return mParts.size() < 2 ? nullptr : &mParts[mParts.size() - 2];
  }
  // Returns the number of tokens in all parts but the last.
  [[nodiscard]] std::uint64_t SharedTokens() const noexcept;
};

// One request of a caller: the fields that this daemon decides by, and the
// rest, which it passes on unread.
struct CallerRequest
{
  // Unique among all attempts of all callers.
  AttemptId mId;
  std::string mHost;
  std::string mKey;
  // Time that the caller waits for the answer; empty when it named none.
  std::optional<Duration> mWaitLimit;
  // Set when the request carries a prompt.
  std::optional<Prompt> mPrompt;
  // Id of the last event that the caller received of a stream that was cut;
  // empty for none.
  std::string mResumeAfter;
  // Method, target, and the end-to-end headers except those that this system
  // sets itself; without the body.
  HttpRequest mPassedOn;
  // Must outlive the handling of the request.
  std::string_view mBody;
};

// The head of an answer, with the end-to-end headers to pass on.
struct AnswerHead
{
  unsigned mStatus = 0;
  HttpHeaders mHeaders;
};

// Receives the answer to one request: Refuse, or SendWhole, or Begin, any
// number of Write, and then End or Cut. Functions that return a result fail
// when the caller has left.
class CallerSink
{
public:
  virtual ~CallerSink() = default;

  // Sets the function that is called, at most once, when the caller leaves.
  virtual void OnCallerGone(const std::function<void()>& aGone) = 0;
  // Checks whether the caller has left. On a VM that is short of processor time
  // the call of OnCallerGone may be queued for long.
  [[nodiscard]] virtual bool HasCallerLeft() = 0;
  // Refuses the request.
  virtual void Refuse(const Refusal& aRefusal) = 0;
  // Sends a complete answer.
  virtual Result<void> SendWhole(AnswerHead aHead, std::string aBody) = 0;
  // Begins an answer of unknown length; its head is sent with the first bytes.
  virtual Result<void> Begin(AnswerHead aHead) = 0;
  virtual Result<void> Write(std::string_view aBytes) = 0;
  virtual Result<void> End() = 0;
  // Aborts an answer so that the caller sees that it is incomplete.
  virtual void Cut() = 0;
};

} // namespace bilberrytrail
