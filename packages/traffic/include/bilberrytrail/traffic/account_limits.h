#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bilberrytrail {

// Limits of one client account over all daemons. Zero means no limit.
struct AccountLimits
{
  double mRequestsPerSecond = 0;
  double mTokensPerSecond = 0;
  double mConcurrency = 0;
  // Time over which an unused rate accumulates into a burst.
  Duration mBurst = 1s;
};

// Token bucket: fills at a constant rate and is debited by admitted work.
class TokenBucket
{
public:
  // aRate is in tokens per second. The capacity is aRate * aBurst, but at least
  // one token. The bucket starts full.
  TokenBucket(double aRate, Duration aBurst, Instant aNow) noexcept;

  // Returns the time until aAmount is available, or until the bucket is full
  // for an amount above its capacity; zero when that is so already.
  [[nodiscard]] Duration WaitFor(double aAmount, Instant aNow) const noexcept;

  // Debits aAmount. An amount above the capacity is allowed when the bucket is
  // full, and leaves a negative balance.
  void Take(double aAmount, Instant aNow) noexcept;
  void SetRate(double aRate, Duration aBurst, Instant aNow) noexcept;
  // Sets a higher rate and credits the increase in capacity.
  void RaiseRate(double aRate, Duration aBurst, Instant aNow) noexcept;

private:
  [[nodiscard]] double LevelAt(Instant aNow) const noexcept;
  [[nodiscard]] double Capacity() const noexcept;

  double mRate;
  Duration mBurst;
  double mLevel;
  Instant mAt;
};

// Result of checking a request against its account's limits.
enum class LimitVerdict : unsigned char
{
  Admitted,
  RequestRate,
  TokenRate,
  Concurrency
};

template<>
struct EnumNames<LimitVerdict>
{
  static constexpr std::array<std::string_view, 4> kNames{ "admitted",
                                                           "request_rate",
                                                           "token_rate",
                                                           "concurrency" };
};

// A verdict and, unless it is Admitted, the time after which to retry.
struct LimitDecision
{
  LimitVerdict mVerdict = LimitVerdict::Admitted;
  Duration mRetryAfter{};
};

// Enforces this daemon's share of one client account's limits.
class AccountLimiter
{
public:
  virtual ~AccountLimiter() = default;

  // Admits a request of the estimated cost, or returns the limit that it
  // exceeds and the time after which to retry.
  [[nodiscard]] virtual LimitDecision Admit(double aCostTokens,
                                            Instant aNow) = 0;
  // Records that an admitted request has finished.
  virtual void End() = 0;
  // Sets the share, from 0 to 1, of the account's limits. The first increase
  // above the initial share credits the larger burst at once. Later increases
  // only refill at the new rate, so that a share that moves between daemons
  // does not add a burst each time.
  virtual void SetShare(double aShare, Instant aNow) = 0;
  // Returns the share of the account's limits that would have admitted all
  // requests offered recently; above 1 when they exceeded the limits.
  [[nodiscard]] virtual double Demand(Instant aNow) const = 0;
};

[[nodiscard]] std::unique_ptr<AccountLimiter>
MakeAccountLimiter(const AccountLimits& aLimits, double aShare, Instant aNow);

// Returns the baseline, which admits everything.
[[nodiscard]] std::unique_ptr<AccountLimiter>
MakeNoAccountLimiter();

// A daemon's share of an account's limits for a limited time. The daemon counts
// the time from when it requested the lease, so that it stops using the share
// no later than the allocator expects.
struct ShareLease
{
  double mShare = 0;
  Duration mLength{};
};

// Divides one account's limits among the daemons; runs at the account's home
// daemon. Each daemon uses the share of its lease plus FloorShare().
//
// Bound: unexpired leases granted by one home add up to at most 1 -
// kFloorFraction, and the floors to at most kFloorFraction. A daemon may keep
// using an older lease when the reply with a new one is lost; the larger of the
// two counts until it expires. A new home grants nothing for the duration of
// one lease, so that the bound holds while the home moves. Two daemons that
// both consider themselves home, because they see different members, can
// together grant at most twice as much. Concurrency is rounded up to one
// request for each daemon.
class ShareAllocator
{
public:
  virtual ~ShareAllocator() = default;

  // Records a daemon's demand, see AccountLimiter::Demand, and returns its new
  // lease.
  [[nodiscard]] virtual ShareLease Renew(const DaemonId& aDaemon,
                                         double aDemand,
                                         Instant aNow) = 0;
  // Returns the sum of the shares that may be in use: the largest unexpired
  // lease of each daemon.
  [[nodiscard]] virtual double Outstanding(Instant aNow) const = 0;
};

// Fraction of each limit that is reserved for daemons without a lease.
inline constexpr double kFloorFraction = 0.1;

// Returns the share that a daemon may use in addition to its lease. The floors
// of daemons that see the same number of members add up to at most
// kFloorFraction.
[[nodiscard]] double
FloorShare(std::size_t aDaemons) noexcept;

// Returns an allocator that weighs shares by demand: max-min fair up to each
// daemon's demand. Half of what no daemon demands is divided evenly, the other
// half in proportion to demand. aNow is the time at which this daemon became
// home.
[[nodiscard]] std::unique_ptr<ShareAllocator>
MakeWeightedShareAllocator(Duration aLease, Instant aNow);

// Returns the baseline, which gives each daemon an equal share.
[[nodiscard]] std::unique_ptr<ShareAllocator>
MakeEqualShareAllocator(std::size_t aDaemons, Duration aLease);

} // namespace bilberrytrail
