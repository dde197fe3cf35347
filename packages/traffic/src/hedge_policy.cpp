#include <bilberrytrail/traffic/hedge_policy.h>

namespace bilberrytrail {
namespace {

// See MakeBudgetedHedgePolicy.
class BudgetedHedgePolicy final : public HedgePolicy
{
public:
  BudgetedHedgePolicy(ExtraWorkBudget& aBudget, double aFactor)
    : mRetries(MakeBudgetedRetryPolicy(aBudget))
    , mFactor(aFactor)
  {
  }

  std::optional<Instant> HedgeAt(const HedgeQuery& aQuery) const override
  {
    if (!aQuery.mRequest.mIdempotent || !IsShortWork(aQuery.mClass) ||
        aQuery.mRequest.mTried.size() > 1) {
      return std::nullopt;
    }
    return aQuery.mSent +
           std::chrono::duration_cast<Duration>(aQuery.mPredicted * mFactor);
  }

  std::vector<ServerId> Hedge(const HedgeQuery& aQuery, Instant aNow) override
  {
    const auto at = HedgeAt(aQuery);
    if (!at || aNow < *at) {
      return {};
    }
    return mRetries->Decide(aQuery.mRequest, aNow).mServers;
  }

private:
  std::unique_ptr<RetryPolicy> mRetries;
  double mFactor;
};

// See MakeNoHedgePolicy.
class NoHedgePolicy final : public HedgePolicy
{
public:
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
MakeBudgetedHedgePolicy(ExtraWorkBudget& aBudget, double aFactor)
{
  return std::make_unique<BudgetedHedgePolicy>(aBudget, aFactor);
}

std::unique_ptr<HedgePolicy>
MakeNoHedgePolicy()
{
  return std::make_unique<NoHedgePolicy>();
}

} // namespace bilberrytrail
