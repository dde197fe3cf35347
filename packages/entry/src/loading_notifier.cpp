#include "loading_notifier.h"

#include "peer_call.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// Time after which an unchanged notification is repeated.
constexpr Duration kRepeatPeriod = 500ms;
// A call crosses one zone boundary at most.
constexpr Duration kCallTimeout = 250ms;

} // namespace

Json
ToJson(const std::set<ServerId>& aServers)
{
  return ToJsonList(aServers,
                    [](const ServerId& aServer) { return aServer.Text(); });
}

std::set<ServerId>
ReadServerIds(JsonFields& aFields, std::string_view aField)
{
  std::set<ServerId> servers;
  for (auto& it : ReadListField(aFields, aField, ReadText)) {
    servers.emplace(std::move(it));
  }
  return servers;
}

LoadingNotifier::LoadingNotifier(Loop& aLoop,
                                 PeerDirectory& aPeers,
                                 PeerTransport& aTransport,
                                 DaemonId aSelf,
                                 Sink aSink)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mSelf(std::move(aSelf))
  , mSink(std::move(aSink))
  , mTransport(aTransport)
{
}

std::set<ServerId>
LoadingNotifier::Loading(Instant aNow) const
{
  return aNow < mReceivedAt + kLifetime ? mServers : std::set<ServerId>();
}

RelayChoice&
LoadingNotifier::RelayOf(const ZoneId& aZone)
{
  return mRelays.try_emplace(aZone, mSelf, aZone).first->second;
}

std::vector<PeerAddress>
LoadingNotifier::Recipients(Instant aNow)
{
  std::map<ZoneId, std::vector<PeerAddress>> zones;
  for (const auto& it : mPeers.All()) {
    zones[it.mZone].push_back(it);
  }
  std::vector<PeerAddress> recipients;
  for (const auto& [zone, daemons] : zones) {
    const auto relay = RelayOf(zone).Pick(mPeers.All(), aNow);
    if (relay) {
      recipients.push_back(*relay);
    } else if (daemons.size() <= RelayChoice::kDirectDaemons) {
      recipients.insert(recipients.end(), daemons.begin(), daemons.end());
    }
  }
  std::erase_if(recipients,
                [&](const PeerAddress& aPeer) { return aPeer.mName == mSelf; });
  return recipients;
}

void
LoadingNotifier::Publish(const std::set<ServerId>& aServers)
{
  const auto now = BootNow();
  const bool isNew = aServers != Loading(now);
  if (!isNew && (aServers.empty() || now < mPublishedAt + kRepeatPeriod)) {
    return;
  }
  mPublishedAt = now;
  ApplyLoading(aServers, now);
  const Json params{ { "servers", ToJson(aServers) } };
  for (const auto& it : Recipients(now)) {
    mLoop.Spawn([this, it, params] { SendTo(it, params); });
  }
}

void
LoadingNotifier::SendTo(const PeerAddress& aPeer, const Json& aParams)
{
  const auto reply =
    CallPeer(mTransport, aPeer, kLoadingMethod, aParams, kCallTimeout);
  auto& relay = RelayOf(aPeer.mZone);
  if (reply) {
    relay.OnAnswer(aPeer.mName);
    return;
  }
  LogLine(LogEvent::NoticeNotTaken,
          { { "daemon", aPeer.mName }, { "reason", reply.error().mMessage } });
  relay.OnFailure(aPeer.mName, BootNow());
}

void
LoadingNotifier::ApplyLoading(std::set<ServerId> aServers, Instant aAt)
{
  if (aAt < mReceivedAt) {
    return;
  }
  const bool isQuiet = mServers.empty() && aServers.empty();
  mServers = std::move(aServers);
  mReceivedAt = aAt;
  if (!isQuiet) {
    mSink(mServers);
  }
}

void
LoadingNotifier::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(std::string(kLoadingMethod),
               [this](const Json& aParams) -> Result<Json> {
                 JsonFields fields(aParams);
                 auto servers = ReadServerIds(fields, "servers");
                 if (auto ok = fields.Check(); !ok) {
                   return std::move(ok).error();
                 }
                 ApplyLoading(std::move(servers), BootNow());
                 return Json::object();
               });
}

} // namespace bilberrytrail
