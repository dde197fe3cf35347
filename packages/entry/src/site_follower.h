#pragma once

#include "peer_directory.h"
#include "peer_replicas.h"
#include "peer_transport.h"
#include "site_metrics.h"

#include <bilberrytrail/entry/site_view.h>
#include <bilberrytrail/entry/table_clock.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/rpc.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace bilberrytrail {

// The view in force, passed from the control thread to the traffic thread.
class SiteViewHolder
{
public:
  // Returns the view; null before the first one. Thread-safe.
  [[nodiscard]] std::shared_ptr<const SiteView> Load() const
  {
    return mView.load();
  }
  // Returns whether the view was confirmed within kFreshTime, by the table
  // service or by a daemon that it answers, and is not doubted. Thread-safe.
  [[nodiscard]] bool IsFresh(Instant aNow) const noexcept;

  void Store(std::shared_ptr<const SiteView> aView)
  {
    mView.store(std::move(aView));
  }
  // Records that the view was confirmed at a time.
  void Confirm(Instant aAt) noexcept
  {
    mConfirmedAt =
      std::max(mConfirmedAt.load(), aAt.time_since_epoch().count());
  }
  // Records that the operator's table may lack changes until a time.
  void DoubtUntil(Instant aUntil) noexcept
  {
    mDoubtedUntil = aUntil.time_since_epoch().count();
  }
  [[nodiscard]] bool IsDoubted(Instant aNow) const noexcept
  {
    return aNow < Instant(Duration(mDoubtedUntil.load()));
  }
  // Returns the time since the view was confirmed.
  [[nodiscard]] Duration Age(Instant aNow) const noexcept
  {
    return aNow - Instant(Duration(mConfirmedAt.load()));
  }

  // Longer than a wait for changes, so that a view without changes stays fresh.
  static constexpr Duration kFreshTime = 3200ms;

private:
  std::atomic<std::shared_ptr<const SiteView>> mView;
  std::atomic<Duration::rep> mConfirmedAt = 0;
  std::atomic<Duration::rep> mDoubtedUntil = 0;
};

// Follows the operator's and the servers' tables, and queries other daemons for
// their replicas while the table service does not answer.
class SiteFollower
{
public:
  SiteFollower(Loop& aLoop,
               SiteFeed& aFeed,
               const SiteReader& aReader,
               PeerDirectory& aPeers,
               PeerTransport& aTransport,
               SiteViewHolder& aViews,
               SiteMetrics& aMetrics);

  // Longest wait for changes in one call while other daemons rely on this one.
  static constexpr Duration kServingWait = 700ms;

  // Starts the fibers that follow the tables.
  void Start();
  // Sets whether this daemon follows the tables directly, and whether others
  // rely on it.
  void SetDirect(bool aIsDirect, bool aIsServing);
  // Returns the versions of the replicas.
  [[nodiscard]] ReplicaQuery Versions() const noexcept;
  // Returns the rows that another daemon lacks.
  [[nodiscard]] ReplicaReply AnswerQuery(const ReplicaQuery& aQuery) const;
  // Applies another daemon's reply to a query sent at aSentAt.
  void ApplyReplica(SiteWay aWay,
                    const PeerAddress& aPeer,
                    const ReplicaReply& aReply,
                    Instant aSentAt);
  // Adds the RPC method for the replicas.
  void AddMethods(RpcMethods& aMethods);

private:
  // What the next call reads.
  enum class ReadMode : unsigned char
  {
    All,
    // What has changed by now: after a failed call, the answer tells at once
    // whether the table service is in another era.
    Changes,
    // The next changes.
    Wait
  };

  // Where the newest rows came from.
  struct Source
  {
    SiteWay mWay = SiteWay::Table;
    // Empty for the table service.
    DaemonId mDaemon;
  };

  void Follow(SiteTable aTable);
  void WatchExpiry();
  void WatchEvidence();
  bool ReadOnce(SiteTable aTable, ReadMode& aMode);
  void OnContact(SiteTable aTable);
  void OnOutage(SiteTable aTable, const CallError& aError);
  void QueryPeers();
  Result<ReplicaReply> QueryPeer(const PeerAddress& aPeer);
  // Records that the operator's rows lack no change made before a time on the
  // boot clock, unless a restored table may lack some.
  void SetComplete(Instant aAt, const Source& aSource);
  bool ApplyRows(SiteTable aTable, const ReplicaRows& aRows, Instant aNow);
  void Publish(const Source& aSource);
  void OnConfigInForce(const SiteConfig& aConfig, const Source& aSource);

  Loop& mLoop;
  SiteFeed& mFeed;
  PeerDirectory& mPeers;
  SiteViewHolder& mViews;
  SiteMetrics& mMetrics;
  PeerTransport& mTransport;
  TableClock mClock;
  SiteReplica mReplica;
  SiteAssembler mAssembler;
  // The operator's rows lack no change made before this time on the boot clock.
  Instant mCompleteAt;
  // Where mCompleteAt came from.
  Source mCompleteBy;
  bool mIsOutage = false;
  bool mIsQueryingPeers = false;
  bool mIsDirect = true;
  // Wake the fibers of the tables when this daemon begins to follow directly.
  std::array<Event, EnumCount<SiteTable>()> mWakeUps;
  // Initially true: others may rely on this daemon once it has started.
  bool mIsServing = true;
};

} // namespace bilberrytrail
