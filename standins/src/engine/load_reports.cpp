#include "engine/load_reports.h"

namespace bilberrytrail::standins {

namespace {

// The number running and the speed change all the time and do not count.
bool
IsChanged(const EngineState& aOld, const EngineState& aNew)
{
  return aOld.mVersions != aNew.mVersions || aOld.mAdapters != aNew.mAdapters ||
         aOld.mRole != aNew.mRole ||
         aOld.mHighestFencing != aNew.mHighestFencing ||
         aOld.mSlots != aNew.mSlots || aOld.mLeaving != aNew.mLeaving;
}

} // namespace

void
LoadReports::AddReader(Duration aWithin)
{
  mReaders.insert(aWithin);
}

void
LoadReports::RemoveReader(Duration aWithin)
{
  const auto it = mReaders.find(aWithin);
  if (it != mReaders.end()) {
    mReaders.erase(it);
  }
}

bool
LoadReports::IsDue(const EngineState& aState, Instant aNow) const
{
  const bool isAsked =
    !mReaders.empty() && *mReaders.begin() > Duration::zero();
  return !isAsked || !mLast || IsChanged(*mLast, aState) ||
         SinceLast(aNow) >= *mReaders.begin();
}

void
LoadReports::OnReported(const EngineState& aState, Instant aNow)
{
  mLast = aState;
  mLastAt = aNow;
}

} // namespace bilberrytrail::standins
