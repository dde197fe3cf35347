#pragma once

#include "peer_directory.h"
#include "peer_replicas.h"

#include <bilberrytrail/entry/site_view.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/rpc.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <memory>

namespace bilberrytrail {

// The view in force, handed from the control thread to the traffic thread.
class SiteViewHolder
{
public:
  // Returns the view, null before the first. Thread-safe.
  [[nodiscard]] std::shared_ptr<const SiteView> Load() const
  {
    return mView.load();
  }
  // Returns whether the table service, or a daemon that it answers, confirmed
  // the view within kFreshTime. Thread-safe.
  [[nodiscard]] bool IsFresh(Instant aNow) const noexcept;

  void Store(std::shared_ptr<const SiteView> aView)
  {
    mView.store(std::move(aView));
  }
  // Notes that the view was confirmed at a time.
  void Confirm(Instant aAt) noexcept
  {
    mConfirmedAt =
      std::max(mConfirmedAt.load(), aAt.time_since_epoch().count());
  }
  // Returns how long ago the view was confirmed.
  [[nodiscard]] Duration Age(Instant aNow) const noexcept
  {
    return aNow - Instant(Duration(mConfirmedAt.load()));
  }

  // Longer than a wait for changes, so that a calm daemon stays fresh.
  static constexpr Duration kFreshTime = 3200ms;

private:
  std::atomic<std::shared_ptr<const SiteView>> mView;
  std::atomic<Duration::rep> mConfirmedAt = 0;
};

// Follows the operator's and the servers' tables, and asks other daemons for
// their copies while the table service turns this one away.
class SiteFollower
{
public:
  SiteFollower(Loop& aLoop,
               SiteFeed& aFeed,
               const SiteReader& aReader,
               PeerDirectory& aPeers,
               SiteViewHolder& aViews);

  // Longest wait for changes in one call while other daemons rely on this one.
  static constexpr Duration kServingWait = 700ms;

  // Starts the fibers that follow.
  void Start();
  // Sets whether this daemon follows the tables itself, and whether others rely
  // on it.
  void SetDirect(bool aIsDirect, bool aIsServing);
  // Returns the versions of the copies.
  [[nodiscard]] ReplicaQuery Versions() const noexcept;
  // Returns what another daemon lacks.
  [[nodiscard]] ReplicaReply AnswerQuery(const ReplicaQuery& aQuery) const;
  // Takes in another daemon's answer.
  void ApplyReplica(const PeerAddress& aPeer, const ReplicaReply& aReply);
  // Adds the call by which other daemons ask for the copies.
  void AddMethods(RpcMethods& aMethods);

private:
  void Follow(SiteTable aTable);
  void WatchExpiry();
  bool ReadOnce(SiteTable aTable, bool& aMustReadAll);
  void OnContact(SiteTable aTable);
  void OnOutage(SiteTable aTable, const CallError& aError);
  void QueryPeers();
  Result<ReplicaReply> QueryPeer(const PeerAddress& aPeer);
  bool ApplyRows(SiteTable aTable, const ReplicaRows& aRows, Instant aNow);
  void Publish();

  Loop& mLoop;
  SiteFeed& mFeed;
  PeerDirectory& mPeers;
  SiteViewHolder& mViews;
  HttpClient mClient;
  SiteReplica mReplica;
  SiteAssembler mAssembler;
  bool mIsOutage = false;
  Instant mOutageSince;
  bool mIsQueryingPeers = false;
  bool mIsDirect = true;
  // Wake the fibers of the tables when this daemon follows them itself.
  std::array<Event, EnumCount<SiteTable>()> mWakeUps;
  // Others may rely on this daemon as soon as it has started.
  bool mIsServing = true;
};

} // namespace bilberrytrail
