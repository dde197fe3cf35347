#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/entry/site_config.h>

#include <cstdint>
#include <deque>
#include <map>

namespace bilberrytrail {

// The share of repeated sends that all daemons together may make.
struct RetryMeterSettings
{
  // Repeats allowed for each request of the window.
  double mRatio = 0.2;
  // Repeats allowed besides in each window, by all daemons together.
  double mSlack = 50;
  Duration mWindow = 10s;
  // Part of the allowance that is used, since the daemons count apart.
  double mUse = 0.8;
};

// Bounds how often this daemon sends a request once more, per service and
// sliding window, so that the daemons together stay within the site's
// allowance without talking: each takes the ratio of its own requests and an
// equal part of the slack. A daemon that has just started takes the slack by
// and by over a window: the process before it may have used it up.
class RetryMeter
{
public:
  // aStart is the start of this daemon.
  RetryMeter(const RetryMeterSettings& aSettings, Instant aStart) noexcept
    : mSettings(aSettings)
    , mStartedAt(aStart)
  {
  }

  // Returns how many repeats are allowed now.
  [[nodiscard]] double Allowance(const ServiceId& aService, Instant aNow);

  // Sets the number of daemons that share the slack; at least 1.
  void SetDaemons(std::size_t aDaemons) noexcept;
  // Counts a request's first send.
  void AddRequest(const ServiceId& aService, Instant aNow);
  // Takes one repeat, or returns false.
  [[nodiscard]] bool TryRepeat(const ServiceId& aService, Instant aNow);

private:
  // Sends of a tenth of the window.
  struct Slice
  {
    std::int64_t mNumber = 0;
    std::uint64_t mRequests = 0;
    std::uint64_t mRepeats = 0;
  };
  using Slices = std::deque<Slice>;

  [[nodiscard]] Slice& Current(Slices& aSlices, Instant aNow) const;

  // Number of daemons assumed before it is known; more than small sites have.
  static constexpr std::size_t kUnknownDaemons = 16;

  RetryMeterSettings mSettings;
  std::size_t mDaemons = kUnknownDaemons;
  Instant mStartedAt;
  std::map<ServiceId, Slices> mServices;
};

} // namespace bilberrytrail
