#include <bilberrytrail/traffic/classify.h>

#include <algorithm>
#include <list>
#include <map>
#include <utility>

namespace bilberrytrail {
namespace {

// Averages of an account's requests of one class.
struct Averages
{
  double mTokensPerByte = 0;
  double mAnswerTokens = 0;
};

using PairKey = std::pair<AccountId, WorkClass>;

double
LimitedTo(std::uint32_t aMaxTokens, double aTokens)
{
  return aMaxTokens == 0 ? aTokens : std::min<double>(aMaxTokens, aTokens);
}

double
FixedAnswerTokens(const RequestShape& aShape,
                  WorkClass aClass,
                  const ClassifySettings& aSettings)
{
  if (aShape.mPlainService) {
    return 1;
  }
  if (aShape.mMaxTokens > 0) {
    return aShape.mMaxTokens;
  }
  return aClass == WorkClass::Draft ? aSettings.mDraftAnswerTokens
                                    : aSettings.mShortMaxTokens;
}

WorkEstimate
FixedEstimate(const RequestShape& aShape, const ClassifySettings& aSettings)
{
  const auto workClass = ClassOf(aShape, aSettings);
  return { workClass,
           static_cast<double>(aShape.mPromptBytes) * aSettings.mTokensPerByte,
           FixedAnswerTokens(aShape, workClass, aSettings) };
}

// See MakeFixedEstimator.
class FixedEstimator final : public WorkEstimator
{
public:
  explicit FixedEstimator(const ClassifySettings& aSettings)
    : mSettings(aSettings)
  {
  }

  WorkEstimate Estimate(const RequestShape& aShape) const override
  {
    return FixedEstimate(aShape, mSettings);
  }
  std::size_t size() const noexcept override { return 0; }
  void Learn(const RequestShape& /*aShape*/,
             WorkClass /*aClass*/,
             const ObservedWork& /*aObserved*/) override
  {
  }

private:
  ClassifySettings mSettings;
};

// See MakeLearningEstimator.
class LearningEstimator final : public WorkEstimator
{
public:
  explicit LearningEstimator(const ClassifySettings& aSettings)
    : mSettings(aSettings)
  {
  }

  WorkEstimate Estimate(const RequestShape& aShape) const override
  {
    auto estimate = FixedEstimate(aShape, mSettings);
    const auto it = mAverages.find({ aShape.mAccount, estimate.mClass });
    if (it != mAverages.end()) {
      const auto& averages = it->second->second;
      estimate.mPromptTokens =
        static_cast<double>(aShape.mPromptBytes) * averages.mTokensPerByte;
      estimate.mAnswerTokens =
        LimitedTo(aShape.mMaxTokens, averages.mAnswerTokens);
    }
    return estimate;
  }

  std::size_t size() const noexcept override { return mAverages.size(); }

  void Learn(const RequestShape& aShape,
             WorkClass aClass,
             const ObservedWork& aObserved) override
  {
    auto& averages = FindOrInsert(aShape, aClass);
    const auto update = [&](double& aAverage, double aValue) {
      aAverage += mSettings.mLearningWeight * (aValue - aAverage);
    };
    update(averages.mAnswerTokens, aObserved.mAnswerTokens);
    if (aShape.mPromptBytes > 0) {
      update(averages.mTokensPerByte,
             aObserved.mPromptTokens /
               static_cast<double>(aShape.mPromptBytes));
    }
  }

private:
  using RecencyList = std::list<std::pair<PairKey, Averages>>;

  // Returns the averages of the account and class, and marks them as most
  // recently used. Inserts them when missing, evicting the least recently used
  // pair of a full table.
  Averages& FindOrInsert(const RequestShape& aShape, WorkClass aClass)
  {
    const PairKey key{ aShape.mAccount, aClass };
    const auto it = mAverages.find(key);
    if (it != mAverages.end()) {
      mByRecency.splice(mByRecency.begin(), mByRecency, it->second);
      return mByRecency.front().second;
    }
    if (mAverages.size() >= mSettings.mMaxEntries && !mByRecency.empty()) {
      mAverages.erase(mByRecency.back().first);
      mByRecency.pop_back();
    }
    mByRecency.emplace_front(
      key,
      Averages{ mSettings.mTokensPerByte,
                FixedAnswerTokens(aShape, aClass, mSettings) });
    mAverages.emplace(key, mByRecency.begin());
    return mByRecency.front().second;
  }

  ClassifySettings mSettings;
  // Most recently used first.
  RecencyList mByRecency;
  std::map<PairKey, RecencyList::iterator> mAverages;
};

} // namespace

WorkClass
ClassOf(const RequestShape& aShape, const ClassifySettings& aSettings) noexcept
{
  if (aShape.mPlainService) {
    return aShape.mStatedClass.value_or(WorkClass::Read);
  }
  if (aShape.mMaxTokens == 0 || aShape.mMaxTokens > aSettings.mShortMaxTokens) {
    return WorkClass::Draft;
  }
  if (aShape.mStatedClass) {
    // An engine request is never a read of a plain service.
    return *aShape.mStatedClass == WorkClass::Draft ? WorkClass::Draft
                                                    : WorkClass::Short;
  }
  return aShape.mPromptBytes > aSettings.mShortMaxPromptBytes
           ? WorkClass::Draft
           : WorkClass::Short;
}

std::unique_ptr<WorkEstimator>
MakeLearningEstimator(const ClassifySettings& aSettings)
{
  return std::make_unique<LearningEstimator>(aSettings);
}

std::unique_ptr<WorkEstimator>
MakeFixedEstimator(const ClassifySettings& aSettings)
{
  return std::make_unique<FixedEstimator>(aSettings);
}

} // namespace bilberrytrail
