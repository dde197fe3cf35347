#pragma once

#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>

namespace bilberrytrail {

// Running mean of call durations, which becomes exponentially weighted after
// kAveragingSamples samples.
class AverageDuration
{
public:
  // Returns the mean; nullopt before kMinSamples samples were added.
  [[nodiscard]] std::optional<Duration> Mean() const noexcept
  {
    return mSamples < kMinSamples ? std::nullopt : std::optional(mMean);
  }

  void Add(Duration aDuration) noexcept
  {
    mSamples += mSamples < kAveragingSamples ? 1 : 0;
    mMean += (aDuration - mMean) / mSamples;
  }

private:
  static constexpr std::int64_t kMinSamples = 8;
  static constexpr std::int64_t kAveragingSamples = 64;

  std::int64_t mSamples = 0;
  Duration mMean{};
};

} // namespace bilberrytrail
