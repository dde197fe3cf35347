#include <bilberrytrail/traffic/refusal.h>

#include <doctest/doctest.h>

#include <string>

#include <type_traits>
#include <vector>

using namespace bilberrytrail;

namespace {

Result<void>
Step(AttemptLedger& aLedger, const AttemptId& aAttempt, AttemptState aState)
{
  switch (aState) {
    case AttemptState::NotSent:
      return aLedger.Open(aAttempt);
    case AttemptState::Sent:
      return aLedger.MarkSent(aAttempt);
    case AttemptState::Accepted:
      return aLedger.MarkAccepted(aAttempt);
    case AttemptState::Finished:
      return aLedger.MarkFinished(aAttempt);
    default:
      return aLedger.MarkRejected(aAttempt);
  }
}

constexpr auto kNew = AttemptState::NotSent;
constexpr auto kSent = AttemptState::Sent;
constexpr auto kAccepted = AttemptState::Accepted;
constexpr auto kFinished = AttemptState::Finished;
constexpr auto kRejected = AttemptState::RejectedBeforeRunning;

} // namespace

// A refusal and its proof cannot be created without a ledger.
static_assert(!std::is_default_constructible_v<NotRunProof>);
static_assert(!std::is_copy_constructible_v<NotRunProof>);
static_assert(
  !std::is_constructible_v<Refusal, Disposition, RefusalReason, std::string>);

TEST_CASE("the disposition is derived from the states of the attempts")
{
  struct Row
  {
    std::string mName;
    std::vector<std::vector<AttemptState>> mAttempts;
    Disposition mFrom;
    Disposition mIncomplete;
  };
  const Row rows[] = {
    { "no attempt", {}, Disposition::NotRun, Disposition::NotRun },
    { "not sent", { { kNew } }, Disposition::NotRun, Disposition::NotRun },
    { "sent", { { kNew, kSent } }, Disposition::Unknown, Disposition::Unknown },
    { "rejected",
      { { kNew, kSent, kRejected } },
      Disposition::NotRun,
      Disposition::NotRun },
    { "accepted",
      { { kNew, kSent, kAccepted } },
      Disposition::Unknown,
      Disposition::Incomplete },
    { "finished",
      { { kNew, kSent, kAccepted, kFinished } },
      Disposition::Unknown,
      Disposition::Incomplete },
    { "all rejected",
      { { kNew, kSent, kRejected }, { kNew, kSent, kRejected } },
      Disposition::NotRun,
      Disposition::NotRun },
    { "one of two rejected",
      { { kNew, kSent }, { kNew, kSent, kRejected } },
      Disposition::Unknown,
      Disposition::Unknown },
    { "rejected, the other not sent",
      { { kNew, kSent, kRejected }, { kNew } },
      Disposition::NotRun,
      Disposition::NotRun },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    AttemptLedger ledger;
    for (std::size_t n = 0; n < row.mAttempts.size(); ++n) {
      const AttemptId attempt(std::to_string(n));
      for (const auto state : row.mAttempts[n]) {
        REQUIRE(Step(ledger, attempt, state).has_value());
      }
    }
    auto copy = ledger;
    CHECK(
      Refusal::From(ledger, RefusalReason::ServerFailed, "").GetDisposition() ==
      row.mFrom);
    CHECK(Refusal::Incomplete(copy, RefusalReason::AnswerCut, "")
            .GetDisposition() == row.mIncomplete);
  }
}

TEST_CASE("an invalid state transition fails and leaves the state unchanged")
{
  struct Row
  {
    std::vector<AttemptState> mBefore;
    AttemptState mStep;
  };
  const Row rows[] = {
    { { kNew }, kNew },
    { { kNew }, kAccepted },
    { { kNew }, kFinished },
    { {}, kSent },
    { { kNew, kSent }, kSent },
    { { kNew, kSent, kAccepted }, kRejected },
    { { kNew, kSent, kAccepted, kFinished }, kRejected },
    { { kNew, kSent, kRejected }, kSent },
    { { kNew, kSent, kRejected }, kAccepted },
  };
  for (const auto& row : rows) {
    CAPTURE(ToName(row.mStep));
    AttemptLedger ledger;
    const AttemptId attempt("a");
    for (const auto state : row.mBefore) {
      REQUIRE(Step(ledger, attempt, state).has_value());
    }
    const auto before = ledger.State(attempt);
    CHECK(!Step(ledger, attempt, row.mStep).has_value());
    CHECK(ledger.State(attempt) == before);
  }
}

TEST_CASE("no attempt can be opened or sent after the proof was issued")
{
  AttemptLedger ledger;
  const AttemptId attempt("a");
  REQUIRE(ledger.Open(attempt).has_value());
  REQUIRE(ledger.CloseAsNotRun().has_value());
  CHECK(!ledger.MarkSent(attempt).has_value());
  CHECK(!ledger.Open(AttemptId("b")).has_value());
  CHECK(ledger.IsNotRun());
}

TEST_CASE("a refusal is rendered as problem+json")
{
  AttemptLedger ledger;
  const auto refusal = Refusal::From(
    ledger, RefusalReason::QueueFull, "The \"queue\" is full.", 1500ms);
  CHECK(refusal.HttpStatus() == 503);
  CHECK(RenderRetryAfter(refusal) == "2");
  CHECK(RenderProblem(refusal) ==
        R"({"detail":"The \"queue\" is full.","disposition":"not_run",)"
        R"("reason":"queue_full","retry_after_ms":1500,"status":503,)"
        R"("title":"Request refused",)"
        R"("type":"urn:bilberrytrail:refusal:queue_full"})");
}
