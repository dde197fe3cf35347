#pragma once

#include <bilberrytrail/runtime/loop.h>

#include <cstddef>
#include <optional>

namespace bilberrytrail::relays {

// A resource that serves one user after the other, in virtual time.
class SimulatedQueue
{
public:
  explicit SimulatedQueue(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  // Suspends the calling fiber until the resource has served it for a time.
  void Use(Duration aTime);

private:
  Loop& mLoop;
  Instant mFreeAt;
};

// Processor and link of a VM, in virtual time.
class SimulatedVm
{
public:
  // aShare is the share of a core that the VM has.
  SimulatedVm(Loop& aLoop, double aShare, double aLinkMbps)
    : mLoop(aLoop)
    , mShare(aShare)
    , mLinkMbps(aLinkMbps)
    , mProcessor(aLoop)
    , mLink(aLoop)
  {
  }

  // Suspends the calling fiber for work that takes a whole core so long, and
  // while the VM is frozen.
  void Compute(Duration aWork);
  // Suspends the calling fiber while bytes pass the link.
  void Transfer(std::size_t aBytes);

  // The VM neither computes nor answers until then.
  void FreezeUntil(Instant aTime) { mFrozenUntil = aTime; }
  [[nodiscard]] bool IsFrozen() const { return MonotonicNow() < mFrozenUntil; }

private:
  Loop& mLoop;
  const double mShare;
  const double mLinkMbps;
  SimulatedQueue mProcessor;
  SimulatedQueue mLink;
  Instant mFrozenUntil;
};

} // namespace bilberrytrail::relays
