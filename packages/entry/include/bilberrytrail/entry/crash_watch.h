#pragma once

#include <bilberrytrail/entry/backend_call.h>
#include <bilberrytrail/entry/part_quarantine.h>
#include <bilberrytrail/runtime/loop.h>

#include <map>
#include <vector>

namespace bilberrytrail {

// Tells servers that have ended from those that only lost connections: after a
// send broke off, it checks whether the server refuses new connections. If so,
// the parts of all prompts that waited at the server count as waiting at its
// death.
//
//   watch.OnBroken(record, parts);
class CrashWatch
{
public:
  CrashWatch(Loop& aLoop, BackendPort& aBackend, PartQuarantine& aParts)
    : mLoop(aLoop)
    , mBackend(aBackend)
    , mParts(aParts)
  {
  }

  // Records that the send of a prompt with these shared parts broke off before
  // its answer. Does not wait for the check.
  void OnBroken(const ServerRecord& aServer, std::vector<PartKey> aParts);
  // Returns whether a server that has just closed a connection refuses new
  // ones. Waits for the check.
  [[nodiscard]] bool HasEnded(const Endpoint& aEndpoint);

private:
  // Prompts that waited at one server.
  struct Waiting
  {
    Instant mBrokenAt;
    std::vector<std::vector<PartKey>> mPrompts;
  };

  void Check(const DeathId& aDeath, const Endpoint& aEndpoint);

  Loop& mLoop;
  BackendPort& mBackend;
  PartQuarantine& mParts;
  // Checks in progress.
  std::map<DeathId, Waiting> mWaiting;
};

} // namespace bilberrytrail
