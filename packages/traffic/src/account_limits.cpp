#include <bilberrytrail/traffic/account_limits.h>

#include <algorithm>
#include <cmath>

namespace bilberrytrail {
namespace {

// Time constant, in seconds, of the decaying average of the demand.
constexpr double kDemandAveragingSeconds = 2;
// Retry time returned when the concurrency limit is reached.
constexpr Duration kConcurrencyRetryAfter = 500ms;

double
Seconds(Duration aLength)
{
  return std::chrono::duration<double>(aLength).count();
}

// See MakeAccountLimiter.
class BucketAccountLimiter final : public AccountLimiter
{
public:
  BucketAccountLimiter(const AccountLimits& aLimits,
                       double aShare,
                       Instant aNow)
    : mLimits(aLimits)
    , mShare(aShare)
    , mRequests(aLimits.mRequestsPerSecond * aShare, aLimits.mBurst, aNow)
    , mTokens(aLimits.mTokensPerSecond * aShare, aLimits.mBurst, aNow)
    , mDemandAt(aNow)
  {
  }

  LimitDecision Admit(double aCostTokens, Instant aNow) override
  {
    RecordDemand(aCostTokens, aNow);
    if (mLimits.mConcurrency > 0 && mRunning >= ConcurrencyShare()) {
      return { LimitVerdict::Concurrency, kConcurrencyRetryAfter };
    }
    if (mLimits.mRequestsPerSecond > 0) {
      if (const auto wait = mRequests.WaitFor(1, aNow); wait > Duration()) {
        return { LimitVerdict::RequestRate, wait };
      }
    }
    if (mLimits.mTokensPerSecond > 0) {
      const auto wait = mTokens.WaitFor(aCostTokens, aNow);
      if (wait > Duration()) {
        return { LimitVerdict::TokenRate, wait };
      }
    }
    mRequests.Take(1, aNow);
    mTokens.Take(aCostTokens, aNow);
    ++mRunning;
    return {};
  }

  void End() override { mRunning = std::max(0.0, mRunning - 1); }

  void SetShare(double aShare, Instant aNow) override
  {
    const double requests = mLimits.mRequestsPerSecond * aShare;
    const double tokens = mLimits.mTokensPerSecond * aShare;
    if (!mHasRaisedShare && aShare > mShare) {
      mHasRaisedShare = true;
      mRequests.RaiseRate(requests, mLimits.mBurst, aNow);
      mTokens.RaiseRate(tokens, mLimits.mBurst, aNow);
    } else {
      mRequests.SetRate(requests, mLimits.mBurst, aNow);
      mTokens.SetRate(tokens, mLimits.mBurst, aNow);
    }
    mShare = aShare;
  }

  double Demand(Instant aNow) const override
  {
    const double decay = DemandDecay(aNow);
    return std::max({ Ratio(mRequestDemand * decay, mLimits.mRequestsPerSecond),
                      Ratio(mTokenDemand * decay, mLimits.mTokensPerSecond),
                      Ratio(mRunning, mLimits.mConcurrency) });
  }

private:
  static double Ratio(double aDemand, double aLimit)
  {
    return aLimit > 0 ? aDemand / aLimit : 0;
  }

  [[nodiscard]] double DemandDecay(Instant aNow) const
  {
    return std::exp(-Seconds(aNow - mDemandAt) / kDemandAveragingSeconds);
  }

  void RecordDemand(double aCostTokens, Instant aNow)
  {
    const double decay = DemandDecay(aNow);
    mRequestDemand = mRequestDemand * decay + 1 / kDemandAveragingSeconds;
    mTokenDemand = mTokenDemand * decay + aCostTokens / kDemandAveragingSeconds;
    mDemandAt = aNow;
  }

  // At least one, so that no daemon refuses all requests of an account.
  [[nodiscard]] double ConcurrencyShare() const
  {
    return std::max(1.0, std::floor(mLimits.mConcurrency * mShare + 1e-9));
  }

  AccountLimits mLimits;
  double mShare;
  bool mHasRaisedShare = false;
  TokenBucket mRequests;
  TokenBucket mTokens;
  double mRunning = 0;
  // Requests and tokens offered per second, as of mDemandAt.
  double mRequestDemand = 0;
  double mTokenDemand = 0;
  Instant mDemandAt;
};

// See MakeNoAccountLimiter.
class NoAccountLimiter final : public AccountLimiter
{
public:
  LimitDecision Admit(double /*aCostTokens*/, Instant /*aNow*/) override
  {
    return {};
  }
  void End() override {}
  void SetShare(double /*aShare*/, Instant /*aNow*/) override {}
  double Demand(Instant /*aNow*/) const override { return 0; }
};

} // namespace

TokenBucket::TokenBucket(double aRate, Duration aBurst, Instant aNow) noexcept
  : mRate(aRate)
  , mBurst(aBurst)
  , mLevel(Capacity())
  , mAt(aNow)
{
}

Duration
TokenBucket::WaitFor(double aAmount, Instant aNow) const noexcept
{
  const double deficit = std::min(aAmount, Capacity()) - LevelAt(aNow);
  if (deficit <= 0) {
    return Duration();
  }
  if (mRate <= 0) {
    return std::chrono::hours(1);
  }
  return Duration(1 + static_cast<std::int64_t>(deficit / mRate * 1e6));
}

void
TokenBucket::Take(double aAmount, Instant aNow) noexcept
{
  mLevel = LevelAt(aNow) - aAmount;
  mAt = aNow;
}

void
TokenBucket::SetRate(double aRate, Duration aBurst, Instant aNow) noexcept
{
  mLevel = LevelAt(aNow);
  mAt = aNow;
  mRate = aRate;
  mBurst = aBurst;
  mLevel = std::min(mLevel, Capacity());
}

void
TokenBucket::RaiseRate(double aRate, Duration aBurst, Instant aNow) noexcept
{
  const double before = Capacity();
  SetRate(aRate, aBurst, aNow);
  mLevel += std::max(Capacity() - before, 0.0);
}

double
TokenBucket::LevelAt(Instant aNow) const noexcept
{
  return std::min(Capacity(), mLevel + mRate * Seconds(aNow - mAt));
}

double
TokenBucket::Capacity() const noexcept
{
  // One request must fit even at the lowest rate.
  return std::max(1.0, mRate * Seconds(mBurst));
}

std::unique_ptr<AccountLimiter>
MakeAccountLimiter(const AccountLimits& aLimits, double aShare, Instant aNow)
{
  return std::make_unique<BucketAccountLimiter>(aLimits, aShare, aNow);
}

std::unique_ptr<AccountLimiter>
MakeNoAccountLimiter()
{
  return std::make_unique<NoAccountLimiter>();
}

} // namespace bilberrytrail
