#include "placement_service.h"

#include "part_report_codec.h"

#include <bilberrytrail/base/log.h>

#include <algorithm>
#include <iterator>

namespace bilberrytrail {

namespace {

// Reply timeout, as a share of the objective and in bounds: within a region the
// round trip of a datagram takes a few milliseconds, and a home on a busy VM
// takes somewhat longer.
constexpr double kReplyTimeoutObjectives = 0.125;
constexpr Duration kMinReplyTimeout = 15ms;
constexpr Duration kMaxReplyTimeout = 40ms;
// Groups tried for a request, and homes tried in each group.
constexpr std::size_t kMaxGroups = 2;
constexpr std::size_t kMaxHomes = 2;
// Back-off for a home that did not answer; doubles with each consecutive
// failure up to the maximum.
constexpr Duration kFirstBackOff = 500ms;
constexpr Duration kMaxBackOff = 8s;
// Time for which reports are collected before they are sent.
constexpr Duration kReportDelay = 15ms;
// Share of the servers' rate limits that a daemon uses for a group that others
// may place requests for at the same time: it is not the group's first home,
// has not been for kHomeSettlingTime, or has not read the list of daemons for
// kListValidTime.
constexpr double kStandInLimitShare = 0.25;
// Longer than the period in which daemons read the list.
constexpr Duration kListValidTime = 12s;
// Longer than kListValidTime: when a new home uses the whole limit, each other
// daemon has read its row, or no longer relies on an older list.
constexpr Duration kHomeSettlingTime = 15s;
// Period in which a daemon sends evidence against parts to another one.
constexpr Duration kExchangePeriod = 500ms;
// Daemons that a daemon asks for evidence after its start.
constexpr std::size_t kFirstExchanges = 4;
static_assert(kHomeSettlingTime > kListValidTime);

} // namespace

PlacementService::PlacementService(Loop& aLoop,
                                   ZoneId aOwnZone,
                                   DaemonId aSelf,
                                   std::uint64_t aIncarnation,
                                   ServerLimits& aLimits,
                                   PartQuarantine& aParts)
  : mLoop(aLoop)
  , mSelf{ std::move(aSelf), aIncarnation }
  , mSocket(aLoop)
  , mLimits(aLimits)
  , mParts(aParts)
  , mLedger(std::move(aOwnZone), HomeAdmissionSettings(), aLimits)
  , mRandom(aIncarnation)
{
}

Result<void>
PlacementService::Start(const Endpoint& aEndpoint)
{
  if (auto port = mSocket.Bind(aEndpoint); !port) {
    return std::move(port).error();
  }
  mLoop.Spawn([this] { Receive(); });
  mLoop.Spawn([this] { ExchangeParts(); });
  return Ok();
}

void
PlacementService::SetMap(std::shared_ptr<const PlacementMap> aMap)
{
  const bool isFirst = mMap == nullptr;
  mMap = std::move(aMap);
  if (isFirst) {
    SendPartsToRandom(kFirstExchanges);
  }
  std::map<PlacementGroup, Instant> since;
  for (const auto& group : mMap->GroupsOf(mSelf.mDaemon)) {
    const auto known = mFirstHomeSince.find(group);
    since.emplace(
      group, known == mFirstHomeSince.end() ? MonotonicNow() : known->second);
  }
  mFirstHomeSince = std::move(since);
}

double
PlacementService::LimitShareFor(const PlacementGroup& aGroup,
                                Instant aNow) const
{
  const auto it = mFirstHomeSince.find(aGroup);
  const bool isSettled =
    it != mFirstHomeSince.end() && aNow - it->second >= kHomeSettlingTime;
  const bool isCurrent = aNow - mListReadAt <= kListValidTime;
  return isSettled && isCurrent ? 1 : kStandInLimitShare;
}

PlacementReply
PlacementService::HandleRequest(const PlacementClientId& aClient,
                                const PlacementRequest& aRequest)
{
  const auto now = MonotonicNow();
  return mLedger.HandleRequest(
    aClient, aRequest, now, LimitShareFor(aRequest.mGroup, now));
}

std::vector<LimitReport>
PlacementService::LimitReports() const
{
  const auto now = MonotonicNow();
  std::vector<LimitReport> reports;
  for (const auto& it : mLimits.Recent(now)) {
    reports.push_back({ it.mServer, it.mPerSecond, now - it.mAt });
  }
  return reports;
}

void
PlacementService::MergeLimits(const std::vector<LimitReport>& aReports)
{
  const auto now = MonotonicNow();
  std::vector<LimitObservation> observations;
  observations.reserve(aReports.size());
  for (const auto& it : aReports) {
    observations.push_back({ it.mServer, it.mPerSecond, now - it.mAge });
  }
  mLimits.Merge(observations, now);
}

std::vector<PartReport>
PlacementService::PartReports() const
{
  const auto now = MonotonicNow();
  return ToReports(mParts.Recent(now), now);
}

void
PlacementService::MergeParts(const std::vector<PartReport>& aReports)
{
  if (!aReports.empty()) {
    const auto now = MonotonicNow();
    mParts.Merge(ToEvidence(aReports, now), now);
  }
}

void
PlacementService::SendParts(const Endpoint& aDaemon)
{
  mSocket.Send(
    aDaemon,
    Encode(PlacementMessage{ mSelf, std::nullopt, {}, {}, PartReports() }));
}

void
PlacementService::SendPartsToRandom(std::size_t aDaemons)
{
  std::vector<PlacementCandidate> others;
  std::ranges::copy_if(
    mMap->Daemons(), std::back_inserter(others), [&](const auto& aDaemon) {
      return aDaemon.mDaemon != mSelf.mDaemon;
    });
  for (const auto& it : PickRandom(std::move(others), aDaemons, mRandom)) {
    SendParts(it.mEndpoint);
  }
}

void
PlacementService::ExchangeParts()
{
  while (mLoop.Sleep(kExchangePeriod)) {
    if (mMap != nullptr && !mParts.Recent(MonotonicNow()).empty()) {
      SendPartsToRandom(1);
    }
  }
}

bool
PlacementService::IsBackedOff(const DaemonId& aHome) const
{
  const auto it = mBackOffs.find(aHome);
  return it != mBackOffs.end() && MonotonicNow() < it->second.mEndsAt;
}

void
PlacementService::OnReplyTimeout(const DaemonId& aHome)
{
  auto& backOff = mBackOffs[aHome];
  const auto now = MonotonicNow();
  if (now < backOff.mEndsAt) {
    // Another request to this home timed out first.
    return;
  }
  backOff.mTime = std::clamp(backOff.mTime * 2, kFirstBackOff, kMaxBackOff);
  backOff.mEndsAt = now + backOff.mTime;
  LogLine(LogEvent::HomeSilent,
          { { "daemon", aHome }, { "rest", backOff.mTime } });
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
  std::optional<PlacementReply> refused;
  for (const auto& group :
       map->GroupsFor(aQuery.mService, affinity, kMaxGroups)) {
    PlacementRequest request;
    request.mGroup = group;
    request.mQuery = aQuery;
    request.mTimeLeft = aTimeLeft;
    request.mMustPlace = aMustPlace;
    auto reply = PlaceInGroup(std::move(request));
    if (reply && reply->mOutcome == PlacementOutcome::Granted) {
      return reply;
    }
    const bool isRefused =
      reply && (reply->mOutcome == PlacementOutcome::Busy ||
                reply->mOutcome == PlacementOutcome::Limited);
    if (isRefused && (!refused || reply->mTime < refused->mTime)) {
      refused = reply;
    }
  }
  return refused;
}

std::optional<PlacementReply>
PlacementService::PlaceInGroup(PlacementRequest aRequest)
{
  const auto map = mMap;
  std::size_t attempts = 0;
  for (const auto& home : map->HomesOf(aRequest.mGroup)) {
    if (IsBackedOff(home.mDaemon)) {
      continue;
    }
    aRequest.mTicket = ++mLastTicket;
    if (auto reply = RequestFromHome(home, aRequest)) {
      if (reply->mOutcome == PlacementOutcome::Granted) {
        mGrants.emplace(aRequest.mTicket, home);
      }
      return reply;
    }
    if (++attempts == kMaxHomes) {
      break;
    }
  }
  return std::nullopt;
}

std::optional<PlacementReply>
PlacementService::RequestFromHome(const PlacementCandidate& aHome,
                                  const PlacementRequest& aRequest)
{
  if (aHome.mDaemon == mSelf.mDaemon) {
    return HandleRequest(mSelf, aRequest);
  }
  Event arrived(mLoop);
  mPending[aRequest.mTicket].mArrived = &arrived;
  mSocket.Send(aHome.mEndpoint,
               Encode(PlacementMessage{ mSelf,
                                        aRequest,
                                        TakeReports(aHome.mDaemon),
                                        LimitReports(),
                                        PartReports() }));
  const auto timeout = std::clamp(
    FromMillis(ToMillis(aRequest.mQuery.mObjective) * kReplyTimeoutObjectives),
    kMinReplyTimeout,
    kMaxReplyTimeout);
  (void)arrived.Wait(timeout);
  auto reply = std::move(mPending[aRequest.mTicket].mReply);
  mPending.erase(aRequest.mTicket);
  if (!reply) {
    OnReplyTimeout(aHome.mDaemon);
    // The home may have granted the request and its reply may still come:
    // report the grant as abandoned, so that the home drops it.
    mGrants.emplace(aRequest.mTicket, aHome);
    OnEnd(aRequest.mTicket, SendOutcome::Abandoned);
    return std::nullopt;
  }
  mBackOffs.erase(aHome.mDaemon);
  return reply;
}

std::vector<PlacementReport>
PlacementService::TakeReports(const DaemonId& aHome)
{
  const auto it = mReports.find(aHome);
  if (it == mReports.end()) {
    return {};
  }
  auto reports = std::move(it->second.second);
  mReports.erase(it);
  return reports;
}

void
PlacementService::OnBegun(std::uint64_t aTicket)
{
  Report(aTicket, std::nullopt);
}

void
PlacementService::OnEnd(std::uint64_t aTicket, SendOutcome aOutcome)
{
  Report(aTicket, aOutcome);
  mGrants.erase(aTicket);
}

void
PlacementService::Report(std::uint64_t aTicket,
                         std::optional<SendOutcome> aOutcome)
{
  const auto it = mGrants.find(aTicket);
  if (it == mGrants.end()) {
    return;
  }
  const PlacementReport report{ aTicket, aOutcome };
  if (it->second.mDaemon == mSelf.mDaemon) {
    mLedger.Report(mSelf, report, MonotonicNow());
    return;
  }
  auto& [endpoint, reports] = mReports[it->second.mDaemon];
  endpoint = it->second.mEndpoint;
  reports.push_back(report);
  if (!mIsFlushing) {
    mIsFlushing = true;
    mLoop.Spawn([this] { FlushReports(); });
  }
}

void
PlacementService::FlushReports()
{
  (void)mLoop.Sleep(kReportDelay);
  mIsFlushing = false;
  for (auto& [home, entry] : std::exchange(mReports, {})) {
    mSocket.Send(entry.first,
                 Encode(PlacementMessage{ mSelf,
                                          std::nullopt,
                                          std::move(entry.second),
                                          LimitReports(),
                                          PartReports() }));
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
  const auto& [client, request, reports, limits, parts] = message.value();
  const auto now = MonotonicNow();
  MergeLimits(limits);
  MergeParts(parts);
  for (const auto& it : reports) {
    mLedger.Report(client, it, now);
  }
  const bool isQuery = !request && reports.empty() && parts.empty();
  if (isQuery && !mParts.Recent(now).empty()) {
    SendParts(aDatagram.mFrom);
  }
  if (request) {
    mSocket.Send(aDatagram.mFrom,
                 Encode(PlacementAnswer{ HandleRequest(client, *request),
                                         LimitReports(),
                                         PartReports() }));
  }
}

void
PlacementService::OnReply(const Datagram& aDatagram)
{
  auto answer = DecodePlacementAnswer(aDatagram.mBody);
  if (!answer) {
    LogLine(LogEvent::PlacementUnreadable,
            { { "from", ToText(aDatagram.mFrom) },
              { "reason", answer.error().mMessage } });
    return;
  }
  MergeLimits(answer.value().mLimits);
  MergeParts(answer.value().mParts);
  const auto it = mPending.find(answer.value().mReply.mTicket);
  if (it != mPending.end()) {
    it->second.mReply = std::move(answer).value().mReply;
    it->second.mArrived->Notify();
  }
}

} // namespace bilberrytrail
