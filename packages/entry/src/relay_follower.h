#pragma once

#include "cache_follower.h"
#include "loop_watch.h"
#include "peer_site_reader.h"
#include "relay_choice.h"
#include "site_server.h"
#include "table_follower.h"

namespace bilberrytrail {

// Follows what is new at the site through a relay, which is another daemon of
// the zone, and decides when this daemon follows the tables directly instead:
//
// - while there is no relay to ask, as at its start,
// - while others rely on this daemon,
// - at once when the relay does not answer, or its rows may lack changes.
//
// The stores are followed directly only by daemons on which others rely, and in
// zones without relays: a daemon without a relay goes without what the stores
// hold.
class RelayFollower
{
public:
  RelayFollower(Loop& aLoop,
                PeerDirectory& aPeers,
                TableFollower& aTables,
                PeerSiteReader& aReader,
                SiteServer& aServer,
                CacheFollower& aCache,
                const LoopWatch& aWatch,
                RelayChoice aChoice);

  // Asks the relay until the loop stops.
  void Run();
  // Adds the RPC method by which other daemons ask this one.
  void AddMethods(RpcMethods& aMethods);
  // Sends the daemons that rely on this one to the next relay, before it stops.
  void Leave();

private:
  void AskRelay(const PeerAddress& aRelay);
  void OnAnswer(const PeerAddress& aRelay);
  void OnFailure(const PeerAddress& aRelay,
                 const Result<SiteNotice>& aNotice,
                 Instant aSentAt);
  // What this daemon is among the possible relays of its zone, as far as known.
  struct Role
  {
    bool mZoneHasRelays = false;
    bool mIsCandidate = true;
    bool mIsFirst = true;
  };

  void UpdateRole();
  // Updates how this daemon follows the site.
  void Update(Instant aNow);
  // Returns whether others rely on this daemon, or will once they have started.
  [[nodiscard]] bool IsServing(Instant aNow) const;
  // Returns whether this daemon may be asked by others that rely on it.
  [[nodiscard]] bool MayServe() const;
  void SetRelay(const PeerAddress* aRelay);
  Result<Json> Answer(const Json& aParams);

  Loop& mLoop;
  PeerDirectory& mPeers;
  TableFollower& mTables;
  PeerSiteReader& mReader;
  SiteServer& mServer;
  CacheFollower& mCache;
  const LoopWatch& mWatch;
  RelayChoice mChoice;
  Role mRole;
  // The relay that answered last; empty while this daemon follows directly.
  DaemonId mRelay;
  // Where it answers queries for cache changes.
  std::optional<Endpoint> mRelayBulk;
  // There is a relay to ask.
  bool mHasRelay = false;
  bool mIsLeaving = false;
  std::optional<Instant> mFailedAt;
  // When another daemon that relies on this one last asked.
  std::optional<Instant> mAskedAt;
  // Failures in a row while this daemon itself was late.
  unsigned mLateFailures = 0;
};

} // namespace bilberrytrail
