#pragma once

#include <bilberrytrail/base/time.h>

#include <functional>
#include <memory>

namespace bilberrytrail {

// One thread's event loop, on which fibers wait for sockets and timers.
//
//   Loop loop;
//   loop.Spawn([&] {
//     loop.Sleep(10ms);
//     loop.Stop();
//   });
//   loop.Run();
class Loop
{
public:
  class Impl;

  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  // Returns the implementation, for the other parts of this package.
  [[nodiscard]] Impl& Internals() noexcept { return *mImpl; }

  // Runs the loop on the calling thread until Stop. One call per Loop.
  void Run();
  // Makes Run return soon. Fibers that still wait are abandoned. Thread-safe.
  void Stop();
  // Runs the function on the loop's thread, outside any fiber; it must not
  // wait. Thread-safe.
  void Post(std::function<void()> aTask);
  // Starts a fiber on the loop's thread. Thread-safe.
  void Spawn(std::function<void()> aTask);
  // Suspends the calling fiber of this loop.
  void Sleep(Duration aLength);

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
