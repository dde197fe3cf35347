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
// Period in which a daemon sends evidence to another one.
constexpr Duration kExchangePeriod = 500ms;
// Daemons that a daemon asks for evidence after its start.
constexpr std::size_t kFirstExchanges = 4;
static_assert(kHomeSettlingTime > kListValidTime);

// Returns the evidence to send to other daemons.
std::vector<PartReport>
ReportsOf(const PartQuarantine& aQuarantine)
{
  const auto now = MonotonicNow();
  return ToReports(aQuarantine.Recent(now), now);
}

void
MergeReports(PartQuarantine& aQuarantine,
             const std::vector<PartReport>& aReports)
{
  if (!aReports.empty()) {
    const auto now = MonotonicNow();
    aQuarantine.Merge(ToEvidence(aReports, now), now);
  }
}

} // namespace

PlacementService::PlacementService(Loop& aLoop,
                                   ZoneId aOwnZone,
                                   DaemonId aSelf,
                                   std::uint64_t aIncarnation,
                                   ServerLimits& aLimits,
                                   ColdServers& aColds,
                                   PartQuarantine& aParts,
                                   PartQuarantine& aRequests)
  : mLoop(aLoop)
  , mSelf{ std::move(aSelf), aIncarnation }
  , mSocket(aLoop)
  , mLimits(aLimits)
  , mColds(aColds)
  , mParts(aParts)
  , mRequests(aRequests)
  , mLedger(std::move(aOwnZone), HomeAdmissionSettings(), aLimits, &aColds)
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
  mLoop.Spawn([this] { ExchangeEvidence(); });
  return Ok();
}

void
PlacementService::SetMap(std::shared_ptr<const PlacementMap> aMap)
{
  const bool isFirst = mMap == nullptr;
  mMap = std::move(aMap);
  if (isFirst) {
    SendEvidenceToRandom(kFirstExchanges);
  }
  std::map<PlacementGroup, Instant> since;
  for (const auto& group : mMap->GroupsOf(mSelf.mDaemon)) {
    const auto known = mFirstHomeSince.find(group);
    since.emplace(group,
                  known == mFirstHomeSince.end() ? BootNow() : known->second);
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
    aClient, aRequest, now, LimitShareFor(aRequest.mGroup, BootNow()));
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

std::vector<ColdReport>
PlacementService::ColdReports() const
{
  std::vector<ColdReport> reports;
  for (const auto& it : mColds.Recent(MonotonicNow())) {
    reports.push_back({ it.mServer, it.mLeft });
  }
  return reports;
}

void
PlacementService::MergeColds(const std::vector<ColdReport>& aReports)
{
  const auto now = MonotonicNow();
  std::vector<ColdObservation> observations;
  observations.reserve(aReports.size());
  for (const auto& it : aReports) {
    observations.push_back({ it.mServer, it.mLeft, now });
  }
  mColds.Merge(observations, now);
}

PlacementMessage
PlacementService::MakeMessage() const
{
  PlacementMessage message;
  message.mClient = mSelf;
  message.mNewestRows = mNewestRows;
  message.mLimits = LimitReports();
  message.mColds = ColdReports();
  message.mParts = ReportsOf(mParts);
  message.mWholeRequests = ReportsOf(mRequests);
  return message;
}

bool
PlacementService::HasEvidence() const
{
  const auto now = MonotonicNow();
  return !mParts.Recent(now).empty() || !mRequests.Recent(now).empty();
}

void
PlacementService::SendEvidence(const Endpoint& aDaemon)
{
  mSocket.Send(aDaemon, Encode(MakeMessage()));
}

void
PlacementService::SendEvidenceToRandom(std::size_t aDaemons)
{
  std::vector<PlacementCandidate> others;
  std::ranges::copy_if(
    mMap->Daemons(), std::back_inserter(others), [&](const auto& aDaemon) {
      return aDaemon.mDaemon != mSelf.mDaemon;
    });
  for (const auto& it : PickRandom(std::move(others), aDaemons, mRandom)) {
    SendEvidence(it.mEndpoint);
  }
}

void
PlacementService::ExchangeEvidence()
{
  while (mLoop.Sleep(kExchangePeriod)) {
    if (mMap != nullptr && HasEvidence()) {
      SendEvidenceToRandom(1);
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
  auto message = MakeMessage();
  message.mRequest = aRequest;
  message.mReports = TakeReports(aHome.mDaemon);
  mSocket.Send(aHome.mEndpoint, Encode(message));
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
    auto message = MakeMessage();
    message.mReports = std::move(entry.second);
    mSocket.Send(entry.first, Encode(message));
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
  const auto& [client,
               newestRows,
               request,
               reports,
               limits,
               colds,
               parts,
               requests] = message.value();
  const auto now = MonotonicNow();
  CompareRows(newestRows);
  MergeLimits(limits);
  MergeColds(colds);
  MergeReports(mParts, parts);
  MergeReports(mRequests, requests);
  for (const auto& it : reports) {
    mLedger.Report(client, it, now);
  }
  const bool isQuery =
    !request && reports.empty() && parts.empty() && requests.empty();
  if (isQuery && HasEvidence()) {
    SendEvidence(aDatagram.mFrom);
  }
  if (request) {
    mSocket.Send(aDatagram.mFrom,
                 Encode(PlacementAnswer{ HandleRequest(client, *request),
                                         mNewestRows,
                                         LimitReports(),
                                         ColdReports(),
                                         ReportsOf(mParts),
                                         ReportsOf(mRequests) }));
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
  CompareRows(answer.value().mNewestRows);
  MergeLimits(answer.value().mLimits);
  MergeColds(answer.value().mColds);
  MergeReports(mParts, answer.value().mParts);
  MergeReports(mRequests, answer.value().mWholeRequests);
  const auto it = mPending.find(answer.value().mReply.mTicket);
  if (it != mPending.end()) {
    it->second.mReply = std::move(answer).value().mReply;
    it->second.mArrived->Notify();
  }
}

void
PlacementService::CompareRows(const TableVersions& aVersions)
{
  for (const auto table : AllOf<SiteTable>()) {
    const auto n = static_cast<std::size_t>(table);
    const auto known = std::max(mNewestRows[n], mHeardOf[n]);
    if (aVersions[n] > known && mOnNewerRow) {
      mHeardOf[n] = aVersions[n];
      mOnNewerRow(table, aVersions[n]);
    }
  }
}

} // namespace bilberrytrail
