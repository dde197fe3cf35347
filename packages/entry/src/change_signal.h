#pragma once

#include <bilberrytrail/runtime/loop.h>

#include <list>

namespace bilberrytrail {

// Wakes all fibers of one loop that wait for a change.
class ChangeSignal
{
public:
  explicit ChangeSignal(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  // Suspends the calling fiber until the next Notify or the timeout. Returns
  // false when the loop is stopping.
  [[nodiscard]] bool Wait(Duration aTimeout)
  {
    Event event(mLoop);
    const auto it = mWaiting.insert(mWaiting.end(), &event);
    (void)event.Wait(aTimeout);
    mWaiting.erase(it);
    return !mLoop.IsStopping();
  }
  // Wakes the fibers that wait now. Called on the loop's thread.
  void Notify()
  {
    for (auto* it : mWaiting) {
      it->Notify();
    }
  }

private:
  Loop& mLoop;
  std::list<Event*> mWaiting;
};

} // namespace bilberrytrail
