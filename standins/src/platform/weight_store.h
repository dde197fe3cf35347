#pragma once

#include "common/json_server.h"

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/runtime/loop.h>

#include <cstdint>

namespace bilberrytrail::standins {

// Rate-limited downloads of weights: full speed for a number of downloads at
// once, shared evenly when there are more.
class WeightStore
{
public:
  // Takes the time of one download at full speed, how many run at full speed,
  // and how many are admitted at once.
  WeightStore(Loop& aLoop,
              Duration aDownloadTime,
              std::uint64_t aFullSpeed,
              std::uint64_t aMost);

  [[nodiscard]] std::uint64_t HighestConcurrent() const noexcept
  {
    return mHighest;
  }
  [[nodiscard]] std::uint64_t Downloads() const noexcept { return mDownloads; }

  // Waits out one download; refused with NotRun when too many run.
  [[nodiscard]] HttpResponse Download();

private:
  void AwaitDownload();

  Loop& mLoop;
  Duration mDownloadTime;
  std::uint64_t mFullSpeed;
  std::uint64_t mMost;
  std::uint64_t mRunning = 0;
  std::uint64_t mHighest = 0;
  std::uint64_t mDownloads = 0;
};

} // namespace bilberrytrail::standins
