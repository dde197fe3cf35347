#pragma once

#include <bilberrytrail/base/time.h>

#include <cstddef>

namespace bilberrytrail {

// Finds how many requests a server that has just started or recovered bears at
// once, from how it answers: it begins with a few that wait for their first
// event, takes one more for each that came in time, and half as many once some
// come late or are rejected; from then on one more for each time that all came
// in time. It is no longer paced once it bears kUnpaced.
//
//   pace.Start();
//   if (pace.Allows(waiting)) { ... }
//   pace.NoteBegun(took, expected);
class RecoveryPace
{
public:
  // Requests that a server may have waiting at first.
  static constexpr double kFirst = 2;
  // Waiting requests up to which a server is paced.
  static constexpr double kUnpaced = 32;
  // A first event within this multiple of the time that was expected for it,
  // and in any case within kMinInTime, came in time.
  static constexpr double kInTime = 2;
  static constexpr Duration kMinInTime = 100ms;

  [[nodiscard]] bool IsActive() const noexcept { return mIsActive; }
  // Returns whether one more request may be sent while aWaiting wait for their
  // first event.
  [[nodiscard]] bool Allows(std::size_t aWaiting) const noexcept
  {
    return !mIsActive || static_cast<double>(aWaiting) < mWindow;
  }

  // Begins anew, when the server has started or answers again.
  void Start() noexcept;
  // Records the time to a first event, and the time that was expected for it.
  void NoteBegun(Duration aTook, Duration aExpected) noexcept;
  // Records that the server rejected a request, or broke one off.
  void NoteRejected() noexcept;

private:
  void Narrow() noexcept;

  bool mIsActive = false;
  // No answer was late yet.
  bool mIsFirstRise = true;
  // Answers that were sent before the window narrowed.
  double mEarlier = 0;
  double mWindow = kFirst;
};

} // namespace bilberrytrail
