#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/traffic/work_class.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace bilberrytrail {

// Properties of a request that are known before it runs.
struct RequestShape
{
  AccountId mAccount;
  std::size_t mPromptBytes = 0;
  // Maximum number of answer tokens that the caller requests; 0 if not stated.
  std::uint32_t mMaxTokens = 0;
  // The class that the caller states in a header.
  std::optional<WorkClass> mStatedClass{};
  // The request is for a plain service, not an engine.
  bool mPlainService = false;
};

// Estimated size of a request.
struct WorkEstimate
{
  WorkClass mClass = WorkClass::Draft;
  double mPromptTokens = 0;
  double mAnswerTokens = 0;

  [[nodiscard]] double CostTokens() const noexcept
  {
    return mPromptTokens + mAnswerTokens;
  }
};

// Measured size of a request after it ran.
struct ObservedWork
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mAnswerTokens = 0;
};

// Settings of classification and estimation.
struct ClassifySettings
{
  // An engine request whose answer may have more tokens is a draft, regardless
  // of the class that its caller states.
  std::uint32_t mShortMaxTokens = 256;
  // A request with a longer prompt is a draft unless the caller states
  // otherwise.
  std::size_t mShortMaxPromptBytes = 16384;
  // Estimates until an account's requests have been observed.
  double mTokensPerByte = 0.25;
  double mDraftAnswerTokens = 1024;
  // Weight of one observation in the moving averages.
  double mLearningWeight = 0.1;
  // Maximum number of pairs of client account and class with averages.
  std::size_t mMaxEntries = 4096;
};

// Classifies a request and estimates its tokens.
//
//   const auto estimate = estimator->Estimate(shape);
//   // after the answer:
//   estimator->Learn(shape, estimate.mClass, { promptTokens, answerTokens });
class WorkEstimator
{
public:
  virtual ~WorkEstimator() = default;

  [[nodiscard]] virtual WorkEstimate Estimate(
    const RequestShape& aShape) const = 0;
  // Returns the number of pairs of account and class with averages.
  [[nodiscard]] virtual std::size_t size() const noexcept = 0;

  // Updates the averages with the measured size of a request.
  virtual void Learn(const RequestShape& aShape,
                     WorkClass aClass,
                     const ObservedWork& aObserved) = 0;
};

// Returns the class of a request by its shape.
[[nodiscard]] WorkClass
ClassOf(const RequestShape& aShape, const ClassifySettings& aSettings) noexcept;

// Returns an estimator that keeps moving averages by client account and class,
// and evicts the least recently used pair when it is full.
[[nodiscard]] std::unique_ptr<WorkEstimator>
MakeLearningEstimator(const ClassifySettings& aSettings);

// Returns the baseline, which estimates only from the limits that the request
// itself states.
[[nodiscard]] std::unique_ptr<WorkEstimator>
MakeFixedEstimator(const ClassifySettings& aSettings);

} // namespace bilberrytrail
