#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <memory>

namespace bilberrytrail {

// One bilberryd: a control thread, and traffic threads that serve callers and
// other daemons.
//
//   Daemon daemon(settings);
//   if (auto ok = daemon.Start(); !ok) { ... }
//   daemon.Drain();  // on SIGTERM
//   daemon.Join();
class Daemon
{
public:
  explicit Daemon(DaemonSettings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Binds all sockets and starts the threads. Fails with Unavailable when an
  // address cannot be bound.
  [[nodiscard]] Result<void> Start();
  // Leaves the membership, finishes running requests and then stops.
  // Thread-safe.
  void Drain();
  // Stops at once. Thread-safe.
  void Stop();
  // Waits until all threads have ended.
  void Join();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
