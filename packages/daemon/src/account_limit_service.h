#pragma once

#include "control_view.h"
#include "thread_context.h"

#include <bilberrytrail/runtime/rpc.h>
#include <bilberrytrail/traffic/account_limits.h>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace bilberrytrail {

// Holds client accounts to their limits over all daemons: uses this daemon's
// share of each account's limits, leases shares from the accounts' homes, and
// gives shares out for the accounts that this daemon is home to. Thread-safe.
//
//   auto admission = limits.Admit(view, account, costTokens);
//   if (admission.mVerdict != LimitVerdict::Admitted) { ... refuse ... }
class AccountLimitService
{
public:
  explicit AccountLimitService(const ControlViewHolder& aViews);

  // Admits a request, which has to be ended with End, or says when to come
  // back.
  [[nodiscard]] LimitDecision Admit(const ControlView& aView,
                                    const AccountView& aAccount,
                                    double aCostTokens);
  void End(const AccountView& aAccount);

  // Renews the leases of accounts with recent traffic until the loop stops.
  void Run(ThreadContext& aThread);
  // Adds the calls that other daemons make.
  void AddMethods(RpcMethods& aMethods);

private:
  using Key = std::pair<ProductId, AccountId>;

  // An account with traffic on this daemon.
  struct Account
  {
    AccountLimits mLimits;
    std::unique_ptr<AccountLimiter> mLimiter;
    std::uint32_t mRunning = 0;
    Instant mLastSeen{};
    Instant mLeaseEnd{};
  };

  // An account that this daemon is home to.
  struct Homed
  {
    std::unique_ptr<ShareAllocator> mAllocator;
    Instant mLastSeen{};
  };

  // One account for which a lease is asked, and its demand.
  struct Asked
  {
    Key mKey;
    double mDemand = 0;
  };

  [[nodiscard]] Account& Find(const ControlView& aView,
                              const Key& aKey,
                              Instant aNow);
  void RemoveIdle(Instant aNow);
  // Returns the accounts to ask for by their home.
  [[nodiscard]] std::map<DaemonId, std::vector<Asked>> CollectAsked(
    const ControlView& aView);
  void AskHome(ThreadContext& aThread,
               const ControlView& aView,
               const DaemonId& aHome,
               const std::vector<Asked>& aAsked);
  void TakeLease(const ControlView& aView,
                 const Key& aKey,
                 const ShareLease& aLease,
                 Instant aAskedAt);
  [[nodiscard]] ShareLease Grant(const Key& aKey,
                                 const DaemonId& aDaemon,
                                 double aDemand);
  [[nodiscard]] Result<Json> ServeRenew(const Json& aParams);
  // Notes when the daemons among which homes are chosen have changed.
  void NoteHomes(const ControlView& aView, Instant aNow);

  const ControlViewHolder& mViews;
  std::mutex mMutex;
  // Wakes the fiber that renews.
  std::shared_ptr<Event> mWake;
  std::vector<DaemonId> mHomes;
  Instant mHomesSince{};
  std::map<Key, Account> mAccounts;
  std::map<Key, Homed> mHomed;
};

// An admitted request; ends it in its destructor.
class Admission
{
public:
  Admission(AccountLimitService& aLimits, AccountView aAccount)
    : mLimits(&aLimits)
    , mAccount(std::move(aAccount))
  {
  }
  ~Admission() { mLimits->End(mAccount); }
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

private:
  AccountLimitService* mLimits;
  AccountView mAccount;
};

} // namespace bilberrytrail
