#pragma once

#include "cache_page_codec.h"
#include "loading_notifier.h"
#include "relay_choice.h"
#include "store_follower.h"

namespace bilberrytrail {

// Name of the call by which a daemon follows another one.
inline constexpr std::string_view kRelayMethod = "site.news";

// What a daemon that follows another asks of it.
struct RelayQuery
{
  ReplicaQuery mReplica;
  CacheCursor mCache;
};

// What is new behind it.
struct RelayReply
{
  ReplicaReply mReplica;
  CachePage mCache;
  // Servers that load weights.
  std::set<ServerId> mLoading;
};

[[nodiscard]] Json
ToJson(const RelayQuery& aQuery);
[[nodiscard]] Result<RelayQuery>
ReadRelayQuery(const Json& aJson);
[[nodiscard]] Json
ToJson(const RelayReply& aReply);
[[nodiscard]] Result<RelayReply>
ReadRelayReply(const Json& aJson);

// Decides whether this daemon follows the tables and stores itself or asks
// another one for what is new, and does the latter. It follows itself
//
// - while no other daemon is to be asked, as at its start,
// - while others ask it,
// - at once when the other one does not answer or is itself behind.
class RelayFollower
{
public:
  RelayFollower(Loop& aLoop,
                PeerDirectory& aPeers,
                SiteFollower& aSite,
                StoreFollower& aStores,
                LoadingNotifier& aNotifier,
                CacheSink& aSink,
                RelayChoice aChoice);

  // Asks until the loop stops.
  void Run();
  // Adds the call that other daemons make.
  void AddMethods(RpcMethods& aMethods);

private:
  // Returns whether there is more to ask for.
  bool QueryRelay(const PeerAddress& aRelay);
  Result<RelayReply> Call(const PeerAddress& aRelay);
  void ApplyReply(const PeerAddress& aRelay, const RelayReply& aReply);
  void SetDirect(bool aIsServing, Instant aNow);
  // Returns whether others rely on this daemon, or will as soon as they have
  // started too.
  [[nodiscard]] bool IsServing(Instant aNow) const;
  void LeaveRelay(bool aIsServing);
  Result<Json> Answer(const Json& aParams);

  Loop& mLoop;
  PeerDirectory& mPeers;
  SiteFollower& mSite;
  StoreFollower& mStores;
  LoadingNotifier& mNotifier;
  CacheSink& mSink;
  HttpClient mClient;
  RelayChoice mChoice;
  CacheCursor mCursor;
  // The daemon that answered last; empty while this one follows itself.
  DaemonId mRelay;
  std::optional<Instant> mFailedAt;
  bool mHasRelay = false;
  std::optional<Instant> mQueriedAt;
};

} // namespace bilberrytrail
