#pragma once

#include <bilberrytrail/base/time.h>

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <ctime>

namespace bilberrytrail::bench {

// Returns the processor time that this process has used, in microseconds.
[[nodiscard]] inline double
ProcessorMicros()
{
  timespec now{};
  ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 +
         static_cast<double>(now.tv_nsec) / 1e3;
}

// Returns the bytes that are allocated on the heap now.
[[nodiscard]] inline double
HeapBytes()
{
  const auto info = ::mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

// Returns the processor time of one call in microseconds: the least of some
// rounds of aCount calls.
template<class Call>
[[nodiscard]] double
MicrosPerCall(std::size_t aCount, Call aCall)
{
  constexpr int kRounds = 5;
  double best = 1e18;
  for (int round = 0; round < kRounds; ++round) {
    const double start = ProcessorMicros();
    for (std::size_t n = 0; n < aCount; ++n) {
      aCall(n);
    }
    best = std::min(best, ProcessorMicros() - start);
  }
  return best / static_cast<double>(aCount);
}

} // namespace bilberrytrail::bench
