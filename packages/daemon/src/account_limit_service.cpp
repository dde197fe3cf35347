#include "account_limit_service.h"

#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr const char* kRenewMethod = "limits.renew";
constexpr Duration kRenewPeriod = 500ms;
constexpr Duration kLeaseLength = 3s;
constexpr Duration kRenewTimeout = 300ms;
// An account without traffic for so long is forgotten.
constexpr Duration kIdleTime = 30s;
// Accounts in one call to a home.
constexpr std::size_t kMaxAsked = 256;
// Accounts that one daemon holds as home; further ones get their floor only.
constexpr std::size_t kMaxHomed = 65536;

AccountLimits
MakeLimits(const AccountSpec& aSpec)
{
  AccountLimits limits;
  limits.mRequestsPerSecond = aSpec.mRequestsPerSecond;
  limits.mTokensPerSecond = aSpec.mTokensPerSecond;
  limits.mConcurrency = aSpec.mConcurrent;
  return limits;
}

bool
IsSame(const AccountLimits& aLeft, const AccountLimits& aRight)
{
  return aLeft.mRequestsPerSecond == aRight.mRequestsPerSecond &&
         aLeft.mTokensPerSecond == aRight.mTokensPerSecond &&
         aLeft.mConcurrency == aRight.mConcurrency;
}

AccountLimits
LimitsOf(const ControlView& aView,
         const ProductId& aProduct,
         const AccountId& aAccount)
{
  const auto* product = aView.FindProduct(aProduct);
  if (product == nullptr) {
    return {};
  }
  const auto it = product->mAccounts.find(aAccount);
  return it == product->mAccounts.end() ? AccountLimits()
                                        : MakeLimits(it->second);
}

} // namespace

AccountLimitService::AccountLimitService(const ControlViewHolder& aViews)
  : mViews(aViews)
{
}

AccountLimitService::Account&
AccountLimitService::Find(const ControlView& aView,
                          const Key& aKey,
                          Instant aNow)
{
  const auto limits = LimitsOf(aView, aKey.first, aKey.second);
  auto& account = mAccounts[aKey];
  account.mLastSeen = aNow;
  if (account.mLimiter == nullptr && mWake != nullptr) {
    // The floor alone is little: ask for a lease at once.
    mWake->Notify();
  }
  if (account.mLimiter == nullptr || !IsSame(account.mLimits, limits)) {
    account.mLimits = limits;
    account.mLimiter =
      MakeAccountLimiter(limits, FloorShare(aView.mMembers.size()), aNow);
    account.mRunning = 0;
  }
  return account;
}

LimitDecision
AccountLimitService::Admit(const ControlView& aView,
                           const AccountView& aAccount,
                           double aCostTokens)
{
  const auto now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  auto& account = Find(aView, { aAccount.mProduct, aAccount.mAccount }, now);
  const auto decision = account.mLimiter->Admit(aCostTokens, now);
  if (decision.mVerdict == LimitVerdict::Admitted) {
    ++account.mRunning;
  }
  return decision;
}

void
AccountLimitService::End(const AccountView& aAccount)
{
  const std::lock_guard lock(mMutex);
  const auto it = mAccounts.find({ aAccount.mProduct, aAccount.mAccount });
  // A limiter that was made anew with other limits began at none running.
  if (it != mAccounts.end() && it->second.mRunning > 0) {
    --it->second.mRunning;
    it->second.mLimiter->End();
  }
}

void
AccountLimitService::RemoveIdle(Instant aNow)
{
  std::erase_if(mAccounts, [&](const auto& aEntry) {
    return aEntry.second.mRunning == 0 &&
           aNow - aEntry.second.mLastSeen > kIdleTime;
  });
  std::erase_if(mHomed, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastSeen > kIdleTime;
  });
}

void
AccountLimitService::Run(ThreadContext& aThread)
{
  const auto wake = std::make_shared<Event>(aThread.GetLoop());
  {
    const std::lock_guard lock(mMutex);
    mWake = wake;
  }
  while (!aThread.GetLoop().IsStopping()) {
    const auto view = mViews.Load();
    for (const auto& [home, asked] : CollectAsked(*view)) {
      AskHome(aThread, *view, home, asked);
    }
    (void)wake->Wait(kRenewPeriod);
  }
  const std::lock_guard lock(mMutex);
  mWake.reset();
}

void
AccountLimitService::NoteHomes(const ControlView& aView, Instant aNow)
{
  const bool isSame =
    std::equal(mHomes.begin(),
               mHomes.end(),
               aView.mHomes.begin(),
               aView.mHomes.end(),
               [](const DaemonId& aId, const HomeCandidate& aHome) {
                 return aId == aHome.mId;
               });
  if (!isSame) {
    mHomes.clear();
    for (const auto& it : aView.mHomes) {
      mHomes.push_back(it.mId);
    }
    mHomesSince = aNow;
  }
}

std::map<DaemonId, std::vector<AccountLimitService::Asked>>
AccountLimitService::CollectAsked(const ControlView& aView)
{
  const auto now = MonotonicNow();
  std::map<DaemonId, std::vector<Asked>> byHome;
  const std::lock_guard lock(mMutex);
  NoteHomes(aView, now);
  RemoveIdle(now);
  for (auto& [key, account] : mAccounts) {
    if (now >= account.mLeaseEnd) {
      account.mLimiter->SetShare(FloorShare(aView.mMembers.size()), now);
    }
    const auto home = HomeOf(
      "account/" + key.first.Text() + "/" + key.second.Text(), aView.mHomes);
    auto& asked = byHome[home];
    if (asked.size() < kMaxAsked) {
      asked.push_back({ key, account.mLimiter->Demand(now) });
    }
  }
  return byHome;
}

void
AccountLimitService::AskHome(ThreadContext& aThread,
                             const ControlView& aView,
                             const DaemonId& aHome,
                             const std::vector<Asked>& aAsked)
{
  const auto askedAt = MonotonicNow();
  if (aHome == aView.mSelf) {
    for (const auto& it : aAsked) {
      TakeLease(aView, it.mKey, Grant(it.mKey, aHome, it.mDemand), askedAt);
    }
    return;
  }
  const auto* peer = aView.FindMember(aHome);
  if (peer == nullptr) {
    return;
  }
  auto accounts = Json::array();
  for (const auto& it : aAsked) {
    accounts.push_back({ { "product", it.mKey.first.Text() },
                         { "account", it.mKey.second.Text() },
                         { "demand", it.mDemand } });
  }
  const auto reply = aThread.Peers().Call(
    *peer,
    kRenewMethod,
    { { "daemon", aView.mSelf.Text() }, { "accounts", std::move(accounts) } },
    kRenewTimeout);
  if (!reply) {
    return;
  }
  JsonFields fields(reply.value());
  const auto& leases = fields.List("leases");
  for (std::size_t n = 0; n < std::min(leases.size(), aAsked.size()); ++n) {
    JsonFields lease(leases[n]);
    const ShareLease got{ lease.Real("share"),
                          std::chrono::milliseconds(
                            lease.Unsigned32("length_ms")) };
    if (lease.Check()) {
      TakeLease(aView, aAsked[n].mKey, got, askedAt);
    }
  }
}

void
AccountLimitService::TakeLease(const ControlView& aView,
                               const Key& aKey,
                               const ShareLease& aLease,
                               Instant aAskedAt)
{
  const auto now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  const auto it = mAccounts.find(aKey);
  const auto end = aAskedAt + aLease.mLength;
  if (it == mAccounts.end() || end <= now) {
    return;
  }
  it->second.mLeaseEnd = end;
  it->second.mLimiter->SetShare(
    aLease.mShare + FloorShare(aView.mMembers.size()), now);
}

ShareLease
AccountLimitService::Grant(const Key& aKey,
                           const DaemonId& aDaemon,
                           double aDemand)
{
  const auto now = MonotonicNow();
  const auto view = mViews.Load();
  const std::lock_guard lock(mMutex);
  NoteHomes(*view, now);
  if (!mHomed.contains(aKey) && mHomed.size() >= kMaxHomed) {
    return {};
  }
  auto& homed = mHomed[aKey];
  if (homed.mAllocator == nullptr) {
    homed.mAllocator = MakeWeightedShareAllocator(kLeaseLength, mHomesSince);
  }
  homed.mLastSeen = now;
  return homed.mAllocator->Renew(aDaemon, aDemand, now);
}

void
AccountLimitService::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(kRenewMethod,
               [this](const Json& aParams) { return ServeRenew(aParams); });
}

Result<Json>
AccountLimitService::ServeRenew(const Json& aParams)
{
  JsonFields fields(aParams);
  const DaemonId daemon(fields.Text("daemon"));
  auto leases = Json::array();
  for (const auto& it : fields.List("accounts")) {
    JsonFields account(it);
    const Key key{ ProductId(account.Text("product")),
                   AccountId(account.Text("account")) };
    const double demand = account.Real("demand");
    if (auto ok = account.Check(); !ok) {
      return std::move(ok).error();
    }
    const auto lease = Grant(key, daemon, demand);
    leases.push_back(
      { { "share", lease.mShare },
        { "length_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(lease.mLength)
            .count() } });
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  return Json{ { "leases", std::move(leases) } };
}

} // namespace bilberrytrail
