#include <bilberrytrail/base/random.h>
#include <bilberrytrail/traffic/account_limits.h>

#include <doctest/doctest.h>

#include <cmath>
#include <string>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 1000s };

DaemonId
Daemon(std::size_t aNumber)
{
  return DaemonId("d" + std::to_string(aNumber));
}

} // namespace

TEST_CASE("each limit of an account is enforced")
{
  struct Row
  {
    std::string mName;
    AccountLimits mLimits;
    double mShare;
    double mCost;
    // Offered at once.
    int mOffered;
    int mAdmitted;
    LimitVerdict mLast;
  };
  const Row rows[] = {
    { "no limits", {}, 1, 1000, 100, 100, LimitVerdict::Admitted },
    { "request rate", { 10, 0, 0 }, 1, 1, 20, 10, LimitVerdict::RequestRate },
    { "request rate with half the share",
      { 10, 0, 0 },
      0.5,
      1,
      20,
      5,
      LimitVerdict::RequestRate },
    { "token rate", { 0, 1000, 0 }, 1, 100, 20, 10, LimitVerdict::TokenRate },
    { "one request above the burst",
      { 0, 1000, 0 },
      1,
      5000,
      2,
      1,
      LimitVerdict::TokenRate },
    { "concurrency", { 0, 0, 4 }, 1, 1, 9, 4, LimitVerdict::Concurrency },
    { "concurrency with a small share is at least one",
      { 0, 0, 4 },
      0.1,
      1,
      9,
      1,
      LimitVerdict::Concurrency },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto limiter = MakeAccountLimiter(row.mLimits, row.mShare, kStart);
    int admitted = 0;
    LimitDecision last;
    for (int n = 0; n < row.mOffered; ++n) {
      last = limiter->Admit(row.mCost, kStart);
      admitted += last.mVerdict == LimitVerdict::Admitted ? 1 : 0;
    }
    CHECK(admitted == row.mAdmitted);
    CHECK(last.mVerdict == row.mLast);
    if (last.mVerdict == LimitVerdict::Admitted) {
      continue;
    }
    CHECK(last.mRetryAfter > Duration());
    limiter->End();
    CHECK(limiter->Admit(row.mCost, kStart + last.mRetryAfter).mVerdict ==
          LimitVerdict::Admitted);
    CHECK(MakeNoAccountLimiter()->Admit(row.mCost, kStart).mVerdict ==
          LimitVerdict::Admitted);
  }
}

TEST_CASE("only the first share increase credits its burst")
{
  struct Row
  {
    double mShare;
    Duration mAt;
    // Requests that are admitted immediately.
    int mAdmitted;
  };
  // 100 requests/s with a burst of 1 s.
  const Row rows[] = {
    { 0.001, 0ms, 1 },  { 0.5, 2ms, 49 },   { 0.5, 1002ms, 50 },
    { 0.1, 1003ms, 0 }, { 0.5, 1004ms, 0 }, { 1, 1005ms, 0 },
  };
  const AccountLimits limits{ 100, 0, 0, 1s };
  const auto limiter = MakeAccountLimiter(limits, rows[0].mShare, kStart);
  for (const auto& row : rows) {
    CAPTURE(ToMillis(row.mAt));
    limiter->SetShare(row.mShare, kStart + row.mAt);
    int admitted = 0;
    while (limiter->Admit(1, kStart + row.mAt).mVerdict ==
           LimitVerdict::Admitted) {
      ++admitted;
    }
    CHECK(admitted == row.mAdmitted);
  }
}

TEST_CASE("demand is a share of the most exceeded limit")
{
  const auto limiter = MakeAccountLimiter({ 100, 1000, 0 }, 1, kStart);
  for (int n = 0; n < 200; ++n) {
    (void)limiter->Admit(50, kStart + n * 50ms);
  }
  // 20 requests a second of 100, 1000 tokens a second of 1000.
  CHECK(limiter->Demand(kStart + 10s) == doctest::Approx(1).epsilon(0.05));
  CHECK(limiter->Demand(kStart + 30s) < 0.01);
}

TEST_CASE("leased shares never add up to more than the limit")
{
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    CAPTURE(seed);
    Random random(seed);
    const auto allocator = MakeWeightedShareAllocator(1s, kStart);
    // The lease that each daemon uses: the newest one whose reply was not lost.
    struct InUse
    {
      double mShare = 0;
      Instant mExpires;
    };
    std::vector<InUse> inUse(8);
    for (auto now = kStart; now < kStart + 60s; now += 10ms) {
      const auto n = random.Below(inUse.size());
      const auto lease = allocator->Renew(Daemon(n), random.Unit() * 3, now);
      if (random.Below(4) != 0) {
        inUse[n] = { lease.mShare, now + lease.mLength };
      }
      double sum = 0;
      for (const auto& use : inUse) {
        sum += use.mExpires > now ? use.mShare : 0;
      }
      REQUIRE(sum <= 1 - kFloorFraction + 1e-9);
      REQUIRE(sum <= allocator->Outstanding(now) + 1e-9);
    }
  }
}

TEST_CASE("a new home grants nothing until the old home's leases have expired")
{
  const auto before = MakeWeightedShareAllocator(1s, kStart - 10s);
  CHECK(before->Renew(Daemon(0), 2, kStart).mShare ==
        doctest::Approx(1 - kFloorFraction));
  const auto after = MakeWeightedShareAllocator(1s, kStart);
  CHECK(after->Renew(Daemon(1), 2, kStart + 999ms).mShare == 0);
  CHECK(before->Outstanding(kStart + 999ms) > 0);
  CHECK(before->Outstanding(kStart + 1s) == 0);
  CHECK(after->Renew(Daemon(1), 2, kStart + 1s).mShare > 0.4);
}

TEST_CASE("weighted shares admit uneven load that equal shares refuse")
{
  struct Row
  {
    std::string mName;
    // Requests per second offered through each daemon; the limit is 100.
    std::vector<double> mOffered;
    double mMinWeighted;
    double mMaxEqual;
  };
  const Row rows[] = {
    { "all through one daemon", { 100, 0, 0, 0, 0, 0, 0, 0 }, 0.85, 0.2 },
    { "uneven", { 50, 20, 10, 5, 5, 5, 5, 0 }, 0.85, 0.7 },
    { "even", { 13, 13, 13, 13, 12, 12, 12, 12 }, 0.85, 1.05 },
    { "above the limit", { 200, 50, 50, 0, 0, 0, 0, 0 }, 0.85, 0.5 },
  };
  const auto run =
    [](const Row& aRow, ShareAllocator& aAllocator, double aFloor) {
      std::vector<std::unique_ptr<AccountLimiter>> limiters;
      for (std::size_t n = 0; n < aRow.mOffered.size(); ++n) {
        limiters.push_back(MakeAccountLimiter({ 100, 0, 0 }, 0, kStart));
      }
      Random random(5);
      int admitted = 0;
      for (auto now = kStart; now < kStart + 60s; now += 1ms) {
        for (std::size_t n = 0; n < limiters.size(); ++n) {
          if ((now - kStart) % 500ms == Duration()) {
            const auto lease =
              aAllocator.Renew(Daemon(n), limiters[n]->Demand(now), now);
            limiters[n]->SetShare(lease.mShare + aFloor, now);
          }
          if (random.Unit() * 1000 < aRow.mOffered[n] &&
              limiters[n]->Admit(1, now).mVerdict == LimitVerdict::Admitted) {
            admitted += now >= kStart + 10s ? 1 : 0;
          }
        }
      }
      // Share of the limit over the last 50 s.
      return admitted / 5000.0;
    };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto weighted = MakeWeightedShareAllocator(1s, kStart - 1s);
    const auto equal = MakeEqualShareAllocator(8, 1s);
    const auto weightedPart = run(row, *weighted, FloorShare(8));
    const auto equalPart = run(row, *equal, 0);
    MESSAGE(row.mName << ": admitted of the limit, weighted " << weightedPart
                      << ", equal " << equalPart);
    CHECK(weightedPart >= row.mMinWeighted);
    CHECK(weightedPart <= 1.02);
    CHECK(equalPart <= row.mMaxEqual);
  }
}
