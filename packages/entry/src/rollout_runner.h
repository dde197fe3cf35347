#pragma once

#include "loading_notifier.h"
#include "peer_directory.h"
#include "site_view_holder.h"

#include <bilberrytrail/entry/entry_platform.h>
#include <bilberrytrail/entry/entry_settings.h>
#include <bilberrytrail/entry/overdue_weights.h>
#include <bilberrytrail/release/lease.h>

namespace bilberrytrail {

// Rolls the newest weights out to the servers while this daemon holds the
// rollout lease.
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
  // Sends no more orders, and releases the lease once the order gap since the
  // last one has passed.
  void Leave() noexcept { mIsLeaving = true; }
  // Returns whether the lease is still to be released.
  [[nodiscard]] bool IsRelinquishing() const noexcept
  {
    return mLease.IsRelinquishing();
  }

private:
  void Step();
  void RunLease();
  [[nodiscard]] Duration TimeLeft(const SiteView& aView) const;
  void SendOrders(const SiteView& aView);
  void SendOrder(const WeightOrder& aOrder);
  void LogOverdue(const SiteView& aView, Instant aNow);
  void CheckOrder(const WeightOrder& aOrder);
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
  OverdueWeights mOverdue;
  RolloutCandidacy mCandidacy;
  bool mIsLeaving = false;
  std::optional<Instant> mLastOrderAt;
  std::optional<FencingNumber> mFence;
};

} // namespace bilberrytrail
