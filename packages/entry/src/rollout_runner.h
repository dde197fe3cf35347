#pragma once

#include "loading_notifier.h"
#include "peer_directory.h"
#include "site_follower.h"

#include <bilberrytrail/entry/entry_platform.h>
#include <bilberrytrail/entry/entry_settings.h>
#include <bilberrytrail/release/lease.h>

namespace bilberrytrail {

// Brings the servers to the newest weights while this daemon holds the lease
// of that duty.
class RolloutRunner
{
public:
  RolloutRunner(Loop& aLoop,
                const EntrySettings& aSettings,
                TableService& aTable,
                OrderPort& aOrders,
                PeerDirectory& aPeers,
                LoadingNotifier& aNotifier,
                SiteViewHolder& aViews);

  // Runs until the loop stops.
  void Run();
  // Sends no further orders, and gives the lease back once the next holder's
  // orders are far enough from the last one.
  void Leave() noexcept { mIsLeaving = true; }
  // Returns whether the lease is still to be given back.
  [[nodiscard]] bool IsGivingBack() const noexcept
  {
    return mLease.IsGivingBack();
  }

private:
  void Step();
  void RunLease();
  [[nodiscard]] Duration TimeLeft(const SiteView& aView, Instant aNow) const;
  void SendOrders(const SiteView& aView);
  void SendOrder(const WeightOrder& aOrder);
  OrderOutcome SendOnce(const WeightOrder& aOrder);

  Loop& mLoop;
  const DaemonId mSelf;
  const Duration mOrderGap;
  const Duration mWeightsWithin;
  TableService& mTable;
  OrderPort& mOrders;
  PeerDirectory& mPeers;
  LoadingNotifier& mNotifier;
  SiteViewHolder& mViews;
  Lease mLease;
  WeightRollout mRollout;
  RolloutCandidacy mCandidacy;
  bool mIsLeaving = false;
  std::optional<Instant> mLastOrderAt;
  std::optional<FencingNumber> mFence;
};

} // namespace bilberrytrail
