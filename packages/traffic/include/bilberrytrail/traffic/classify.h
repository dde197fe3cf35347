#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/traffic/work_class.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

namespace bilberrytrail {

// What can be seen of a request before it runs.
struct RequestShape
{
  AccountId mAccount;
  std::size_t mPromptBytes = 0;
  // Most tokens that the caller wants; 0 when not stated.
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

// Size of a request as seen after it ran.
struct ObservedWork
{
  std::uint32_t mPromptTokens = 0;
  std::uint32_t mAnswerTokens = 0;
};

// Settings of estimation.
struct ClassifySettings
{
  // An engine request that may answer with more tokens is a draft, whatever
  // class its caller states.
  std::uint32_t mShortMaxTokens = 256;
  // A prompt with more bytes makes a draft unless the caller states otherwise.
  std::size_t mShortMaxPromptBytes = 16384;
  // Used before anything was learnt.
  double mTokensPerByte = 0.25;
  double mDraftAnswerTokens = 1024;
  // Weight of one observation.
  double mLearningWeight = 0.1;
  // Pairs of client account and class that are remembered.
  std::size_t mMaxEntries = 4096;
};

// Finds a request's class and estimates its tokens.
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
  // Returns the number of learnt pairs of account and class.
  [[nodiscard]] virtual std::size_t size() const noexcept = 0;

  // Takes in the true size of a request.
  virtual void Learn(const RequestShape& aShape,
                     WorkClass aClass,
                     const ObservedWork& aObserved) = 0;
};

// Returns the class of a request by its shape.
[[nodiscard]] WorkClass
ClassOf(const RequestShape& aShape, const ClassifySettings& aSettings) noexcept;

// Returns an estimator that keeps moving averages by client account and class,
// and forgets the pair that was used least recently when it is full.
[[nodiscard]] std::unique_ptr<WorkEstimator>
MakeLearningEstimator(const ClassifySettings& aSettings);

// Returns the baseline, which estimates from the request's own bounds only.
[[nodiscard]] std::unique_ptr<WorkEstimator>
MakeFixedEstimator(const ClassifySettings& aSettings);

} // namespace bilberrytrail
