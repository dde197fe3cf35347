#include "claim_model.h"

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::claim_model;

namespace {

constexpr int kResends = 3;

std::vector<Injection>
AllInjections()
{
  std::vector<Injection> all;
  for (const auto step : AllOf<Step>()) {
    for (const auto fault : AllOf<Fault>()) {
      all.push_back({ step, fault });
    }
  }
  return all;
}

Simulation
RunHistory(std::vector<Injection> aFaults, bool aComparesVersions)
{
  Simulation simulation(std::move(aFaults));
  simulation.mTable.mComparesVersions = aComparesVersions;
  for (int n = 0; n <= kResends; ++n) {
    simulation.RunRequest();
    if (n == 1) {
      simulation.DeliverDelayed();
    }
  }
  simulation.DeliverDelayed();
  return simulation;
}

// Runs one history and returns whether it has a violation; with aReport, on a
// table that compares versions, the test fails with its description.
bool
IsViolated(const std::vector<Injection>& aFaults, bool aReport)
{
  const auto violation = RunHistory(aFaults, aReport).FindViolation();
  if (aReport && !violation.empty()) {
    std::string faults;
    for (const auto& injection : aFaults) {
      faults += std::string(ToName(injection.mStep)) + ":" +
                std::string(ToName(injection.mFault)) + " ";
    }
    CAPTURE(faults);
    CHECK(violation == "");
  }
  return !violation.empty();
}

// Runs each step with each fault, alone and with each second fault of the
// same or a following request; returns the number of violations.
int
CountViolations(bool aComparesVersions)
{
  int violations = 0;
  for (const auto& first : AllInjections()) {
    for (const auto& second : AllInjections()) {
      violations += IsViolated({ first, second }, aComparesVersions) ? 1 : 0;
    }
  }
  return violations;
}

} // namespace

TEST_CASE("each step with one or two faults runs a key at most once")
{
  CHECK(CountViolations(true) == 0);
}

TEST_CASE("random series of five faults run a key at most once")
{
  constexpr int kHistories = 10000;
  constexpr int kFaults = 5;
  Random random(7);
  const auto all = AllInjections();
  for (int n = 0; n < kHistories; ++n) {
    std::vector<Injection> faults;
    faults.reserve(kFaults);
    for (int k = 0; k < kFaults; ++k) {
      faults.push_back(all[random.Below(all.size())]);
    }
    IsViolated(faults, true);
  }
}

TEST_CASE("the fault table detects a table service that does not compare "
          "versions")
{
  CHECK(CountViolations(false) > 0);
}

TEST_CASE("each injected fault has an effect at some step")
{
  for (const auto fault : AllOf<Fault>()) {
    if (fault == Fault::None) {
      continue;
    }
    CAPTURE(ToName(fault));
    bool differs = false;
    const auto faultless = RunHistory({}, true);
    for (const auto step : AllOf<Step>()) {
      const auto simulation = RunHistory({ { step, fault } }, true);
      differs =
        differs ||
        simulation.mCallerAnswers.size() != faultless.mCallerAnswers.size() ||
        simulation.mNow != faultless.mNow;
    }
    CHECK(differs);
  }
}

TEST_CASE("a resend ends with the verdict of the recorded outcome")
{
  struct Row
  {
    Injection mInjection;
    ClaimVerdict mLast;
    std::size_t mRuns;
  };
  using V = ClaimVerdict;
  const Row rows[] = {
    { { Step::ReadRow, Fault::None }, V::AnswerRecorded, 1 },
    { { Step::ReadRow, Fault::Down }, V::AnswerRecorded, 1 },
    { { Step::WriteClaim, Fault::CrashBefore }, V::AnswerRecorded, 1 },
    { { Step::WriteClaim, Fault::CrashAfter }, V::RefuseUnknown, 0 },
    { { Step::WriteClaim, Fault::LostReply }, V::AnswerRecorded, 1 },
    { { Step::WriteClaim, Fault::LostRequest }, V::AnswerRecorded, 1 },
    { { Step::WriteClaim, Fault::Delayed }, V::AnswerRecorded, 1 },
    { { Step::Invoke, Fault::CrashBefore }, V::RefuseUnknown, 0 },
    { { Step::Invoke, Fault::PauseBefore }, V::AnswerRecorded, 1 },
    { { Step::Invoke, Fault::LostReply }, V::RefuseUnknown, 1 },
    { { Step::Invoke, Fault::Down }, V::AnswerRecorded, 1 },
    { { Step::WriteOutcome, Fault::LostReply }, V::AnswerRecorded, 1 },
    { { Step::WriteOutcome, Fault::CrashBefore }, V::RefuseUnknown, 1 },
  };
  for (const auto& row : rows) {
    CAPTURE(ToName(row.mInjection.mStep));
    CAPTURE(ToName(row.mInjection.mFault));
    const auto simulation = RunHistory({ row.mInjection }, true);
    REQUIRE_FALSE(simulation.mCallerAnswers.empty());
    CHECK(simulation.mCallerAnswers.back().mVerdict == row.mLast);
    CHECK(simulation.mRuns.size() == row.mRuns);
  }
}
