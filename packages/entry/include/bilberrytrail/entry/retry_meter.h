#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/entry/site_config.h>

#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace bilberrytrail {

// Limits of the retries that all daemons together may make.
struct RetryMeterSettings
{
  // Retries allowed for each request of the window.
  double mRatio = 0.2;
  // Additional retries allowed in each window, for all daemons together.
  double mSlack = 50;
  Duration mWindow = 10s;
  // Share of the allowance that is used, since the daemons count independently.
  double mUsedShare = 0.8;
  // Share that is used in the first window after the start: the processes
  // before may have used their own in the same window.
  double mStartShare = 0.15;
};

// Limits the retries of this daemon per service in a sliding window, so that
// all daemons together stay within the site's allowance in each span of that
// length, without exchanging messages: each takes the ratio of its own requests
// and an equal part of the slack. Retries are counted for somewhat longer than
// the window, and requests for somewhat shorter, since counts are kept in
// slices. A daemon that has just started takes a small share for one window,
// and its slack grows meanwhile. When daemons leave, the others take over their
// part of the slack one window later.
class RetryMeter
{
public:
  // aStart is the time at which this daemon started.
  RetryMeter(const RetryMeterSettings& aSettings, Instant aStart) noexcept
    : mSettings(aSettings)
    , mStartedAt(aStart)
  {
  }

  // Returns the number of retries that are allowed now.
  [[nodiscard]] double Allowance(const ServiceId& aService, Instant aNow);

  // Sets the number of daemons that share the slack; at least 1.
  void SetDaemons(std::size_t aDaemons, Instant aNow);
  // Counts the first send of a request.
  void AddRequest(const ServiceId& aService, Instant aNow);
  // Counts one retry and returns true, or returns false when none is allowed.
  [[nodiscard]] bool TryRetry(const ServiceId& aService, Instant aNow);

private:
  // Counts for a part of the window.
  struct Slice
  {
    std::int64_t mIndex = 0;
    std::uint64_t mRequests = 0;
    std::uint64_t mRetryCount = 0;
  };
  using Slices = std::deque<Slice>;

  [[nodiscard]] Slice& Current(Slices& aSlices, Instant aNow) const;
  // Returns the largest number of daemons within the last window.
  [[nodiscard]] std::size_t Daemons(Instant aNow);

  // Number of daemons assumed until it is known; as many as sites have.
  static constexpr std::size_t kAssumedDaemons = 400;

  RetryMeterSettings mSettings;
  // Numbers of daemons, falling, each with the time until which it was known.
  std::deque<std::pair<Instant, std::size_t>> mLeavingDaemons;
  std::size_t mDaemons = kAssumedDaemons;
  bool mIsCountKnown = false;
  Instant mStartedAt;
  std::map<ServiceId, Slices> mServices;
};

} // namespace bilberrytrail
