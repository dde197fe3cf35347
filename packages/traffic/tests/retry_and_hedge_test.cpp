#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/hedge_policy.h>

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 1000s };
const std::vector<ServerId> kServers = { ServerId("a"),
                                         ServerId("b"),
                                         ServerId("c") };

RetryQuery
Query()
{
  return { true, 100, 1s, kStart + 10s, { ServerId("a") }, kServers };
}

} // namespace

TEST_CASE(
  "a retry needs an idempotent request, time, another server and budget")
{
  struct Row
  {
    std::string mName;
    RetryQuery mQuery;
    double mBudget;
    RetryVerdict mVerdict;
  };
  auto notIdempotent = Query();
  notIdempotent.mIdempotent = false;
  auto late = Query();
  late.mDeadline = kStart + 999ms;
  auto allTried = Query();
  allTried.mTried = kServers;
  const Row rows[] = {
    { "allowed", Query(), 100, RetryVerdict::Retry },
    { "not idempotent", notIdempotent, 100, RetryVerdict::NotIdempotent },
    { "deadline too close", late, 100, RetryVerdict::DeadlineTooClose },
    { "all servers tried", allTried, 100, RetryVerdict::NoOtherServer },
    { "no budget", Query(), 99, RetryVerdict::BudgetSpent },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    ExtraWorkBudget budget(kMaxExtraWorkShare, row.mBudget, 1000);
    const auto decision =
      MakeBudgetedRetryPolicy(budget)->Decide(row.mQuery, kStart);
    CHECK(decision.mVerdict == row.mVerdict);
    const bool retried = row.mVerdict == RetryVerdict::Retry;
    CHECK(decision.mServers.size() == (retried ? 2 : 0));
    CHECK(budget.AvailableTokens() == (retried ? 0 : row.mBudget));
    CHECK(MakeNoRetryPolicy()->Decide(row.mQuery, kStart).mVerdict ==
          RetryVerdict::Disabled);
  }
}

TEST_CASE("only late, short, idempotent requests are hedged")
{
  struct Row
  {
    std::string mName;
    WorkClass mClass;
    bool mIdempotent;
    std::size_t mTried;
    Duration mAfter;
    bool mHedged;
  };
  const Row rows[] = {
    { "late read", WorkClass::Read, true, 1, 200ms, true },
    { "late short answer", WorkClass::Short, true, 1, 200ms, true },
    { "not late yet", WorkClass::Short, true, 1, 199ms, false },
    { "draft", WorkClass::Draft, true, 1, 200ms, false },
    { "not idempotent", WorkClass::Read, false, 1, 200ms, false },
    { "already hedged", WorkClass::Short, true, 2, 200ms, false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    ExtraWorkBudget budget(kMaxExtraWorkShare, 1000, 1000);
    HedgeQuery query{ row.mClass, Query(), kStart, 100ms };
    query.mRequest.mIdempotent = row.mIdempotent;
    query.mRequest.mTried.assign(kServers.begin(),
                                 kServers.begin() +
                                   static_cast<std::ptrdiff_t>(row.mTried));
    const auto policy = MakeBudgetedHedgePolicy(budget, { 2, {} });
    const auto servers = policy->Hedge(query, kStart + row.mAfter);
    CHECK(!servers.empty() == row.mHedged);
    CHECK(budget.AvailableTokens() == (row.mHedged ? 900 : 1000));
    CHECK(MakeNoHedgePolicy()->Hedge(query, kStart + row.mAfter).empty());
  }
}

TEST_CASE("retries and hedges together add at most 10% of the work")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    Random random(seed);
    ExtraWorkBudget budget(kMaxExtraWorkShare, 0, 5000);
    const auto retries = MakeBudgetedRetryPolicy(budget);
    const auto hedges = MakeBudgetedHedgePolicy(budget, { 2, {} });
    double work = 0;
    double extra = 0;
    for (int n = 0; n < 10000; ++n) {
      auto query = Query();
      query.mCostTokens = 10 + static_cast<double>(random.Below(500));
      budget.AddRequest(query.mCostTokens);
      work += query.mCostTokens;
      // All servers are slow and half of the attempts fail.
      const HedgeQuery late{ WorkClass::Short, query, kStart, 100ms };
      if (!hedges->Hedge(late, kStart + 1s).empty()) {
        extra += query.mCostTokens;
      }
      if (random.Below(2) == 0 &&
          retries->Decide(query, kStart).mVerdict == RetryVerdict::Retry) {
        extra += query.mCostTokens;
      }
      REQUIRE(extra <= kMaxExtraWorkShare * work + 1e-6);
    }
    CHECK(extra > 0.09 * work);
  }
}
