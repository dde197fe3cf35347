#pragma once

#include "cache_page_codec.h"
#include "peer_transport.h"
#include "store_follower.h"

#include <optional>

namespace bilberrytrail {

// Learns what the stores hold, from the stores themselves or from the relay. It
// runs on a loop of its own and has calls and deadlines of its own: cache
// changes are many, and being late with them must not delay anything else.
// The setters may be called on any thread.
class CacheFollower
{
public:
  // Calls are made on aLoop, which is also that of aStores.
  CacheFollower(Loop& aLoop, PeerTransport& aTransport, StoreFollower& aStores);

  // Starts the fibers.
  void Start();
  // Sets whether this daemon follows the stores directly.
  void SetDirect(bool aIsDirect);
  // Sets whether it keeps changes for other daemons.
  void SetKept(bool aIsKept);
  // Sets the address at which the relay answers queries for cache changes;
  // nothing for none.
  void SetRelay(std::optional<Endpoint> aRelay);

private:
  void Run();
  // Returns whether the relay has more changes.
  bool QueryRelay(const Endpoint& aRelay);
  Result<CacheReply> Call(const Endpoint& aRelay);

  Loop& mLoop;
  PeerTransport& mTransport;
  StoreFollower& mStores;
  // As set last, on the calling thread.
  std::optional<bool> mWantsDirect;
  std::optional<bool> mWantsKept;
  std::optional<Endpoint> mRelay;
  // Where the last reply ended, and which relay sent it.
  CacheCursor mCursor;
  std::optional<Endpoint> mCursorOf;
};

} // namespace bilberrytrail
