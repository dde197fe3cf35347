#include <bilberrytrail/entry/placement_ledger.h>

#include <bilberrytrail/entry/placement_map.h>

#include <bilberrytrail/base/random.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// A grant whose answer has not begun after this multiple of the objective, plus
// kReportDelayAllowance, expires: the requesting daemon may have died.
constexpr double kBeginTimeoutObjectives = 3.0;
// Time by which a report may arrive late.
constexpr Duration kReportDelayAllowance = 1s;
// Multiple by which the load of a prompt counts that returns to its place: it
// is admitted up to its objective.
constexpr double kReturnFactor = 0.8;

// Names the caller of a prompt: one that returns comes with another request,
// perhaps at another daemon, for the same prompt.
std::uint64_t
CallerOf(const ServerQuery& aQuery)
{
  const auto size = static_cast<std::uint64_t>(aQuery.mMemory);
  return Random(aQuery.mAffinity ^ Random(aQuery.mKind ^ size).Next()).Next();
}

} // namespace

struct PlacementLedger::Grant
{
  ServerPool* mPool = nullptr;
  ServerId mServer;
  std::optional<ModelId> mModel;
  std::uint64_t mWeightVersion = 0;
  std::uint64_t mNewestVersion = 0;
  SendTicket mTicket;
  // Deadline of the caller, plus kReportDelayAllowance.
  Instant mDeadline;
  // When the grant expires.
  Instant mExpiresAt;
};

PlacementLedger::PlacementLedger(ZoneId aOwnZone,
                                 const AdmissionSettings& aSettings,
                                 const ServerLimits& aLimits,
                                 ColdServers* aColds)
  : mOwnZone(std::move(aOwnZone))
  , mSettings(aSettings)
  , mGate(aLimits, aColds)
{
}

PlacementLedger::~PlacementLedger() = default;

void
PlacementLedger::SetServers(std::span<const ServerRecord> aServers,
                            Instant aNow)
{
  mServers.assign(aServers.begin(), aServers.end());
  for (const auto& [group, state] : mGroups) {
    std::vector<ServerRecord> own;
    for (const auto& it : mServers) {
      if (it.mService == group.mService &&
          PlacementMap::GroupOf(it.mId, group.mCount) == group.mNumber) {
        own.push_back(it);
      }
    }
    (void)state.mPool->Update(own, aNow);
  }
}

void
PlacementLedger::SetLoading(const std::set<ServerId>& aServers, Instant aNow)
{
  for (auto& [group, state] : mGroups) {
    state.mPool->SetLoading(aServers, aNow);
  }
}

PlacementLedger::Group&
PlacementLedger::GroupOf(const PlacementGroup& aGroup, Instant aNow)
{
  auto& group = mGroups[aGroup];
  if (group.mPool == nullptr) {
    ServerPoolSettings settings;
    settings.mSeesAllPrompts = true;
    group.mPool = std::make_unique<ServerPool>(mOwnZone, settings, &mGate);
    const auto servers = std::move(mServers);
    SetServers(servers, aNow);
  }
  return group;
}

bool
PlacementLedger::Admits(Group& aGroup,
                        const PlacementRequest& aRequest,
                        const ChosenServer& aChoice,
                        Instant aNow)
{
  const auto& query = aRequest.mQuery;
  // A last resort has no estimate.
  if (!query.mModel || aRequest.mMustPlace ||
      aChoice.mReason == ChoiceReason::LastResort) {
    return true;
  }
  const double load = ToMillis(aChoice.mAdmissionTime) /
                      (mSettings.mMaxObjectives * ToMillis(query.mObjective));
  const bool isReturn = aGroup.mReturns.Take(CallerOf(query), aNow);
  return aGroup.mAdmission.Admits(
    query.mRank, load, aNow, isReturn ? kReturnFactor : 1);
}

void
PlacementLedger::DropOtherIncarnations(const PlacementClientId& aClient,
                                       Instant aNow)
{
  auto& incarnation = mIncarnations[aClient.mDaemon];
  if (aClient.mIncarnation == incarnation) {
    return;
  }
  incarnation = aClient.mIncarnation;
  auto it = mGrants.lower_bound({ aClient.mDaemon, 0 });
  while (it != mGrants.end() && it->first.first == aClient.mDaemon) {
    const auto id = (it++)->first;
    End(id, SendOutcome::Abandoned, aNow);
  }
}

void
PlacementLedger::Expire(Instant aNow)
{
  while (!mExpiries.empty() && mExpiries.begin()->first <= aNow) {
    const auto id = mExpiries.begin()->second;
    End(id, SendOutcome::Abandoned, aNow);
  }
}

PlacementReply
PlacementLedger::HandleRequest(const PlacementClientId& aClient,
                               const PlacementRequest& aRequest,
                               Instant aNow,
                               double aLimitShare)
{
  Expire(aNow);
  mGate.SetShare(aLimitShare);
  PlacementReply reply;
  reply.mTicket = aRequest.mTicket;
  DropOtherIncarnations(aClient, aNow);
  auto& group = GroupOf(aRequest.mGroup, aNow);
  auto& pool = *group.mPool;
  const auto& query = aRequest.mQuery;
  const auto choice = pool.Choose(query, aNow);
  if (!choice) {
    if (const auto delay = pool.LimitDelay(query, aNow)) {
      reply.mOutcome = PlacementOutcome::Limited;
      reply.mTime = *delay;
    }
    return reply;
  }
  reply.mServer = choice->mServer;
  reply.mWeightVersion = choice->mWeightVersion;
  reply.mReason = choice->mReason;
  reply.mTime = choice->mTime;
  reply.mCandidates = choice->mCandidates;
  if (!Admits(group, aRequest, *choice, aNow)) {
    reply.mOutcome = PlacementOutcome::Busy;
    reply.mTime = group.mReturns.Give(CallerOf(query),
                                      query.mRank,
                                      choice->mAdmissionTime,
                                      aRequest.mTimeLeft,
                                      aNow);
    return reply;
  }
  if (query.mModel) {
    group.mReturns.NoteGranted(aNow);
  }
  reply.mOutcome = PlacementOutcome::Granted;
  mGate.Take(choice->mServer, aNow);
  const GrantId id(aClient.mDaemon, aRequest.mTicket);
  End(id, SendOutcome::Abandoned, aNow);
  const auto deadline = aNow + aRequest.mTimeLeft + kReportDelayAllowance;
  const auto begin =
    aNow + FromMillis(ToMillis(query.mObjective) * kBeginTimeoutObjectives) +
    kReportDelayAllowance;
  const Grant grant{ &pool,
                     choice->mServer,
                     query.mModel,
                     choice->mWeightVersion,
                     query.mNewestVersion,
                     pool.Begin(choice->mServer, query, aNow),
                     deadline,
                     std::min(begin, deadline) };
  mExpiries.emplace(grant.mExpiresAt, id);
  mGrants.emplace(id, grant);
  return reply;
}

void
PlacementLedger::Report(const PlacementClientId& aClient,
                        const PlacementReport& aReport,
                        Instant aNow)
{
  Expire(aNow);
  DropOtherIncarnations(aClient, aNow);
  const GrantId id(aClient.mDaemon, aReport.mTicket);
  const auto it = mGrants.find(id);
  if (it == mGrants.end()) {
    return;
  }
  if (aReport.mSendOutcome) {
    RecordWeightMismatch(it->second, *aReport.mSendOutcome, aNow);
    End(id, *aReport.mSendOutcome, aNow);
    return;
  }
  auto& grant = it->second;
  grant.mPool->OnProgress(grant.mTicket, aNow);
  mExpiries.erase({ grant.mExpiresAt, id });
  grant.mExpiresAt = grant.mDeadline;
  mExpiries.emplace(grant.mExpiresAt, id);
}

void
PlacementLedger::RecordWeightMismatch(const Grant& aGrant,
                                      SendOutcome aOutcome,
                                      Instant aNow)
{
  if (!aGrant.mModel) {
    return;
  }
  if (aOutcome == SendOutcome::WrongVersion) {
    aGrant.mPool->DenyVersion(aGrant.mServer,
                              *aGrant.mModel,
                              aGrant.mWeightVersion,
                              aGrant.mNewestVersion);
  } else if (aOutcome == SendOutcome::Full &&
             aGrant.mWeightVersion < aGrant.mNewestVersion) {
    aGrant.mPool->ExpectLoading(aGrant.mServer, aNow);
  }
}

void
PlacementLedger::End(const GrantId& aId, SendOutcome aOutcome, Instant aNow)
{
  const auto it = mGrants.find(aId);
  if (it == mGrants.end()) {
    return;
  }
  (void)it->second.mPool->End(it->second.mTicket, aOutcome, aNow);
  mExpiries.erase({ it->second.mExpiresAt, aId });
  mGrants.erase(it);
}

} // namespace bilberrytrail
