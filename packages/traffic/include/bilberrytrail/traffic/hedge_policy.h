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

  // Returns when to ask Hedge(), or nothing when the request is never hedged.
  [[nodiscard]] virtual std::optional<Instant> HedgeAt(
    const HedgeQuery& aQuery) const = 0;
  // Returns the servers to choose the second one from; empty for no hedge.
  // Takes the cost from the budget when it is not empty.
  [[nodiscard]] virtual std::vector<ServerId> Hedge(const HedgeQuery& aQuery,
                                                    Instant aNow) = 0;
};

// Returns a policy that hedges short idempotent work once it has taken
// aFactor times its predicted time, within the budget, which must outlive it.
[[nodiscard]] std::unique_ptr<HedgePolicy>
MakeBudgetedHedgePolicy(ExtraWorkBudget& aBudget, double aFactor);

// Returns the baseline, which never hedges.
[[nodiscard]] std::unique_ptr<HedgePolicy>
MakeNoHedgePolicy();

} // namespace bilberrytrail
