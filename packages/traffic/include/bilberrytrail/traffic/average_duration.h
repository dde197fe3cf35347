#pragma once

#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>

namespace bilberrytrail {

// Mean of the times of like calls, the last ones counting most.
class AverageDuration
{
public:
  // Returns the mean; nothing before enough calls were seen.
  [[nodiscard]] std::optional<Duration> Mean() const noexcept
  {
    return mCalls < kLeastCalls ? std::nullopt : std::optional(mMean);
  }

  void Add(Duration aTime) noexcept
  {
    mCalls += mCalls < kMemory ? 1 : 0;
    mMean += (aTime - mMean) / mCalls;
  }

private:
  static constexpr std::int64_t kLeastCalls = 8;
  static constexpr std::int64_t kMemory = 64;

  std::int64_t mCalls = 0;
  Duration mMean{};
};

} // namespace bilberrytrail
