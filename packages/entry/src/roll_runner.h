#pragma once

#include "peer_directory.h"
#include "roll_notice.h"
#include "site_follower.h"

#include <bilberrytrail/entry/entry_platform.h>
#include <bilberrytrail/entry/entry_settings.h>
#include <bilberrytrail/release/lease.h>

namespace bilberrytrail {

// Brings the servers to the newest weights while this daemon holds the lease
// of that duty.
class RollRunner
{
public:
  RollRunner(Loop& aLoop,
             const EntrySettings& aSettings,
             TableService& aTable,
             OrderPort& aOrders,
             PeerDirectory& aPeers,
             RollNotice& aNotice,
             SiteViewHolder& aViews);

  // Runs until the loop stops.
  void Run();
  // Sends no further orders, and gives the lease back once the next holder's
  // orders are far enough from the last one.
  void Leave() noexcept { mIsLeaving = true; }
  // Returns whether the lease is still to be given back.
  [[nodiscard]] bool IsRelinquishing() const noexcept
  {
    return mLease.IsRelinquishing();
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
  RollNotice& mNotice;
  SiteViewHolder& mViews;
  Lease mLease;
  WeightRoll mRoll;
  RollDuty mDuty;
  bool mIsLeaving = false;
  std::optional<Instant> mLastOrderAt;
  std::optional<FencingNumber> mFence;
};

} // namespace bilberrytrail
