#pragma once

#include <bilberrytrail/entry/server_limits.h>

#include <map>
#include <optional>

namespace bilberrytrail {

// Paces the requests of one sender to servers that name a rate limit: at most
// the sender's share of the limit, evenly spaced except for short bursts. Not
// thread-safe.
//
//   RateGate gate(limits);
//   gate.SetShare(0.25);
//   if (gate.WaitFor(server, now) == Duration(0)) {
//     gate.Take(server, now);
//   }
class RateGate
{
public:
  // Time over which a share smaller than one request counts as none, for
  // senders whose share depends on the number of senders.
  static constexpr Duration kWindow = 4s;

  explicit RateGate(const ServerLimits& aLimits)
    : mLimits(aLimits)
  {
  }

  // Returns the time until the server takes a request from this sender; 0 for a
  // server without a limit, and nothing when the sender's share is too small.
  [[nodiscard]] std::optional<Duration> WaitFor(const ServerId& aServer,
                                                Instant aNow) const;
  // Returns whether the server takes a request now.
  [[nodiscard]] bool IsOpen(const ServerId& aServer, Instant aNow) const;

  // Sets the share of a limit that this sender may use, from 0 to 1.
  void SetShare(double aShare) noexcept { mShare = aShare; }
  // Sets the fewest requests in kWindow for which a share is used at all, so
  // that many senders with small shares do not add up to a burst.
  void SetMinRequests(double aRequests) noexcept { mMinRequests = aRequests; }
  // Records that a request is sent to the server.
  void Take(const ServerId& aServer, Instant aNow);
  // Returns the Retry-After for a caller whose request the server does not take
  // now. Each caller gets a later time, at the rate at which the server takes
  // requests.
  [[nodiscard]] Duration PromiseReturn(const ServerId& aServer, Instant aNow);

private:
  struct Schedule
  {
    // When the next request is due.
    Instant mNextAt;
    // Latest time at which a refused caller was told to return.
    Instant mPromisedAt;
  };

  // Returns the requests per second of this sender; 0 for none.
  [[nodiscard]] double RateOf(const ServerLimit& aLimit) const noexcept;
  [[nodiscard]] Instant NextAt(const ServerId& aServer,
                               const ServerLimit& aLimit) const;

  const ServerLimits& mLimits;
  double mShare = 1;
  double mMinRequests = 0;
  std::map<ServerId, Schedule> mSchedules;
};

} // namespace bilberrytrail
