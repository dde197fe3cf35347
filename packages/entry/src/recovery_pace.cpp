#include <bilberrytrail/entry/recovery_pace.h>

#include <algorithm>

namespace bilberrytrail {

void
RecoveryPace::Start() noexcept
{
  mIsActive = true;
  mWindow = kFirst;
}

void
RecoveryPace::NoteBegun(Duration aTook, Duration aExpected) noexcept
{
  if (!mIsActive) {
    return;
  }
  const auto inTime =
    std::max(FromMillis(ToMillis(aExpected) * kInTime), kMinInTime);
  if (aTook > inTime) {
    mWindow = std::max(mWindow / 2, 1.0);
    return;
  }
  mWindow += 1;
  mIsActive = mWindow < kUnpaced;
}

void
RecoveryPace::NoteRejected() noexcept
{
  mWindow = std::max(mWindow / 2, 1.0);
}

} // namespace bilberrytrail
