#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <memory>
#include <vector>

namespace bilberrytrail {

// Limits the extra work of retries and hedges together to a share of the work
// of requests. Over any period, the extra work is at most share * work +
// reserve.
//
//   budget.AddRequest(costTokens);
//   if (budget.TrySpend(costTokens)) { ... }
class ExtraWorkBudget
{
public:
  // aShare is the ratio of extra work to work, aReserveTokens the initial
  // budget and aMaxTokens the most that accumulates.
  ExtraWorkBudget(double aShare,
                  double aReserveTokens,
                  double aMaxTokens) noexcept;

  [[nodiscard]] double AvailableTokens() const noexcept { return mTokens; }

  // Counts the first attempt of a request.
  void AddRequest(double aCostTokens) noexcept;
  // Debits the cost of one further attempt. Returns false, and debits nothing,
  // when the budget does not cover it.
  [[nodiscard]] bool TrySpend(double aCostTokens) noexcept;

private:
  double mShare;
  double mMaxTokens;
  double mTokens;
};

// Maximum extra work of retries and hedges together as a share of the work of
// requests.
inline constexpr double kMaxExtraWorkShare = 0.1;

// A request with a failed attempt.
struct RetryQuery
{
  bool mIdempotent = false;
  double mCostTokens = 1;
  // Estimated time from now to the complete answer.
  Duration mService{};
  Instant mDeadline = Instant::max();
  // Servers that the request was sent to.
  std::vector<ServerId> mTried;
  // Servers that could serve it.
  std::vector<ServerId> mCandidates;
};

// Whether a request is retried, or why not.
enum class RetryVerdict : unsigned char
{
  Retry,
  NotIdempotent,
  DeadlineTooClose,
  NoOtherServer,
  BudgetSpent,
  Disabled
};

template<>
struct EnumNames<RetryVerdict>
{
  static constexpr std::array<std::string_view, 6> kNames{
    "retry",           "not_idempotent", "deadline_too_close",
    "no_other_server", "budget_spent",   "disabled"
  };
};

// A verdict and, with Retry, the servers to choose from, without those already
// tried.
struct RetryDecision
{
  RetryVerdict mVerdict = RetryVerdict::Disabled;
  std::vector<ServerId> mServers;
};

// Decides whether a failed attempt is followed by another.
class RetryPolicy
{
public:
  virtual ~RetryPolicy() = default;

  // Debits the cost from the budget when the verdict is Retry.
  [[nodiscard]] virtual RetryDecision Decide(const RetryQuery& aQuery,
                                             Instant aNow) = 0;
};

// Returns a policy that retries idempotent requests within their deadline, on
// servers not tried before, within the budget. The budget must outlive the
// policy.
[[nodiscard]] std::unique_ptr<RetryPolicy>
MakeBudgetedRetryPolicy(ExtraWorkBudget& aBudget);

// Returns the baseline, which never retries.
[[nodiscard]] std::unique_ptr<RetryPolicy>
MakeNoRetryPolicy();

} // namespace bilberrytrail
