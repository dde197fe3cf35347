#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/entry_platform.h>
#include <bilberrytrail/entry/entry_settings.h>

#include <memory>

namespace bilberrytrail {

// A daemon on a table platform: it takes requests from the platform's balancer
// and forwards them directly to the backend servers. All daemons are equal;
// durable state is kept in the table service.
//
//   EntryDaemon daemon(settings, platform);
//   if (auto ok = daemon.Start(); !ok) { ... }
//   daemon.Join();
class EntryDaemon
{
public:
  // The platform must outlive the daemon.
  EntryDaemon(EntrySettings aSettings, EntryPlatform& aPlatform);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  // Listens on all addresses and starts the threads. Fails with Unavailable.
  [[nodiscard]] Result<void> Start();
  // Reports itself not ready to the balancer, finishes the running requests and
  // stops; requests that still run at the end of the stop time are cut off.
  // Thread-safe.
  void Drain();
  // Waits until the daemon has ended.
  void Join();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
