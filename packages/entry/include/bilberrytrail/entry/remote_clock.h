#pragma once

#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>

namespace bilberrytrail {

// Compares the clock of the table service or of the backend servers, which
// responses name in milliseconds, with this process's clock. Both are steady. A
// response was written between the times at which its request was sent and it
// was read, so that each one narrows the range of their difference.
//
//   clock.Observe(rows.mTableMs, sentAt, BootNow());
//   auto late = clock.Since(changedAtMs, BootNow());
class RemoteClock
{
public:
  // Takes in the time that a response names. One that contradicts the earlier
  // ones replaces them: it is another clock.
  void Observe(std::uint64_t aRemoteMs, Instant aSentAt, Instant aReadAt);

  // Returns the earliest time of this process's clock at which the other one
  // may have shown aRemoteMs; nothing before the first response.
  [[nodiscard]] std::optional<Instant> EarliestAt(
    std::uint64_t aRemoteMs) const;
  // Returns the time since aRemoteMs, at least 0; nothing before the first
  // response.
  [[nodiscard]] std::optional<Duration> Since(std::uint64_t aRemoteMs,
                                              Instant aNow) const;

private:
  // This process's clock less the other one.
  struct Range
  {
    Duration mLeast{};
    Duration mMost{};
  };

  std::optional<Range> mDifference;
};

} // namespace bilberrytrail
