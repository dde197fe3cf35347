#pragma once

#include <bilberrytrail/base/time.h>

#include <optional>

namespace bilberrytrail {

// Decides when something is rebuilt that changes often in a row: at once when
// it has been quiet, else once in each pause.
class RebuildPause
{
public:
  explicit RebuildPause(Duration aPause)
    : mPause(aPause)
  {
  }

  // Notes a change; returns true when it is to be built in now.
  [[nodiscard]] bool OnChange(Instant aNow)
  {
    mIsWaiting = true;
    return IsDue(aNow);
  }

  // Returns true when a change that waited is to be built in now.
  [[nodiscard]] bool IsDue(Instant aNow)
  {
    if (!mIsWaiting || (mBuiltAt && aNow - *mBuiltAt < mPause)) {
      return false;
    }
    mIsWaiting = false;
    mBuiltAt = aNow;
    return true;
  }

private:
  Duration mPause;
  bool mIsWaiting = false;
  std::optional<Instant> mBuiltAt;
};

} // namespace bilberrytrail
