#pragma once

#include <bilberrytrail/base/time.h>

#include <functional>
#include <memory>

namespace bilberrytrail {

class MemoryBudget;

// The clock that the waits of a loop use.
enum class LoopTime : unsigned char
{
  // The monotonic clock.
  Real,
  // A simulated clock for tests without sockets. It jumps to the end of the
  // next wait when no fiber is ready and no task is posted. Such a loop is
  // created, run and destroyed on one thread, which has at most one of them at
  // a time; MonotonicNow returns the simulated time on that thread.
  Virtual
};

// The event loop of one thread, on which fibers wait for sockets and timers.
//
//   Loop loop;
//   loop.Spawn([&] {
//     if (loop.Sleep(10ms)) {
//       loop.Stop();
//     }
//   });
//   loop.Run();
//
// After Stop every wait of a fiber ends immediately as cancelled, so that the
// fibers finish; Run returns when the last of them has ended.
class Loop
{
public:
  class Impl;

  explicit Loop(LoopTime aTime = LoopTime::Real);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Returns the implementation. Only for use within this package.
  [[nodiscard]] Impl& Internals() noexcept { return *mImpl; }

  // Sets and returns the budget for messages that clients and servers of this
  // loop hold as a whole; several loops may share one. Set it before Run. The
  // default suits a small VM.
  void SetMessageMemory(std::shared_ptr<MemoryBudget> aBudget);
  [[nodiscard]] const std::shared_ptr<MemoryBudget>& MessageMemory()
    const noexcept;

  // Returns true after Stop. Thread-safe.
  [[nodiscard]] bool IsStopping() const noexcept;

  // Runs the loop on the calling thread until Stop. Call it once per Loop.
  void Run();
  // Makes Run end. Thread-safe.
  void Stop();
  // Runs the function on the loop's thread, outside any fiber; it must not
  // wait. Thread-safe.
  void Post(std::function<void()> aTask);
  // Starts a fiber on the loop's thread. Thread-safe.
  void Spawn(std::function<void()> aTask);
  // Suspends the calling fiber of this loop. Returns false when the loop is
  // stopping.
  [[nodiscard]] bool Sleep(Duration aDuration);
  // Lets the other fibers of this loop run. Works also while it is stopping.
  static void Yield();

private:
  std::unique_ptr<Impl> mImpl;
};

// Wakes one waiting fiber of one loop. A notification that arrives before the
// wait is kept for it.
class Event
{
public:
  explicit Event(Loop& aLoop);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  // Suspends the calling fiber until Notify, the timeout or the stop of the
  // loop. Returns true when notified, and consumes the notification.
  [[nodiscard]] bool Wait(Duration aTimeout);
  // Wakes the waiter. Thread-safe.
  void Notify();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
