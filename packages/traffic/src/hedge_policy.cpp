#include <bilberrytrail/traffic/hedge_policy.h>

#include <algorithm>

namespace bilberrytrail {
namespace {

constexpr double kMaxHedgeBudgetTokens = 200000;

// See MakeBudgetedHedgePolicy.
class BudgetedHedgePolicy final : public HedgePolicy
{
public:
  BudgetedHedgePolicy(ExtraWorkBudget& aBudget, const HedgeSettings& aSettings)
    : mRetries(MakeBudgetedRetryPolicy(aBudget))
    , mSettings(aSettings)
    , mHedgeBudget(aSettings.mShare,
                   aSettings.mReserveTokens,
                   kMaxHedgeBudgetTokens)
  {
  }

  void RecordRequest(double aCostTokens) override
  {
    mHedgeBudget.AddRequest(aCostTokens);
  }

  std::optional<Instant> HedgeAt(const HedgeQuery& aQuery) const override
  {
    if (!aQuery.mRequest.mIdempotent || !IsShortWork(aQuery.mClass) ||
        aQuery.mRequest.mTried.size() > 1) {
      return std::nullopt;
    }
    const auto lateAfter = std::chrono::duration_cast<Duration>(
      aQuery.mPredicted * mSettings.mFactor);
    return aQuery.mSent + std::max(lateAfter, mSettings.mMinDelay);
  }

  std::vector<ServerId> Hedge(const HedgeQuery& aQuery, Instant aNow) override
  {
    const auto at = HedgeAt(aQuery);
    if (!at || aNow < *at) {
      return {};
    }
    const double cost = aQuery.mRequest.mCostTokens;
    if (mHedgeBudget.AvailableTokens() < cost) {
      return {};
    }
    auto servers = mRetries->Decide(aQuery.mRequest, aNow).mServers;
    if (!servers.empty()) {
      (void)mHedgeBudget.TrySpend(cost);
    }
    return servers;
  }

private:
  std::unique_ptr<RetryPolicy> mRetries;
  HedgeSettings mSettings;
  ExtraWorkBudget mHedgeBudget;
};

// See MakeNoHedgePolicy.
class NoHedgePolicy final : public HedgePolicy
{
public:
  void RecordRequest(double /*aCostTokens*/) override {}
  std::optional<Instant> HedgeAt(const HedgeQuery& /*aQuery*/) const override
  {
    return std::nullopt;
  }
  std::vector<ServerId> Hedge(const HedgeQuery& /*aQuery*/,
                              Instant /*aNow*/) override
  {
    return {};
  }
};

} // namespace

std::unique_ptr<HedgePolicy>
MakeBudgetedHedgePolicy(ExtraWorkBudget& aBudget,
                        const HedgeSettings& aSettings)
{
  return std::make_unique<BudgetedHedgePolicy>(aBudget, aSettings);
}

std::unique_ptr<HedgePolicy>
MakeNoHedgePolicy()
{
  return std::make_unique<NoHedgePolicy>();
}

} // namespace bilberrytrail
