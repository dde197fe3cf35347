#include "account_limit_service.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr double kRequestsPerSecond = 100;
const AccountView kAccount{ ProductId("p"), AccountId("a") };

// A view of a site with so many daemons, the first of them this one.
std::shared_ptr<const ControlView>
MakeView(std::size_t aDaemons)
{
  auto view = std::make_shared<ControlView>();
  view->mSelf = DaemonId("d0");
  for (std::size_t n = 0; n < aDaemons; ++n) {
    MemberRecord member;
    member.mId = DaemonId("d" + std::to_string(n));
    view->mMembers.push_back(member);
    view->mHomes.push_back({ member.mId, ZoneId("z"), 1 });
  }
  ProductState product;
  product.mProduct = kAccount.mProduct;
  product.mAccounts[kAccount.mAccount].mRequestsPerSecond = kRequestsPerSecond;
  view->mProducts.emplace(kAccount.mProduct, product);
  return view;
}

// Returns how many of many requests at once are admitted.
int
CountAdmitted(AccountLimitService& aLimits, const ControlView& aView)
{
  int admitted = 0;
  for (int n = 0; n < 1000; ++n) {
    const auto decision = aLimits.Admit(aView, kAccount, 1);
    if (decision.mVerdict == LimitVerdict::Admitted) {
      ++admitted;
      aLimits.End(kAccount);
    } else {
      CHECK(decision.mVerdict == LimitVerdict::RequestRate);
      CHECK(decision.mRetryAfter > Duration::zero());
    }
  }
  return admitted;
}

} // namespace

TEST_CASE("without a lease a daemon admits its floor of the limit")
{
  for (const std::size_t daemons : { 1U, 4U }) {
    ControlViewHolder views;
    const auto view = MakeView(daemons);
    views.Store(view);
    AccountLimitService limits(views);
    const int admitted = CountAdmitted(limits, *view);
    const double floor = kRequestsPerSecond * FloorShare(daemons);
    CHECK(admitted >= static_cast<int>(floor) - 1);
    CHECK(admitted <= kRequestsPerSecond * kFloorFraction + 5);
  }
}

TEST_CASE("an account that the release does not limit is admitted")
{
  ControlViewHolder views;
  const auto view = MakeView(2);
  views.Store(view);
  AccountLimitService limits(views);
  const AccountView other{ ProductId("p"), AccountId("unlimited") };
  for (int n = 0; n < 1000; ++n) {
    CHECK(limits.Admit(*view, other, 100).mVerdict == LimitVerdict::Admitted);
  }
}

TEST_CASE("malformed requests for leases are refused")
{
  ControlViewHolder views;
  AccountLimitService limits(views);
  RpcMethods methods;
  limits.AddMethods(methods);
  const RpcTransport transport = [&](const std::string& aText) {
    return Result<std::string>(methods.Serve(aText));
  };
  CHECK_FALSE(CallRpc("limits.renew", { { "daemon", 1 } }, transport));
  CHECK_FALSE(CallRpc("limits.renew",
                      { { "daemon", "d" }, { "accounts", { Json::object() } } },
                      transport));
  const auto granted = CallRpc(
    "limits.renew",
    { { "daemon", "d" },
      { "accounts",
        { { { "product", "p" }, { "account", "a" }, { "demand", 0.5 } } } } },
    transport);
  REQUIRE(granted.has_value());
  CHECK(granted.value()["leases"].size() == 1);
}
