#pragma once

#include "peer_transport.h"
#include "relay_choice.h"

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/rpc.h>

#include <functional>
#include <map>
#include <set>

namespace bilberrytrail {

// RPC method by which the holder of the rollout lease announces the servers
// that are loading.
inline constexpr std::string_view kLoadingMethod = "weights.loading";

// Notifies all daemons of the servers that are loading weights, so that none
// sends them prompts that they would refuse. The holder of the rollout lease
// notifies the daemons of small availability zones directly, and of each large
// zone the relay, which the other daemons of the zone query anyway. Soft state:
// a notification is valid for kLifetime.
class LoadingNotifier
{
public:
  // Receives the servers that are loading.
  using Sink = std::function<void(const std::set<ServerId>&)>;

  // Several times the time between two notifications.
  static constexpr Duration kLifetime = 1500ms;

  LoadingNotifier(Loop& aLoop,
                  PeerDirectory& aPeers,
                  PeerTransport& aTransport,
                  DaemonId aSelf,
                  Sink aSink);

  // Returns the servers that are loading, as far as known. All times are on the
  // boot clock.
  [[nodiscard]] std::set<ServerId> Loading(Instant aNow) const;
  // Returns the time since the holder was heard.
  [[nodiscard]] Duration Age(Instant aNow) const { return aNow - mReceivedAt; }

  // Notifies the other daemons; called by the lease holder.
  void Publish(const std::set<ServerId>& aServers);
  // Applies a notification that is of the time aAt, unless a newer one was
  // applied.
  void ApplyLoading(std::set<ServerId> aServers, Instant aAt);
  // Adds the RPC method of this notification.
  void AddMethods(RpcMethods& aMethods);

private:
  [[nodiscard]] std::vector<PeerAddress> Recipients(Instant aNow);
  void SendTo(const PeerAddress& aPeer, const Json& aParams);
  [[nodiscard]] RelayChoice& RelayOf(const ZoneId& aZone);

  Loop& mLoop;
  PeerDirectory& mPeers;
  const DaemonId mSelf;
  const Sink mSink;
  PeerTransport& mTransport;
  std::map<ZoneId, RelayChoice> mRelays;
  std::set<ServerId> mServers;
  Instant mReceivedAt;
  Instant mPublishedAt;
};

// JSON form of server names between daemons.
[[nodiscard]] Json
ToJson(const std::set<ServerId>& aServers);
// Marks the field as bad when it is not a list of names.
[[nodiscard]] std::set<ServerId>
ReadServerIds(JsonFields& aFields, std::string_view aField);

} // namespace bilberrytrail
