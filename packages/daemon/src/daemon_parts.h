#pragma once

#include "account_limit_service.h"
#include "claim_gatherer.h"
#include "request_slots.h"

#include <bilberrytrail/settings/daemon_settings.h>

namespace bilberrytrail {

// What all traffic threads of a daemon share besides its homes.
struct DaemonParts
{
  DaemonParts(const DaemonSettings& aSettings, const ControlViewHolder& aViews)
    : mClaims(aSettings.mClaimBatchTime)
    , mSlots(aSettings.mMaxRequests)
    , mLimits(aViews)
  {
  }

  ClaimGatherer mClaims;
  RequestSlots mSlots;
  AccountLimitService mLimits;
};

} // namespace bilberrytrail
