#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/classify.h>

#include <doctest/doctest.h>

#include <cmath>
#include <string>

using namespace bilberrytrail;

TEST_CASE("the class follows from the shape of a request")
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
    { "plain service, long by its caller",
      { account, 100, 0, WorkClass::Draft, true },
      WorkClass::Draft },
    { "short question", { account, 500, 100 }, WorkClass::Short },
    { "long answer", { account, 500, 257 }, WorkClass::Draft },
    { "no bound", { account, 500, 0 }, WorkClass::Draft },
    { "long sheet", { account, 100000, 100 }, WorkClass::Draft },
    { "long sheet, stated short",
      { account, 100000, 100, WorkClass::Short },
      WorkClass::Short },
    { "stated short, but a long answer",
      { account, 500, 4000, WorkClass::Short },
      WorkClass::Draft },
    { "stated short without a bound",
      { account, 500, 0, WorkClass::Short },
      WorkClass::Draft },
    { "stated read at an engine",
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

TEST_CASE("estimates are learnt by account and class")
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

TEST_CASE("the number of learnt pairs is bounded, the used ones stay")
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

TEST_CASE("learnt estimates are closer than the bounds of the requests")
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
  MESSAGE("mean error in tokens: learnt " << learningError / 2000
                                          << ", bounds of the request "
                                          << fixedError / 2000);
  CHECK(learningError < fixedError);
}
