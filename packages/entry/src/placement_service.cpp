#include "placement_service.h"

#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Longest wait for a home, as a share of the objective and in bounds: inside a
// region a datagram takes a few milliseconds both ways, and a home on a busy
// VM some more.
constexpr double kAskObjectives = 0.125;
constexpr Duration kMinAskTime = 15ms;
constexpr Duration kMaxAskTime = 40ms;
// Groups of a service that a request asks, and homes of a group.
constexpr std::size_t kGroups = 2;
constexpr std::size_t kHomes = 2;
// How long a home that did not answer is not asked, at first and at most; the
// time doubles with each failure in a row.
constexpr Duration kFirstRest = 500ms;
constexpr Duration kMaxRest = 8s;
// News of grants are gathered for so long.
constexpr Duration kTellDelay = 15ms;

} // namespace

PlacementService::PlacementService(Loop& aLoop,
                                   ZoneId aOwnZone,
                                   DaemonId aSelf,
                                   std::uint64_t aIncarnation)
  : mLoop(aLoop)
  , mSelf{ std::move(aSelf), aIncarnation }
  , mSocket(aLoop)
  , mBook(std::move(aOwnZone), HomeAdmission())
{
}

Result<void>
PlacementService::Start(const Endpoint& aEndpoint)
{
  if (auto port = mSocket.Bind(aEndpoint); !port) {
    return std::move(port).error();
  }
  mLoop.Spawn([this] { Receive(); });
  return Ok();
}

void
PlacementService::SetMap(std::shared_ptr<const PlacementMap> aMap)
{
  mMap = std::move(aMap);
}

bool
PlacementService::IsResting(const DaemonId& aHome) const
{
  const auto it = mRests.find(aHome);
  return it != mRests.end() && MonotonicNow() < it->second.mUntil;
}

void
PlacementService::OnSilent(const DaemonId& aHome)
{
  auto& rest = mRests[aHome];
  const auto now = MonotonicNow();
  if (now < rest.mUntil) {
    // Another question failed at the same time.
    return;
  }
  rest.mTime = std::clamp(rest.mTime * 2, kFirstRest, kMaxRest);
  rest.mUntil = now + rest.mTime;
  LogLine(LogEvent::HomeSilent,
          { { "daemon", aHome }, { "rest", rest.mTime } });
}

std::optional<PlacementReply>
PlacementService::Place(const ServerQuery& aQuery,
                        std::uint64_t aSpread,
                        Duration aTimeLeft,
                        bool aMustPlace)
{
  const auto map = mMap;
  if (map == nullptr) {
    return std::nullopt;
  }
  const auto affinity = aQuery.mAffinity != 0 ? aQuery.mAffinity : aSpread;
  std::optional<PlacementReply> busy;
  for (const auto& group : map->GroupsFor(aQuery.mService, affinity, kGroups)) {
    PlacementRequest ask;
    ask.mGroup = group;
    ask.mQuery = aQuery;
    ask.mTimeLeft = aTimeLeft;
    ask.mMustPlace = aMustPlace;
    auto reply = AskGroup(std::move(ask));
    if (reply && reply->mOutcome == PlacementOutcome::Granted) {
      return reply;
    }
    if (reply && reply->mOutcome == PlacementOutcome::Busy &&
        (!busy || reply->mTime < busy->mTime)) {
      busy = reply;
    }
  }
  return busy;
}

std::optional<PlacementReply>
PlacementService::AskGroup(PlacementRequest aAsk)
{
  const auto map = mMap;
  std::size_t asked = 0;
  for (const auto& home : map->HomesOf(aAsk.mGroup)) {
    if (IsResting(home.mDaemon)) {
      continue;
    }
    aAsk.mTicket = ++mLastTicket;
    if (auto reply = AskHome(home, aAsk)) {
      if (reply->mOutcome == PlacementOutcome::Granted) {
        mGrants.emplace(aAsk.mTicket, home);
      }
      return reply;
    }
    if (++asked == kHomes) {
      break;
    }
  }
  return std::nullopt;
}

std::optional<PlacementReply>
PlacementService::AskHome(const PlacementCandidate& aHome,
                          const PlacementRequest& aAsk)
{
  if (aHome.mDaemon == mSelf.mDaemon) {
    return mBook.Ask(mSelf, aAsk, MonotonicNow());
  }
  Event arrived(mLoop);
  mPending[aAsk.mTicket].mArrived = &arrived;
  mSocket.Send(
    aHome.mEndpoint,
    Encode(PlacementMessage{ mSelf, aAsk, TakeTells(aHome.mDaemon) }));
  const auto wait =
    std::clamp(FromMillis(ToMillis(aAsk.mQuery.mObjective) * kAskObjectives),
               kMinAskTime,
               kMaxAskTime);
  (void)arrived.Wait(wait);
  auto reply = std::move(mPending[aAsk.mTicket].mReply);
  mPending.erase(aAsk.mTicket);
  if (!reply) {
    OnSilent(aHome.mDaemon);
    // The reply may come yet: the home is to forget the grant.
    mGrants.emplace(aAsk.mTicket, aHome);
    OnEnd(aAsk.mTicket, SendOutcome::Abandoned);
    return std::nullopt;
  }
  mRests.erase(aHome.mDaemon);
  return reply;
}

std::vector<PlacementReport>
PlacementService::TakeTells(const DaemonId& aHome)
{
  const auto it = mTells.find(aHome);
  if (it == mTells.end()) {
    return {};
  }
  auto tells = std::move(it->second.second);
  mTells.erase(it);
  return tells;
}

void
PlacementService::OnBegun(std::uint64_t aTicket)
{
  Tell(aTicket, std::nullopt);
}

void
PlacementService::OnEnd(std::uint64_t aTicket, SendOutcome aEnd)
{
  Tell(aTicket, aEnd);
  mGrants.erase(aTicket);
}

void
PlacementService::Tell(std::uint64_t aTicket, std::optional<SendOutcome> aEnd)
{
  const auto it = mGrants.find(aTicket);
  if (it == mGrants.end()) {
    return;
  }
  const PlacementReport tell{ aTicket, aEnd };
  if (it->second.mDaemon == mSelf.mDaemon) {
    mBook.Tell(mSelf, tell, MonotonicNow());
    return;
  }
  auto& [endpoint, tells] = mTells[it->second.mDaemon];
  endpoint = it->second.mEndpoint;
  tells.push_back(tell);
  if (!mIsFlushing) {
    mIsFlushing = true;
    mLoop.Spawn([this] { FlushTells(); });
  }
}

void
PlacementService::FlushTells()
{
  (void)mLoop.Sleep(kTellDelay);
  mIsFlushing = false;
  for (auto& [home, news] : std::exchange(mTells, {})) {
    mSocket.Send(
      news.first,
      Encode(PlacementMessage{ mSelf, std::nullopt, std::move(news.second) }));
  }
}

void
PlacementService::Receive()
{
  while (!mLoop.IsStopping()) {
    const auto datagram = mSocket.Receive();
    if (!datagram) {
      return;
    }
    if (IsPlacementReply(datagram.value().mBody)) {
      OnReply(datagram.value());
    } else {
      OnMessage(datagram.value());
    }
  }
}

void
PlacementService::OnMessage(const Datagram& aDatagram)
{
  const auto message = DecodePlacementMessage(aDatagram.mBody);
  if (!message) {
    LogLine(LogEvent::PlacementUnreadable,
            { { "from", ToText(aDatagram.mFrom) },
              { "reason", message.error().mMessage } });
    return;
  }
  const auto& [client, ask, tells] = message.value();
  const auto now = MonotonicNow();
  for (const auto& it : tells) {
    mBook.Tell(client, it, now);
  }
  if (ask) {
    mSocket.Send(aDatagram.mFrom, Encode(mBook.Ask(client, *ask, now)));
  }
}

void
PlacementService::OnReply(const Datagram& aDatagram)
{
  auto reply = DecodePlacementReply(aDatagram.mBody);
  if (!reply) {
    LogLine(LogEvent::PlacementUnreadable,
            { { "from", ToText(aDatagram.mFrom) },
              { "reason", reply.error().mMessage } });
    return;
  }
  const auto it = mPending.find(reply.value().mTicket);
  if (it != mPending.end()) {
    it->second.mReply = std::move(reply).value();
    it->second.mArrived->Notify();
  }
}

} // namespace bilberrytrail
