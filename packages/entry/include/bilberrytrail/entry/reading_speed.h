#pragma once

#include <bilberrytrail/base/time.h>

namespace bilberrytrail {

// The speed at which the servers of a service work, as their answers show it:
// the slope of the times to first events over the tokens of work that were
// expected to come before them. The part of the times that does not grow with
// the work is left out. Recent answers weigh more.
//
//   speed.Note(tokens, took);
//   const double tokensPerMs = speed.TokensPerMs();
class ReadingSpeed
{
public:
  // aAssumed, in tokens per millisecond, counts as much as some answers of
  // different sizes.
  explicit ReadingSpeed(double aAssumed) noexcept;

  [[nodiscard]] double TokensPerMs() const noexcept;
  // Records the time from a send to its first event, and the tokens of work
  // that the server had to do before it. A negative one is left out: it comes
  // from a send whose server has restarted since.
  void Note(double aTokens, Duration aTook) noexcept;

private:
  double mAssumed;
  // Sums for a weighted linear regression, in thousands of tokens and in
  // milliseconds.
  double mWeight = 0;
  double mX = 0;
  double mY = 0;
  double mXx = 0;
  double mXy = 0;
};

} // namespace bilberrytrail
