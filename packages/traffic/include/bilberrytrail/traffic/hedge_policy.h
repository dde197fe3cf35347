#pragma once

#include <bilberrytrail/traffic/retry_budget.h>
#include <bilberrytrail/traffic/work_class.h>

#include <optional>

namespace bilberrytrail {

// A request that has been sent to one server and has not answered.
struct HedgeQuery
{
  WorkClass mClass = WorkClass::Short;
  RetryQuery mRequest;
  Instant mSent;
  // Estimated time from sending to the first token or answer.
  Duration mPredicted{};
};

// Decides whether a second attempt of a late request is sent beside the
// first. The first answer to begin wins; the other attempt is cancelled.
//
//   if (const auto at = policy->HedgeAt(query)) { ... wait until *at ... }
//   if (auto servers = policy->Hedge(query, now); !servers.empty()) { ... }
class HedgePolicy
{
public:
  virtual ~HedgePolicy() = default;

  // Counts the first attempt of a request.
  virtual void RecordRequest(double aCostTokens) = 0;
  // Returns when to ask Hedge(), or nothing when the request is never hedged.
  [[nodiscard]] virtual std::optional<Instant> HedgeAt(
    const HedgeQuery& aQuery) const = 0;
  // Returns the servers to choose the second one from; empty for no hedge.
  // Takes the cost from the budget when it is not empty.
  [[nodiscard]] virtual std::vector<ServerId> Hedge(const HedgeQuery& aQuery,
                                                    Instant aNow) = 0;
};

// When a request counts as late, and how many hedges there may be.
struct HedgeSettings
{
  // Multiple of the predicted time.
  double mFactor = 2;
  // Shorter times are within the noise of the network and of timers.
  Duration mMinDelay{};
  // Work of hedges alone over the work of requests, and what is available at
  // the start.
  double mShare = kMaxExtraWorkShare;
  double mReserveTokens = 10000;
};

// Returns a policy that hedges short idempotent work once it is late, within
// the budget, which must outlive it.
[[nodiscard]] std::unique_ptr<HedgePolicy>
MakeBudgetedHedgePolicy(ExtraWorkBudget& aBudget,
                        const HedgeSettings& aSettings);

// Returns the baseline, which never hedges.
[[nodiscard]] std::unique_ptr<HedgePolicy>
MakeNoHedgePolicy();

} // namespace bilberrytrail
