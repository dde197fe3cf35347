#include "await_address.h"

#include <bilberrytrail/base/log.h>

#include <thread>

namespace bilberrytrail {

namespace {

constexpr Duration kPeriod = 100ms;

bool
IsTaken(const Result<void>& aTaken)
{
  return !aTaken && aTaken.error().mCode == ErrorCode::Unavailable;
}

} // namespace

Result<void>
AwaitAddress(const std::function<Result<void>()>& aTake, Instant aUntil)
{
  auto taken = aTake();
  if (IsTaken(taken)) {
    LogLine(LogEvent::ListenDelayed, { { "reason", taken.error().mMessage } });
  }
  while (IsTaken(taken) && MonotonicNow() < aUntil) {
    std::this_thread::sleep_for(kPeriod);
    taken = aTake();
  }
  return taken;
}

} // namespace bilberrytrail
