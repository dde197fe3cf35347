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
// death. So do the requests that were sent to it last, and those that waited at
// an earlier death: a request that crashes servers does so when it begins.
//
//   watch.OnBroken(record, { parts, request, sentAt });
class CrashWatch
{
public:
  // Within this time after a send broke off, the death of its server is known
  // and another one counts as a separate death.
  static constexpr Duration kVerdictTime = 80ms;

  // A send that broke off before its answer.
  struct BrokenSend
  {
    // Shared parts of the prompt, in order.
    std::vector<PartKey> mParts;
    PartKey mRequest;
    Instant mSentAt;
  };

  CrashWatch(Loop& aLoop,
             BackendPort& aBackend,
             PartQuarantine& aParts,
             PartQuarantine& aRequests)
    : mLoop(aLoop)
    , mBackend(aBackend)
    , mParts(aParts)
    , mRequests(aRequests)
  {
  }

  // Records a send to a server that broke off. Does not wait for the check.
  void OnBroken(const ServerRecord& aServer, BrokenSend aSend);
  // Returns whether a server that has just closed a connection refuses new
  // ones. Waits for the check.
  [[nodiscard]] bool HasEnded(const Endpoint& aEndpoint);

private:
  // Requests that waited at one server.
  struct Waiting
  {
    Instant mBrokenAt;
    std::vector<BrokenSend> mSends;
  };

  void Check(const DeathId& aDeath, const Endpoint& aEndpoint);
  void ChargeRequests(const DeathId& aDeath, Waiting aWaiting);

  Loop& mLoop;
  BackendPort& mBackend;
  PartQuarantine& mParts;
  PartQuarantine& mRequests;
  // Checks in progress.
  std::map<DeathId, Waiting> mWaiting;
};

} // namespace bilberrytrail
