#pragma once

#include "cache_page_codec.h"
#include "loading_notifier.h"
#include "peer_transport.h"
#include "relay_choice.h"
#include "store_follower.h"

namespace bilberrytrail {

// RPC method by which a daemon queries its relay.
inline constexpr std::string_view kRelayMethod = "site.news";

// Query of a daemon to its relay.
struct RelayQuery
{
  ReplicaQuery mReplica;
  CacheCursor mCache;
};

// Changes since the query's versions and cursor.
struct RelayReply
{
  ReplicaReply mReplica;
  CachePage mCache;
  // Servers that are loading weights.
  std::set<ServerId> mLoading;
};

[[nodiscard]] Json
ToJson(const RelayQuery& aQuery);
[[nodiscard]] Result<RelayQuery>
ReadRelayQuery(const Json& aJson);
[[nodiscard]] Result<RelayReply>
ReadRelayReply(const Json& aJson);

// Follows the tables and stores through a relay, which is another daemon of the
// zone, and decides when this daemon follows them directly instead:
//
// - while there is no relay to query, as at its start,
// - while others query it,
// - at once when the relay does not answer or its replica is too old.
class RelayFollower
{
public:
  RelayFollower(Loop& aLoop,
                PeerDirectory& aPeers,
                PeerTransport& aTransport,
                SiteFollower& aSite,
                StoreFollower& aStores,
                LoadingNotifier& aNotifier,
                CacheSink& aSink,
                RelayChoice aChoice,
                SiteMetrics& aMetrics);

  // Queries the relay until the loop stops.
  void Run();
  // Adds the RPC method of this query.
  void AddMethods(RpcMethods& aMethods);

private:
  // Returns whether the relay has more changes.
  bool QueryRelay(const PeerAddress& aRelay);
  Result<RelayReply> Call(const PeerAddress& aRelay);
  void ApplyReply(const PeerAddress& aRelay,
                  const RelayReply& aReply,
                  Instant aSentAt);
  void SetDirect(bool aIsServing, Instant aNow);
  // Returns whether others rely on this daemon, or will once they have started.
  [[nodiscard]] bool IsServing(Instant aNow) const;
  void LeaveRelay(bool aIsServing);
  Result<Json> Answer(const Json& aParams);

  Loop& mLoop;
  PeerDirectory& mPeers;
  SiteFollower& mSite;
  StoreFollower& mStores;
  LoadingNotifier& mNotifier;
  CacheSink& mSink;
  PeerTransport& mTransport;
  RelayChoice mChoice;
  SiteMetrics& mMetrics;
  std::size_t mAnswers = 0;
  CacheCursor mCursor;
  // The relay that answered last; empty while this daemon follows directly.
  DaemonId mRelay;
  std::optional<Instant> mFailedAt;
  bool mHasRelay = false;
  std::optional<Instant> mQueriedAt;
};

} // namespace bilberrytrail
