#include <bilberrytrail/traffic/retry_budget.h>

#include <algorithm>

namespace bilberrytrail {
namespace {

// See MakeBudgetedRetryPolicy.
class BudgetedRetryPolicy final : public RetryPolicy
{
public:
  explicit BudgetedRetryPolicy(ExtraWorkBudget& aBudget)
    : mBudget(aBudget)
  {
  }

  RetryDecision Decide(const RetryQuery& aQuery, Instant aNow) override
  {
    if (!aQuery.mIdempotent) {
      return { RetryVerdict::NotIdempotent, {} };
    }
    if (aQuery.mDeadline - aNow < aQuery.mService) {
      return { RetryVerdict::DeadlineTooClose, {} };
    }
    std::vector<ServerId> servers;
    std::copy_if(aQuery.mCandidates.begin(),
                 aQuery.mCandidates.end(),
                 std::back_inserter(servers),
                 [&](const ServerId& aServer) {
                   return std::find(aQuery.mTried.begin(),
                                    aQuery.mTried.end(),
                                    aServer) == aQuery.mTried.end();
                 });
    if (servers.empty()) {
      return { RetryVerdict::NoOtherServer, {} };
    }
    if (!mBudget.TrySpend(aQuery.mCostTokens)) {
      return { RetryVerdict::BudgetSpent, {} };
    }
    return { RetryVerdict::Retry, std::move(servers) };
  }

private:
  ExtraWorkBudget& mBudget;
};

// See MakeNoRetryPolicy.
class NoRetryPolicy final : public RetryPolicy
{
public:
  RetryDecision Decide(const RetryQuery& /*aQuery*/, Instant /*aNow*/) override
  {
    return { RetryVerdict::Disabled, {} };
  }
};

} // namespace

ExtraWorkBudget::ExtraWorkBudget(double aShare,
                                 double aReserveTokens,
                                 double aMaxTokens) noexcept
  : mShare(aShare)
  , mMaxTokens(aMaxTokens)
  , mTokens(std::min(aReserveTokens, aMaxTokens))
{
}

void
ExtraWorkBudget::AddRequest(double aCostTokens) noexcept
{
  mTokens = std::min(mMaxTokens, mTokens + mShare * std::max(0.0, aCostTokens));
}

bool
ExtraWorkBudget::TrySpend(double aCostTokens) noexcept
{
  const double cost = std::max(0.0, aCostTokens);
  if (cost > mTokens) {
    return false;
  }
  mTokens -= cost;
  return true;
}

std::unique_ptr<RetryPolicy>
MakeBudgetedRetryPolicy(ExtraWorkBudget& aBudget)
{
  return std::make_unique<BudgetedRetryPolicy>(aBudget);
}

std::unique_ptr<RetryPolicy>
MakeNoRetryPolicy()
{
  return std::make_unique<NoRetryPolicy>();
}

} // namespace bilberrytrail
