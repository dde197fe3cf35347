#include <bilberrytrail/entry/placement_ledger.h>

#include <bilberrytrail/entry/placement_map.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// A grant whose answer has not begun after this multiple of the objective, plus
// kReportDelayAllowance, expires: the requesting daemon may have died.
constexpr double kBeginTimeoutObjectives = 3.0;
// Time by which a report may arrive late.
constexpr Duration kReportDelayAllowance = 1s;

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
  for (const auto& [group, pool] : mPools) {
    std::vector<ServerRecord> own;
    for (const auto& it : mServers) {
      if (it.mService == group.mService &&
          PlacementMap::GroupOf(it.mId, group.mCount) == group.mNumber) {
        own.push_back(it);
      }
    }
    (void)pool->Update(own, aNow);
  }
}

void
PlacementLedger::SetLoading(const std::set<ServerId>& aServers, Instant aNow)
{
  for (auto& [group, pool] : mPools) {
    pool->SetLoading(aServers, aNow);
  }
}

ServerPool&
PlacementLedger::PoolOf(const PlacementGroup& aGroup, Instant aNow)
{
  auto& pool = mPools[aGroup];
  if (pool == nullptr) {
    ServerPoolSettings settings;
    settings.mSeesAllPrompts = true;
    pool = std::make_unique<ServerPool>(mOwnZone, settings, &mGate);
    const auto servers = std::move(mServers);
    SetServers(servers, aNow);
  }
  return *pool;
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
  auto& pool = PoolOf(aRequest.mGroup, aNow);
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
  if (query.mModel && !aRequest.mMustPlace &&
      RefusePrompt(choice->mAdmissionTime, query.mObjective, mSettings)) {
    reply.mOutcome = PlacementOutcome::Busy;
    reply.mTime = choice->mAdmissionTime;
    return reply;
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
