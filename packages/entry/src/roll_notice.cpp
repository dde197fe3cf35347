#include "roll_notice.h"

#include "peer_call.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// How often an unchanged notice is told again.
constexpr Duration kRepeat = 500ms;
// A call crosses a zone's border at most.
constexpr Duration kCallTime = 250ms;

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

RollNotice::RollNotice(Loop& aLoop,
                       PeerDirectory& aPeers,
                       DaemonId aSelf,
                       Sink aSink)
  : mLoop(aLoop)
  , mPeers(aPeers)
  , mSelf(std::move(aSelf))
  , mSink(std::move(aSink))
  , mClient(aLoop)
{
}

std::set<ServerId>
RollNotice::Loading(Instant aNow) const
{
  return aNow < mToldAt + kLifetime ? mServers : std::set<ServerId>();
}

RelayChoice&
RollNotice::RelayOf(const ZoneId& aZone)
{
  return mRelays.try_emplace(aZone, mSelf, aZone).first->second;
}

std::vector<PeerAddress>
RollNotice::Receivers(Instant aNow)
{
  std::map<ZoneId, std::vector<PeerAddress>> zones;
  for (const auto& it : mPeers.All()) {
    zones[it.mZone].push_back(it);
  }
  std::vector<PeerAddress> receivers;
  for (const auto& [zone, daemons] : zones) {
    const auto relay = RelayOf(zone).Pick(mPeers.All(), aNow);
    if (relay) {
      receivers.push_back(*relay);
    } else if (daemons.size() <= RelayChoice::kDirectDaemons) {
      receivers.insert(receivers.end(), daemons.begin(), daemons.end());
    }
  }
  std::erase_if(receivers,
                [&](const PeerAddress& aPeer) { return aPeer.mName == mSelf; });
  return receivers;
}

void
RollNotice::Publish(const std::set<ServerId>& aServers)
{
  const auto now = MonotonicNow();
  const bool isNew = aServers != Loading(now);
  if (!isNew && (aServers.empty() || now < mPublishedAt + kRepeat)) {
    return;
  }
  mPublishedAt = now;
  Take(aServers);
  const Json params{ { "servers", ToJson(aServers) } };
  for (const auto& it : Receivers(now)) {
    mLoop.Spawn([this, it, params] { Tell(it, params); });
  }
}

void
RollNotice::Tell(const PeerAddress& aPeer, const Json& aParams)
{
  const auto reply =
    CallPeer(mClient, aPeer, kLoadingMethod, aParams, kCallTime);
  auto& relay = RelayOf(aPeer.mZone);
  if (reply) {
    relay.OnAnswer(aPeer.mName);
    return;
  }
  LogLine(LogEvent::NoticeNotTaken,
          { { "daemon", aPeer.mName }, { "reason", reply.error().mMessage } });
  relay.OnFailure(aPeer.mName, MonotonicNow());
}

void
RollNotice::Take(std::set<ServerId> aServers)
{
  mServers = std::move(aServers);
  mToldAt = MonotonicNow();
  mSink(mServers);
}

void
RollNotice::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(std::string(kLoadingMethod),
               [this](const Json& aParams) -> Result<Json> {
                 JsonFields fields(aParams);
                 auto servers = ReadServerIds(fields, "servers");
                 if (auto ok = fields.Check(); !ok) {
                   return std::move(ok).error();
                 }
                 Take(std::move(servers));
                 return Json::object();
               });
}

} // namespace bilberrytrail
