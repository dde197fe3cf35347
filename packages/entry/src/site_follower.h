#pragma once

#include "peer_directory.h"
#include "peer_images.h"

#include <bilberrytrail/entry/site_view.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/rpc.h>

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
  void Confirm(Instant aNow) noexcept
  {
    mConfirmedAt = aNow.time_since_epoch().count();
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

  // Starts the fibers that follow.
  void Start();
  // Adds the call by which other daemons ask for the copies.
  void AddMethods(RpcMethods& aMethods);

private:
  void Follow(SiteTable aTable);
  void WatchExpiry();
  bool ReadOnce(SiteTable aTable, bool& aMustReadAll);
  void OnContact(SiteTable aTable);
  void OnOutage(SiteTable aTable, const CallError& aError);
  void AskPeers();
  Result<ImageReply> AskPeer(const PeerAddress& aPeer);
  void TakeReply(const PeerAddress& aPeer, const ImageReply& aReply);
  void Publish();

  Loop& mLoop;
  SiteFeed& mFeed;
  PeerDirectory& mPeers;
  SiteViewHolder& mViews;
  HttpClient mClient;
  SiteImage mImage;
  SiteAssembler mAssembler;
  bool mIsOut = false;
  Instant mOutSince;
  bool mIsAsking = false;
};

} // namespace bilberrytrail
