#include "loop_watch.h"

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kPeriod = 250ms;
// Shorter delays are measured only.
constexpr Duration kLateDelay = 200ms;
// Time between two lines of the log.
constexpr Duration kLogPeriod = 2s;

} // namespace

void
LoopWatch::Run()
{
  while (true) {
    const auto due = MonotonicNow() + kPeriod;
    if (!mLoop.Sleep(kPeriod)) {
      return;
    }
    OnDelay(MonotonicNow() - due);
  }
}

void
LoopWatch::OnDelay(Duration aDelay)
{
  const auto now = BootNow();
  if (aDelay >= kLateDelay) {
    mLateAt = now;
  }
  mMetrics.OnLoopDelay(mName, aDelay);
  mLongest = std::max(mLongest, aDelay);
  const bool mayLog = !mLoggedAt || now >= *mLoggedAt + kLogPeriod;
  if (mLongest >= kLateDelay && mayLog) {
    LogLine(LogEvent::LoopLate, { { "loop", mName }, { "late", mLongest } });
    mLongest = Duration(0);
    mLoggedAt = now;
  }
}

} // namespace bilberrytrail
