#include <bilberrytrail/entry/recovery_pace.h>

#include <algorithm>

namespace bilberrytrail {

void
RecoveryPace::Start() noexcept
{
  mIsActive = true;
  mIsFirstRise = true;
  mEarlier = 0;
  mWindow = kFirst;
}

void
RecoveryPace::Narrow() noexcept
{
  if (mEarlier > 0) {
    return;
  }
  mEarlier = mWindow;
  mIsFirstRise = false;
  mWindow = std::max(mWindow / 2, 1.0);
}

void
RecoveryPace::NoteBegun(Duration aTook, Duration aExpected) noexcept
{
  if (!mIsActive) {
    return;
  }
  mEarlier = std::max(mEarlier - 1, 0.0);
  const auto inTime =
    std::max(FromMillis(ToMillis(aExpected) * kInTime), kMinInTime);
  if (aTook > inTime) {
    Narrow();
    return;
  }
  mWindow += mIsFirstRise ? 1 : 1 / mWindow;
  mIsActive = mWindow < kUnpaced;
}

void
RecoveryPace::NoteRejected() noexcept
{
  Narrow();
}

} // namespace bilberrytrail
