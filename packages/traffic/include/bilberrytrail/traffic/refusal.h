#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/traffic/attempt_ledger.h>

#include <optional>
#include <string>

namespace bilberrytrail {

// What a refusal says about whether the request ran.
enum class Disposition : unsigned char
{
  // It did not run and will not.
  NotRun,
  // It may have run.
  Unknown,
  // It ran, and only part of the answer was delivered.
  Incomplete
};

template<>
struct EnumNames<Disposition>
{
  static constexpr std::array<std::string_view, 3> kNames{ "not_run",
                                                           "unknown",
                                                           "incomplete" };
};

// Why a request is refused.
enum class RefusalReason : unsigned char
{
  InvalidRequest,
  Unauthorized,
  Conflict,
  Quarantined,
  AccountLimit,
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed,
  Draining,
  NoServer,
  ServerFailed,
  AnswerCut,
  PlatformUnavailable,
  NoRoute
};

template<>
struct EnumNames<RefusalReason>
{
  static constexpr std::array<std::string_view, 14> kNames{
    "invalid_request",
    "unauthorized",
    "conflict",
    "quarantined",
    "account_limit",
    "queue_full",
    "deadline_too_short",
    "deadline_passed",
    "draining",
    "no_server",
    "server_failed",
    "answer_cut",
    "platform_unavailable",
    "no_route"
  };
};

// Returns the HTTP status of a refusal for the reason.
[[nodiscard]] unsigned
HttpStatusOf(RefusalReason aReason) noexcept;

// The final response to a request that gets no complete answer. Its disposition
// is always derived from the ledger of the request's attempts.
//
//   auto refusal = Refusal::From(ledger, RefusalReason::QueueFull,
//                                "The queue is full.", 2s);
//   response.mBody = RenderProblem(refusal);
class Refusal
{
public:
  // Refuses a request that is proven not to have run.
  [[nodiscard]] static Refusal NotRun(
    NotRunProof aProof,
    RefusalReason aReason,
    std::string aText,
    std::optional<Duration> aRetryAfter = std::nullopt);
  // Refuses as not run when the ledger can prove it, and closes the ledger;
  // otherwise as unknown.
  [[nodiscard]] static Refusal From(
    AttemptLedger& aLedger,
    RefusalReason aReason,
    std::string aText,
    std::optional<Duration> aRetryAfter = std::nullopt);
  // Refuses a request whose answer was cut after part of it was delivered.
  // Falls back to From() when no attempt was accepted.
  [[nodiscard]] static Refusal Incomplete(
    AttemptLedger& aLedger,
    RefusalReason aReason,
    std::string aText,
    std::optional<Duration> aRetryAfter = std::nullopt);

  [[nodiscard]] unsigned HttpStatus() const noexcept
  {
    return HttpStatusOf(mReason);
  }
  [[nodiscard]] Disposition GetDisposition() const noexcept
  {
    return mDisposition;
  }
  [[nodiscard]] RefusalReason Reason() const noexcept { return mReason; }
  [[nodiscard]] const std::string& Text() const noexcept { return mText; }
  [[nodiscard]] std::optional<Duration> RetryAfter() const noexcept
  {
    return mRetryAfter;
  }

private:
  Refusal(Disposition aDisposition,
          RefusalReason aReason,
          std::string aText,
          std::optional<Duration> aRetryAfter);

  Disposition mDisposition;
  RefusalReason mReason;
  std::string mText;
  std::optional<Duration> mRetryAfter;
};

// Returns the value of the Retry-After header: whole seconds, rounded up and at
// least 1; empty when the refusal has no retry time.
[[nodiscard]] std::string
RenderRetryAfter(const Refusal& aRefusal);

// Returns the body of an application/problem+json response with the fields
// type, title, status, detail, disposition, reason and retry_after_ms.
[[nodiscard]] std::string
RenderProblem(const Refusal& aRefusal);

} // namespace bilberrytrail
