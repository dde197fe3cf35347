#pragma once

#include <bilberrytrail/traffic/retry_budget.h>
#include <bilberrytrail/traffic/work_class.h>

#include <optional>

namespace bilberrytrail {

// A request that has been sent to one server and has no answer yet.
struct HedgeQuery
{
  WorkClass mClass = WorkClass::Short;
  RetryQuery mRequest;
  Instant mSent;
  // Estimated time from sending to the first token or answer.
  Duration mPredicted{};
};

// Decides whether a second attempt at a late request is sent in parallel to the
// first. The attempt whose answer starts first wins; the other is cancelled.
//
//   if (const auto at = policy->HedgeAt(query)) { ... wait until *at ... }
//   if (auto servers = policy->Hedge(query, now); !servers.empty()) { ... }
class HedgePolicy
{
public:
  virtual ~HedgePolicy() = default;

  // Counts the first attempt of a request.
  virtual void RecordRequest(double aCostTokens) = 0;
  // Returns when to call Hedge(), or nullopt when the request is never hedged.
  [[nodiscard]] virtual std::optional<Instant> HedgeAt(
    const HedgeQuery& aQuery) const = 0;
  // Returns the servers from which to choose the one for the hedge; empty for
  // no hedge. Debits the cost from the budget unless the result is empty.
  [[nodiscard]] virtual std::vector<ServerId> Hedge(const HedgeQuery& aQuery,
                                                    Instant aNow) = 0;
};

// When a request counts as late, and the budget for hedges.
struct HedgeSettings
{
  // Multiple of the predicted time after which a request is late.
  double mFactor = 2;
  // Minimum time before a hedge; shorter times are within the jitter of the
  // network and of timers.
  Duration mMinDelay{};
  // Maximum work of hedges as a share of the work of requests, and the initial
  // budget.
  double mShare = kMaxExtraWorkShare;
  double mReserveTokens = 10000;
};

// Returns a policy that hedges short idempotent requests once they are late,
// within the budget. The budget must outlive the policy.
[[nodiscard]] std::unique_ptr<HedgePolicy>
MakeBudgetedHedgePolicy(ExtraWorkBudget& aBudget,
                        const HedgeSettings& aSettings);

// Returns the baseline, which never hedges.
[[nodiscard]] std::unique_ptr<HedgePolicy>
MakeNoHedgePolicy();

} // namespace bilberrytrail
