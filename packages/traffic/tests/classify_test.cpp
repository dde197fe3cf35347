#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/classify.h>

#include <doctest/doctest.h>

#include <cmath>
#include <string>

using namespace bilberrytrail;

TEST_CASE("the class is derived from the properties of a request")
{
  struct Row
  {
    std::string mName;
    RequestShape mShape;
    WorkClass mClass;
  };
  const AccountId account("a");
  const Row rows[] = {
    { "plain service",
      { account, 100, 0, std::nullopt, true },
      WorkClass::Read },
    { "plain service, stated draft",
      { account, 100, 0, WorkClass::Draft, true },
      WorkClass::Draft },
    { "short prompt and answer", { account, 500, 100 }, WorkClass::Short },
    { "long answer", { account, 500, 257 }, WorkClass::Draft },
    { "no answer limit", { account, 500, 0 }, WorkClass::Draft },
    { "long prompt", { account, 100000, 100 }, WorkClass::Draft },
    { "long prompt, stated short",
      { account, 100000, 100, WorkClass::Short },
      WorkClass::Short },
    { "stated short, but a long answer",
      { account, 500, 4000, WorkClass::Short },
      WorkClass::Draft },
    { "stated short without an answer limit",
      { account, 500, 0, WorkClass::Short },
      WorkClass::Draft },
    { "stated read for an engine request",
      { account, 500, 100, WorkClass::Read },
      WorkClass::Short },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    CHECK(ClassOf(row.mShape, {}) == row.mClass);
    CHECK(MakeFixedEstimator({})->Estimate(row.mShape).mClass == row.mClass);
    CHECK(MakeLearningEstimator({})->Estimate(row.mShape).mClass == row.mClass);
  }
}

TEST_CASE("estimates converge separately for each account and class")
{
  const auto estimator = MakeLearningEstimator({});
  const RequestShape mine{ AccountId("a"), 1000, 2000 };
  const RequestShape other{ AccountId("b"), 1000, 2000 };
  CHECK(estimator->Estimate(mine).CostTokens() == 2250);
  for (int n = 0; n < 100; ++n) {
    estimator->Learn(mine, WorkClass::Draft, { 400, 300 });
  }
  CHECK(estimator->Estimate(mine).mPromptTokens == doctest::Approx(400));
  CHECK(estimator->Estimate(mine).mAnswerTokens ==
        doctest::Approx(300).epsilon(0.01));
  CHECK(estimator->Estimate(other).CostTokens() == 2250);
  const RequestShape bounded{ AccountId("a"), 1000, 260 };
  CHECK(estimator->Estimate(bounded).mAnswerTokens == 260);
  const RequestShape shortWork{ AccountId("a"), 1000, 100 };
  CHECK(estimator->Estimate(shortWork).mAnswerTokens == 100);
}

TEST_CASE("the least recently used averages are evicted when the table is full")
{
  ClassifySettings settings;
  settings.mMaxEntries = 8;
  const auto estimator = MakeLearningEstimator(settings);
  const RequestShape kept{ AccountId("kept"), 1000, 2000 };
  for (int n = 0; n < 100; ++n) {
    const RequestShape shape{ AccountId(std::to_string(n)), 1000, 2000 };
    estimator->Learn(shape, WorkClass::Draft, { 250, 10 });
    estimator->Learn(kept, WorkClass::Draft, { 250, 10 });
    CHECK(estimator->size() <= 8);
  }
  CHECK(estimator->Estimate(kept).mAnswerTokens < 20);
}

TEST_CASE("learned estimates have a lower error than the requested limits")
{
  const auto learning = MakeLearningEstimator({});
  const auto fixed = MakeFixedEstimator({});
  Random random(3);
  double learningError = 0;
  double fixedError = 0;
  for (int n = 0; n < 2000; ++n) {
    const auto account = random.Below(10);
    const RequestShape shape{ AccountId(std::to_string(account)),
                              4000 + random.Below(100000),
                              4096 };
    const double answer =
      static_cast<double>(200 + 150 * account) * (0.5 + random.Unit());
    learningError += std::abs(learning->Estimate(shape).mAnswerTokens - answer);
    fixedError += std::abs(fixed->Estimate(shape).mAnswerTokens - answer);
    learning->Learn(shape,
                    WorkClass::Draft,
                    { static_cast<std::uint32_t>(shape.mPromptBytes / 4),
                      static_cast<std::uint32_t>(answer) });
  }
  MESSAGE("mean error in tokens: learned " << learningError / 2000
                                           << ", requested limits "
                                           << fixedError / 2000);
  CHECK(learningError < fixedError);
}
