#pragma once

#include <bilberrytrail/base/time.h>

#include <algorithm>

namespace bilberrytrail::standins {

// Serial resource with a rate, such as a link: each use begins when the one
// before it has ended.
class RateLimiter
{
public:
  // Takes units per second; 0 means no limit.
  explicit RateLimiter(double aUnitsPerSecond)
    : mUnitsPerSecond(aUnitsPerSecond)
  {
  }

  // Reserves the resource for an amount and returns when that use ends.
  [[nodiscard]] Instant Reserve(Instant aNow, double aAmount)
  {
    if (mUnitsPerSecond <= 0) {
      return aNow;
    }
    const auto length = FromMillis(aAmount * 1000.0 / mUnitsPerSecond);
    mFreeAt = std::max(mFreeAt, aNow) + length;
    return mFreeAt;
  }

private:
  double mUnitsPerSecond;
  Instant mFreeAt{};
};

} // namespace bilberrytrail::standins
