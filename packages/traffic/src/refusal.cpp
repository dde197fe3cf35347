#include <bilberrytrail/traffic/refusal.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace bilberrytrail {
namespace {

// HTTP status of each RefusalReason, in enum order.
constexpr std::array<unsigned, EnumCount<RefusalReason>()> kStatus{
  400, 401, 409, 422, 429, 503, 503, 504, 503, 503, 502, 502, 503, 404
};

} // namespace

unsigned
HttpStatusOf(RefusalReason aReason) noexcept
{
  return kStatus.at(static_cast<std::size_t>(aReason));
}

Refusal::Refusal(Disposition aDisposition,
                 RefusalReason aReason,
                 std::string aText,
                 std::optional<Duration> aRetryAfter)
  : mDisposition(aDisposition)
  , mReason(aReason)
  , mText(std::move(aText))
  , mRetryAfter(aRetryAfter)
{
}

Refusal
Refusal::NotRun(NotRunProof /*aProof*/,
                RefusalReason aReason,
                std::string aText,
                std::optional<Duration> aRetryAfter)
{
  return { Disposition::NotRun, aReason, std::move(aText), aRetryAfter };
}

Refusal
Refusal::From(AttemptLedger& aLedger,
              RefusalReason aReason,
              std::string aText,
              std::optional<Duration> aRetryAfter)
{
  if (auto proof = aLedger.CloseAsNotRun()) {
    return NotRun(*std::move(proof), aReason, std::move(aText), aRetryAfter);
  }
  return { Disposition::Unknown, aReason, std::move(aText), aRetryAfter };
}

Refusal
Refusal::Incomplete(AttemptLedger& aLedger,
                    RefusalReason aReason,
                    std::string aText,
                    std::optional<Duration> aRetryAfter)
{
  if (!aLedger.IsAccepted()) {
    return From(aLedger, aReason, std::move(aText), aRetryAfter);
  }
  return { Disposition::Incomplete, aReason, std::move(aText), aRetryAfter };
}

std::string
RenderRetryAfter(const Refusal& aRefusal)
{
  const auto wait = aRefusal.RetryAfter();
  if (!wait) {
    return {};
  }
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(*wait).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

std::string
RenderProblem(const Refusal& aRefusal)
{
  const std::string reason(ToName(aRefusal.Reason()));
  nlohmann::json body{
    { "type", "urn:bilberrytrail:refusal:" + reason },
    { "title", "Request refused" },
    { "status", aRefusal.HttpStatus() },
    { "detail", aRefusal.Text() },
    { "disposition", std::string(ToName(aRefusal.GetDisposition())) },
    { "reason", reason },
  };
  if (const auto wait = aRefusal.RetryAfter()) {
    body["retry_after_ms"] =
      std::chrono::ceil<std::chrono::milliseconds>(*wait).count();
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace bilberrytrail
