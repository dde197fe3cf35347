#include <bilberrytrail/entry/reading_speed.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Share of its weight that an answer keeps with each further one.
constexpr double kKept = 0.995;
// Spread of the work, in squares of the unit, that the assumed speed counts as.
constexpr double kAssumedSpread = 100;
// Bounds of the speed, as multiples of the assumed one. It is never higher:
// a time that is estimated too short makes all that wait behind it late.
constexpr double kLeast = 0.5;
constexpr double kMost = 1;
// A longer time than this multiple of the expected one has another cause.
constexpr double kMaxTimes = 2.5;
constexpr double kTokensPerUnit = 1000;

} // namespace

ReadingSpeed::ReadingSpeed(double aAssumed) noexcept
  : mAssumed(aAssumed)
{
}

double
ReadingSpeed::TokensPerMs() const noexcept
{
  if (mWeight <= 0) {
    return mAssumed;
  }
  const double assumedSlope = kTokensPerUnit / mAssumed;
  const double spread = mXx - mX * mX / mWeight + kAssumedSpread;
  const double rise = mXy - mX * mY / mWeight + kAssumedSpread * assumedSlope;
  return rise <= 0 ? kMost * mAssumed
                   : std::clamp(kTokensPerUnit * spread / rise,
                                kLeast * mAssumed,
                                kMost * mAssumed);
}

void
ReadingSpeed::Note(double aTokens, Duration aTook) noexcept
{
  if (aTokens < 0 || aTook < Duration(0)) {
    return;
  }
  const double speed = TokensPerMs();
  double millis = ToMillis(aTook);
  if (mWeight > 0) {
    const double base =
      std::max(mY - mX * kTokensPerUnit / speed, 0.0) / mWeight;
    millis = std::min(millis, kMaxTimes * (base + aTokens / speed) + 1);
  }
  const double x = aTokens / kTokensPerUnit;
  mWeight = mWeight * kKept + 1;
  mX = mX * kKept + x;
  mY = mY * kKept + millis;
  mXx = mXx * kKept + x * x;
  mXy = mXy * kKept + x * millis;
}

} // namespace bilberrytrail
