#include "account_limit_filter.h"

namespace bilberrytrail {

namespace {

class AccountLimitFilter final : public RequestFilter
{
public:
  explicit AccountLimitFilter(AccountLimitService& aLimits)
    : mLimits(aLimits)
  {
  }

  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    const auto decision = mLimits.Admit(
      *aContext.mView, aContext.mAccount, aContext.mEstimate.CostTokens());
    if (decision.mVerdict == LimitVerdict::Admitted) {
      aContext.mAdmission.emplace(mLimits, aContext.mAccount);
      return std::nullopt;
    }
    return aContext.Refuse(RefusalReason::AccountLimit,
                           "the client account is above its limit: " +
                             std::string(ToName(decision.mVerdict)),
                           decision.mRetryAfter);
  }

private:
  AccountLimitService& mLimits;
};

} // namespace

std::unique_ptr<RequestFilter>
MakeAccountLimitFilter(AccountLimitService& aLimits)
{
  return std::make_unique<AccountLimitFilter>(aLimits);
}

} // namespace bilberrytrail
