#pragma once

#include "site_metrics.h"

#include <bilberrytrail/runtime/loop.h>

#include <optional>
#include <string_view>

namespace bilberrytrail {

// Measures by how much a loop resumes its fibers later than due. On a VM with
// little processor time, everything that the loop reads and sends is late by as
// much.
class LoopWatch
{
public:
  // aName is a literal that names the loop.
  LoopWatch(Loop& aLoop, SiteMetrics& aMetrics, std::string_view aName)
    : mLoop(aLoop)
    , mMetrics(aMetrics)
    , mName(aName)
  {
  }

  // Measures until the loop stops.
  void Run();
  // Returns whether the loop was late enough to matter at a time on the boot
  // clock or later.
  [[nodiscard]] bool WasLateSince(Instant aTime) const
  {
    return mLateAt && *mLateAt >= aTime;
  }

private:
  void OnDelay(Duration aDelay);

  Loop& mLoop;
  SiteMetrics& mMetrics;
  const std::string_view mName;
  // Longest delay since the last line of the log.
  Duration mLongest{};
  std::optional<Instant> mLoggedAt;
  // When it was late last, on the boot clock.
  std::optional<Instant> mLateAt;
};

} // namespace bilberrytrail
