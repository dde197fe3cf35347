#include <bilberrytrail/entry/reading_speed.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Share of its weight that an answer keeps with each further one.
constexpr double kKept = 0.995;
// Answers that the assumed speed counts as, and the work that they had.
constexpr double kAssumedAnswers = 25;
constexpr double kAssumedTokens = 4000;
// Bounds of the speed, as multiples of the assumed one.
constexpr double kLeast = 0.25;
constexpr double kMost = 2;
// A longer time than this multiple of the expected one has another cause.
constexpr double kMaxTimes = 4;
constexpr double kTokensPerUnit = 1000;

} // namespace

ReadingSpeed::ReadingSpeed(double aAssumed) noexcept
  : mAssumed(aAssumed)
{
  Add(0, 0, kAssumedAnswers / 2);
  Add(kAssumedTokens, kAssumedTokens / mAssumed, kAssumedAnswers / 2);
}

void
ReadingSpeed::Add(double aTokens, double aMillis, double aWeight) noexcept
{
  const double x = aTokens / kTokensPerUnit;
  mWeight += aWeight;
  mX += aWeight * x;
  mY += aWeight * aMillis;
  mXx += aWeight * x * x;
  mXy += aWeight * x * aMillis;
}

double
ReadingSpeed::TokensPerMs() const noexcept
{
  const double spread = mWeight * mXx - mX * mX;
  const double rise = mWeight * mXy - mX * mY;
  if (spread <= 0 || rise <= 0) {
    return mAssumed;
  }
  return std::clamp(
    kTokensPerUnit * spread / rise, kLeast * mAssumed, kMost * mAssumed);
}

void
ReadingSpeed::Note(double aTokens, Duration aTook) noexcept
{
  const double base = std::max(mY - mX * kTokensPerUnit / TokensPerMs(), 0.0);
  const double expected = base / mWeight + aTokens / TokensPerMs();
  for (auto* it : { &mWeight, &mX, &mY, &mXx, &mXy }) {
    *it *= kKept;
  }
  Add(aTokens, std::min(ToMillis(aTook), kMaxTimes * expected + 1), 1);
}

} // namespace bilberrytrail
