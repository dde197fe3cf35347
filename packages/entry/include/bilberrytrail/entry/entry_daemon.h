#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/entry/entry_platform.h>
#include <bilberrytrail/entry/entry_settings.h>

#include <memory>

namespace bilberrytrail {

// A daemon on a table platform: it takes requests from the platform's balancer
// and answers them straight from the backend servers. All daemons are alike;
// what must last lives in the table service.
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

  // Starts to listen and to run. Fails with Unavailable.
  [[nodiscard]] Result<void> Start();
  // Leaves the balancer, finishes all requests and ends. Thread-safe.
  void Drain();
  // Waits until the daemon has ended.
  void Join();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
