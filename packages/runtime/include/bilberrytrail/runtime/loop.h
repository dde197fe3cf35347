#pragma once

#include <bilberrytrail/base/time.h>

#include <functional>
#include <memory>

namespace bilberrytrail {

// Which clock the waits of a loop follow.
enum class LoopTime : unsigned char
{
  // The monotonic clock.
  Real,
  // A clock that jumps to the end of the next wait once no fiber is ready and
  // nothing is posted, for tests without sockets. Such a loop is made, run and
  // destroyed on one thread, one at a time; MonotonicNow reads its clock there.
  Virtual
};

// One thread's event loop, on which fibers wait for sockets and timers.
//
//   Loop loop;
//   loop.Spawn([&] {
//     if (loop.Sleep(10ms)) {
//       loop.Stop();
//     }
//   });
//   loop.Run();
//
// After Stop every wait of a fiber ends at once as cancelled, so that the
// fibers unwind; Run returns when the last of them has ended.
class Loop
{
public:
  class Impl;

  explicit Loop(LoopTime aTime = LoopTime::Real);
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Returns the implementation, for the other parts of this package.
  [[nodiscard]] Impl& Internals() noexcept { return *mImpl; }

  // Returns true after Stop. Thread-safe.
  [[nodiscard]] bool IsStopping() const noexcept;

  // Runs the loop on the calling thread until Stop. One call per Loop.
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
  [[nodiscard]] bool Sleep(Duration aLength);
  // Lets the other fibers of this loop run, also while it is stopping.
  static void Yield();

private:
  std::unique_ptr<Impl> mImpl;
};

// Wakes one waiting fiber of one loop. A notification that comes before the
// wait is kept.
class Event
{
public:
  explicit Event(Loop& aLoop);
  ~Event();
  Event(const Event&) = delete;
  Event& operator=(const Event&) = delete;

  // Suspends the calling fiber until Notify or until the time has passed.
  // Returns true when notified. Consumes the notification.
  [[nodiscard]] bool Wait(Duration aTimeout);
  // Wakes the waiter. Thread-safe.
  void Notify();

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
