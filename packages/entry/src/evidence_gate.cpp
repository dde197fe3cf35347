#include "evidence_gate.h"

#include <algorithm>

namespace bilberrytrail {

bool
EvidenceGate::Await(Instant aNeeded, Duration aWait)
{
  constexpr auto kTable = SiteTable::Operator;
  if (mViews.IsDoubted(BootNow())) {
    return false;
  }
  const auto end = MonotonicNow() + aWait;
  while (mViews.CompleteAt(kTable) < aNeeded) {
    const auto left = end - MonotonicNow();
    if (mViews.Load() == nullptr || mViews.HasOutage(kTable) ||
        left <= Duration(0)) {
      return false;
    }
    Ask();
    if (!mAnswered.Wait(left)) {
      return false;
    }
  }
  return true;
}

void
EvidenceGate::Ask()
{
  if (mIsAsking) {
    return;
  }
  mIsAsking = true;
  mControl.Spawn([this] {
    mTables.Check(SiteTable::Operator);
    mTraffic.Post([this] {
      mIsAsking = false;
      mAnswered.Notify();
    });
  });
}

} // namespace bilberrytrail
