#pragma once

#include "change_signal.h"
#include "site_view_holder.h"
#include "table_follower.h"

namespace bilberrytrail {

// Lets requests on the traffic thread wait for evidence that the configuration
// is the one in force. However many wait, the table service is asked once.
class EvidenceGate
{
public:
  EvidenceGate(Loop& aControl,
               Loop& aTraffic,
               TableFollower& aTables,
               const SiteViewHolder& aViews)
    : mControl(aControl)
    , mTraffic(aTraffic)
    , mTables(aTables)
    , mViews(aViews)
    , mAnswered(aTraffic)
  {
  }

  // Returns whether the view lacks no change of the operator's table made
  // before a time on the boot clock. While that is not known, asks the table
  // service and suspends the calling fiber for the answer, for aWait at most;
  // at once false while calls to the table service fail.
  [[nodiscard]] bool Await(Instant aNeeded, Duration aWait);

private:
  // Called on the traffic thread.
  void Ask();

  Loop& mControl;
  Loop& mTraffic;
  TableFollower& mTables;
  const SiteViewHolder& mViews;
  bool mIsAsking = false;
  ChangeSignal mAnswered;
};

} // namespace bilberrytrail
