#pragma once

#include "relay_choice.h"

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>
#include <bilberrytrail/runtime/rpc.h>

#include <functional>
#include <map>
#include <set>

namespace bilberrytrail {

// Name of the call by which the holder of the roll tells which servers load.
inline constexpr std::string_view kLoadingMethod = "weights.loading";

// Tells all daemons which servers load weights, so that none sends them
// prompts that they would refuse. The holder of the roll tells the daemons of
// small availability zones, and one daemon of each large zone, which the others
// of its zone ask anyway. Soft state: a notice counts for kLifetime.
class LoadingNotifier
{
public:
  // Takes the servers that load.
  using Sink = std::function<void(const std::set<ServerId>&)>;

  // Several times the time between two notices.
  static constexpr Duration kLifetime = 1500ms;

  LoadingNotifier(Loop& aLoop,
                  PeerDirectory& aPeers,
                  DaemonId aSelf,
                  Sink aSink);

  // Returns the servers that load, as far as is known.
  [[nodiscard]] std::set<ServerId> Loading(Instant aNow) const;

  // Tells the other daemons; for the holder of the roll.
  void Publish(const std::set<ServerId>& aServers);
  // Takes in what another daemon told.
  void ApplyLoading(std::set<ServerId> aServers);
  // Adds the call that other daemons make.
  void AddMethods(RpcMethods& aMethods);

private:
  [[nodiscard]] std::vector<PeerAddress> Recipients(Instant aNow);
  void SendTo(const PeerAddress& aPeer, const Json& aParams);
  [[nodiscard]] RelayChoice& RelayOf(const ZoneId& aZone);

  Loop& mLoop;
  PeerDirectory& mPeers;
  const DaemonId mSelf;
  const Sink mSink;
  HttpClient mClient;
  std::map<ZoneId, RelayChoice> mRelays;
  std::set<ServerId> mServers;
  Instant mReceivedAt;
  Instant mPublishedAt;
};

// Server names as they travel between daemons.
[[nodiscard]] Json
ToJson(const std::set<ServerId>& aServers);
// Marks the field as bad when it is no list of names.
[[nodiscard]] std::set<ServerId>
ReadServerIds(JsonFields& aFields, std::string_view aField);

} // namespace bilberrytrail
