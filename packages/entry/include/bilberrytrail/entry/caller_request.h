#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/site_config.h>
#include <bilberrytrail/runtime/http.h>
#include <bilberrytrail/traffic/refusal.h>

#include <functional>

namespace bilberrytrail {

// A part of a prompt. Parts with one id have the same tokens.
struct PromptPart
{
  std::string mId;
  std::uint64_t mTokens = 0;
};

// A prompt as a list of parts; all but the last may be shared with others.
struct Prompt
{
  ModelId mModel;
  std::vector<PromptPart> mParts;
  std::uint64_t mInputTokens = 0;
  std::uint64_t mMaxOutputTokens = 0;

  // Returns the last part that other prompts may have too; null when none.
  [[nodiscard]] const PromptPart* LastSharedPart() const noexcept
  {
    return mParts.size() < 2 ? nullptr : &mParts[mParts.size() - 2];
  }
  // Returns the tokens of all parts but the last.
  [[nodiscard]] std::uint64_t SharedTokens() const noexcept;
};

// One request of a caller: what this daemon decides by, and what it passes on
// unread.
struct CallerRequest
{
  // Differs between all attempts of all callers.
  AttemptId mId;
  std::string mHost;
  std::string mKey;
  // Time that the caller waits for the answer; none when it did not say.
  std::optional<Duration> mWaitLimit;
  // Set when the request carries a prompt.
  std::optional<Prompt> mPrompt;
  // Last event that the caller has of a stream that was cut; empty for none.
  std::string mResumeAfter;
  // Method, target, end-to-end headers that are not this system's to set, and
  // body.
  HttpRequest mPassedOn;
};

// The head of an answer, with the end-to-end headers to pass on.
struct AnswerHead
{
  unsigned mStatus = 0;
  HttpHeaders mHeaders;
};

// Takes the answer to one request: Refuse, or SendWhole, or Begin, Write...
// and then End or Cut. Functions with a result fail when the caller has gone.
class CallerSink
{
public:
  virtual ~CallerSink() = default;

  // Calls the function at most once when the caller leaves.
  virtual void OnCallerGone(const std::function<void()>& aGone) = 0;
  // Looks whether the caller has left. On a VM that is short of processor time
  // the news of OnCallerGone may wait behind much else.
  [[nodiscard]] virtual bool HasCallerLeft() = 0;
  // Refuses the request.
  virtual void Refuse(const Refusal& aRefusal) = 0;
  // Sends a whole answer.
  virtual Result<void> SendWhole(AnswerHead aHead, std::string aBody) = 0;
  // Begins an answer whose length is not known; its head goes out with the
  // first bytes.
  virtual Result<void> Begin(AnswerHead aHead) = 0;
  virtual Result<void> Write(std::string_view aBytes) = 0;
  virtual Result<void> End() = 0;
  // Ends an answer so that the caller sees that its rest is missing.
  virtual void Cut() = 0;
};

} // namespace bilberrytrail
