#include "loop_watch.h"

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kPeriod = 250ms;
// Shorter delays are measured, and not logged.
constexpr Duration kLoggedDelay = 200ms;
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
    const auto now = MonotonicNow();
    OnDelay(now - due, now);
  }
}

void
LoopWatch::OnDelay(Duration aDelay, Instant aNow)
{
  mMetrics.OnLoopDelay(mName, aDelay);
  mLongest = std::max(mLongest, aDelay);
  const bool mayLog = !mLoggedAt || aNow >= *mLoggedAt + kLogPeriod;
  if (mLongest >= kLoggedDelay && mayLog) {
    LogLine(LogEvent::LoopLate, { { "loop", mName }, { "late", mLongest } });
    mLongest = Duration(0);
    mLoggedAt = aNow;
  }
}

} // namespace bilberrytrail
