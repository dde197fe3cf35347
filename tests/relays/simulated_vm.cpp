#include "simulated_vm.h"

#include <algorithm>

namespace bilberrytrail::relays {

void
SimulatedQueue::Use(Duration aTime)
{
  const auto now = MonotonicNow();
  mFreeAt = std::max(mFreeAt, now) + aTime;
  if (mFreeAt > now) {
    (void)mLoop.Sleep(mFreeAt - now);
  }
}

void
SimulatedVm::Compute(Duration aWork)
{
  if (IsFrozen()) {
    (void)mLoop.Sleep(mFrozenUntil - MonotonicNow());
  }
  mProcessor.Use(std::chrono::duration_cast<Duration>(aWork / mShare));
}

void
SimulatedVm::Transfer(std::size_t aBytes)
{
  constexpr double kBitsInByte = 8;
  // A megabit a second is a bit a microsecond.
  mLink.Use(Duration(static_cast<Duration::rep>(static_cast<double>(aBytes) *
                                                kBitsInByte / mLinkMbps)));
}

} // namespace bilberrytrail::relays
