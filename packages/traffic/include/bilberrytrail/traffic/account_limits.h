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
  // Time for which an unused rate is saved up.
  Duration mBurst = 1s;
};

// Bucket that fills at a rate and from which work is taken.
class TokenBucket
{
public:
  // aRate is per second; aRate * aBurst is the most that is saved up.
  TokenBucket(double aRate, Duration aBurst, Instant aNow) noexcept;

  // Returns how long until the amount is there; zero when it is.
  [[nodiscard]] Duration WaitFor(double aAmount, Instant aNow) const noexcept;

  // Takes the amount. An amount above the burst is allowed when the bucket is
  // full, and leaves a debt.
  void Take(double aAmount, Instant aNow) noexcept;
  void SetRate(double aRate, Duration aBurst, Instant aNow) noexcept;
  // Sets a higher rate, and fills the bucket by what it holds more.
  void Grow(double aRate, Duration aBurst, Instant aNow) noexcept;

private:
  [[nodiscard]] double LevelAt(Instant aNow) const noexcept;
  [[nodiscard]] double Capacity() const noexcept;

  double mRate;
  Duration mBurst;
  double mLevel;
  Instant mAt;
};

// Whether an account's request is within its limits.
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

// A verdict and, when it is not Admitted, when to come back.
struct LimitDecision
{
  LimitVerdict mVerdict = LimitVerdict::Admitted;
  Duration mRetryAfter{};
};

// Holds one client account to this daemon's share of its limits.
class AccountLimiter
{
public:
  virtual ~AccountLimiter() = default;

  // Admits a request of the estimated cost, or says when to come back.
  [[nodiscard]] virtual LimitDecision Admit(double aCostTokens,
                                            Instant aNow) = 0;
  // Notes the end of an admitted request.
  virtual void End() = 0;
  // Sets the share, from 0 to 1, of the account's limits. The first share above
  // that of the start brings its burst; later ones are filled at their rate, so
  // that a share that moves between daemons brings no burst each time.
  virtual void SetShare(double aShare, Instant aNow) = 0;
  // Returns the share of the account's limits that would admit all that was
  // offered lately; above 1 when more than the limits was offered.
  [[nodiscard]] virtual double Demand(Instant aNow) const = 0;
};

[[nodiscard]] std::unique_ptr<AccountLimiter>
MakeAccountLimiter(const AccountLimits& aLimits, double aShare, Instant aNow);

// Returns the baseline, which admits everything.
[[nodiscard]] std::unique_ptr<AccountLimiter>
MakeNoAccountLimiter();

// A daemon's share of an account's limits for a time. The daemon counts the
// time from when it asked for the lease, so that it stops using the share no
// later than the allocator expects.
struct ShareLease
{
  double mShare = 0;
  Duration mLength{};
};

// Divides one account's limits among the daemons; runs at the account's home
// daemon. Each daemon uses the share of its lease plus FloorShare().
//
// Bound: leases in force that one home granted never add up to more than
// 1 - kFloorFraction, and floors to kFloorFraction. A daemon may go on with an
// older lease when the reply with a new one is lost; both are counted until
// they run out. A new home grants nothing for the length of a lease, so that
// the bound holds while the home moves. Two daemons that both believe to be
// home, because they see different members, can together grant at most twice as
// much. Concurrency is rounded up to one request for each daemon.
class ShareAllocator
{
public:
  virtual ~ShareAllocator() = default;

  // Takes a daemon's demand, see AccountLimiter::Demand, and returns its new
  // lease.
  [[nodiscard]] virtual ShareLease Renew(const DaemonId& aDaemon,
                                         double aDemand,
                                         Instant aNow) = 0;
  // Returns the sum of shares that may be in use.
  [[nodiscard]] virtual double Outstanding(Instant aNow) const = 0;
};

// Part of each limit that is kept for daemons without a lease.
inline constexpr double kFloorFraction = 0.1;

// Returns the share that a daemon uses besides its lease. Over daemons that see
// the same number of members, floors add up to at most kFloorFraction.
[[nodiscard]] double
FloorShare(std::size_t aDaemons) noexcept;

// Returns an allocator that weighs shares by demand: each daemon gets at most
// what it needs, equal parts otherwise, and what is left is spread evenly.
// aNow is the time at which this daemon became home.
[[nodiscard]] std::unique_ptr<ShareAllocator>
MakeWeightedShareAllocator(Duration aLease, Instant aNow);

// Returns the baseline, which gives each of the daemons an equal share.
[[nodiscard]] std::unique_ptr<ShareAllocator>
MakeEqualShareAllocator(std::size_t aDaemons, Duration aLease);

} // namespace bilberrytrail
