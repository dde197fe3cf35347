#include "home_service.h"

#include "engine_run.h"
#include "quarantine_gate.h"
#include "report_sink.h"
#include "service_run.h"

namespace bilberrytrail {

namespace {

QueueSettings
MakeQueueSettings(const DaemonSettings& aSettings)
{
  QueueSettings settings;
  settings.mMaxWaiting = aSettings.mQueueEntries;
  return settings;
}

// Returns whether the server that is held is another than the listed one: a
// VM that replaced it, or one that has come back after it left.
bool
IsOther(const VmEntry& aHeld, VmEntry aListed)
{
  if (aListed.mLeaving) {
    aListed.mLeaving = aHeld.mLeaving;
  }
  return aHeld != aListed;
}

} // namespace

HomeService::HomeService(const DaemonSettings& aSettings,
                         ControlViewHolder& aViews)
  : mSettings(aSettings)
  , mViews(aViews)
  , mCache(aSettings, aViews)
  , mHealth(aSettings.mFindSlowServers != 0 ? MakeServerHealth(HealthSettings())
                                            : MakeNoDetection())
  , mQuarantine(aSettings.mQuarantineTime, aViews)
{
}

HomedServerPtr
HomeService::Find(const ServerId& aServer)
{
  const std::lock_guard lock(mMutex);
  const auto it = mServers.find(aServer);
  if (it != mServers.end()) {
    return it->second;
  }
  const auto view = mViews.Load();
  const auto listed = view->mServers.find(aServer);
  if (listed == view->mServers.end()) {
    return nullptr;
  }
  auto server = std::make_shared<HomedServer>(
    listed->second.mVm, MakeFairServerQueue(MakeQueueSettings(mSettings)));
  mServers.emplace(aServer, server);
  return server;
}

bool
HomeService::Holds(const HomedServer& aServer) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mServers.find(ServerId(aServer.Vm().mName));
  return it != mServers.end() && it->second.get() == &aServer;
}

std::vector<HomedServerPtr>
HomeService::Servers() const
{
  const std::lock_guard lock(mMutex);
  std::vector<HomedServerPtr> servers;
  servers.reserve(mServers.size());
  for (const auto& [id, server] : mServers) {
    servers.push_back(server);
  }
  return servers;
}

std::vector<ServerEstimate>
HomeService::Estimate(const EstimateQuery& aQuery)
{
  const auto now = MonotonicNow();
  std::vector<ServerEstimate> estimates;
  for (const auto& id : aQuery.mServers) {
    const auto server = Find(id);
    if (server == nullptr) {
      continue;
    }
    auto estimate = EstimateFor(*server, aQuery, now);
    NotePending(aQuery, now, estimate);
    estimate.mWeight = WeightFor(id, aQuery.mClass);
    estimates.push_back(std::move(estimate));
  }
  return estimates;
}

std::vector<ServerEstimate>
HomeService::EstimateHeld(const EstimateQuery& aQuery,
                          const ListedPredicate& aMatches)
{
  const auto now = MonotonicNow();
  const auto view = mViews.Load();
  std::vector<ServerEstimate> estimates;
  for (const auto& server : Servers()) {
    const ServerId id(server->Vm().mName);
    const auto it = view->mServers.find(id);
    if (it != view->mServers.end() && it->second.mHome == view->mSelf &&
        aMatches(it->second)) {
      estimates.push_back(EstimateFor(*server, aQuery, now));
      estimates.back().mWeight = mHealth.Weight(id);
    }
  }
  return estimates;
}

ServerEstimate
HomeService::EstimateFor(const HomedServer& aServer,
                         const EstimateQuery& aQuery,
                         Instant aNow)
{
  ServerEstimate estimate;
  estimate.mServer = ServerId(aServer.Vm().mName);
  const bool isEngine = aServer.Vm().mRole == VmRole::Engine;
  const bool takesWork = aServer.TakesWork(aNow) && !aServer.IsDrained() &&
                         !IsLeaving(estimate.mServer);
  estimate.mReady =
    takesWork && (!isEngine || aServer.Serves(aQuery.mModel, aQuery.mVersion));
  if (takesWork && !estimate.mReady) {
    estimate.mServedInstead = aServer.NewestServed(aQuery.mModel);
  }
  estimate.mService =
    aServer.EstimateService(aQuery.mPromptTokens, aQuery.mAnswerTokens);
  QueueEntry entry;
  entry.mAccount = aQuery.mAccount;
  entry.mClass = aQuery.mClass;
  entry.mCostTokens = aQuery.mPromptTokens + aQuery.mAnswerTokens;
  entry.mService = estimate.mService;
  estimate.mQueueWait =
    aServer.Queue().PredictWait(entry, aNow) + aServer.PrefillBacklog();
  estimate.mPrefillTokensPerSecond = aServer.Speed().mPrefillTokensPerSecond;
  estimate.mResidentBlocks = aServer.ResidentPrefix(aQuery.mBlocks);
  estimate.mHasRoom =
    aServer.HasRoom() && mHealth.Weight(estimate.mServer) >= 1;
  return estimate;
}

ServerEstimate
HomeService::Report(const HomedServer& aServer, const HomeRequest& aRequest)
{
  EstimateQuery query;
  query.mAccount = aRequest.mAccount;
  query.mClass = aRequest.mClass;
  query.mModel = aRequest.mGenerate.mModel;
  query.mVersion = aRequest.mGenerate.mVersion;
  query.mPromptTokens = aRequest.mCostTokens;
  auto estimate = EstimateFor(aServer, query, MonotonicNow());
  estimate.mWeight = mHealth.Weight(aRequest.mServer);
  return estimate;
}

void
HomeService::NotePending(const EstimateQuery& aQuery,
                         Instant aNow,
                         ServerEstimate& aEstimate)
{
  const auto blocks = std::span<const BlockId>(aQuery.mBlocks);
  const auto missing = blocks.subspan(aEstimate.mResidentBlocks);
  const auto pending = mCache.Inflight().Find(aEstimate.mServer, missing, aNow);
  if (pending.mBlocks > 0) {
    aEstimate.mPendingBlocks = aEstimate.mResidentBlocks + pending.mBlocks;
    aEstimate.mPendingWait =
      std::max<Duration>(pending.mReadyAt - aNow, Duration::zero());
  }
}

void
HomeService::Run(ThreadContext& aThread,
                 const HomeRequest& aRequest,
                 FrameSink& aSink)
{
  const auto server = Find(aRequest.mServer);
  if (server == nullptr || IsLeaving(aRequest.mServer)) {
    (void)aSink.Write(MakeNotRunFrame(AttemptOf(aRequest),
                                      RefusalReason::NoServer,
                                      "the server is not listed or leaves"));
    return;
  }
  ReportSink reporting([&] { return Report(*server, aRequest); }, aSink);
  if (aRequest.mIsUnasked && !Report(*server, aRequest).TakesAtOnce()) {
    (void)reporting.Write(MakeSentBackFrame(AttemptOf(aRequest)));
    return;
  }
  RunOn(aThread, server, aRequest, reporting);
}

void
HomeService::RunOn(ThreadContext& aThread,
                   const HomedServerPtr& aServer,
                   const HomeRequest& aRequest,
                   FrameSink& aSink)
{
  if (aRequest.mTarget == HomeTarget::Engine) {
    RunOnEngine(aThread, aServer, aRequest, aSink);
  } else {
    ServiceRun(aThread, aServer, aRequest, aSink).Execute();
  }
}

bool
HomeService::IsLeaving(const ServerId& aServer) const
{
  const auto view = mViews.Load();
  const auto it = view->mServers.find(aServer);
  return it != view->mServers.end() && it->second.mVm.mLeaving;
}

void
HomeService::RunOnEngine(ThreadContext& aThread,
                         const HomedServerPtr& aServer,
                         const HomeRequest& aRequest,
                         FrameSink& aSink)
{
  QuarantineGate gate(aThread, mQuarantine, aServer, aRequest, aSink);
  if (gate.AwaitTurn()) {
    HealthSink watched(mHealth, aServer, aRequest, gate);
    EngineRun(aThread, mCache, aServer, aRequest, watched).Execute();
  }
}

double
HomeService::WeightFor(const ServerId& aServer, WorkClass aClass)
{
  const double weight = mHealth.Weight(aServer);
  const bool isProbe =
    weight < 1 && !IsShortWork(aClass) && mHealth.TakeProbe(aServer);
  return isProbe ? 1 : weight;
}

void
HomeService::OnView(const ControlView& aView)
{
  const auto now = MonotonicNow();
  for (const auto& [id, listed] : aView.mServers) {
    if (listed.mHome == aView.mSelf && listed.mVm.mRole != VmRole::Store) {
      (void)Find(id);
    }
  }
  const std::lock_guard lock(mMutex);
  for (auto it = mServers.begin(); it != mServers.end();) {
    const auto listed = aView.mServers.find(it->first);
    if (listed != aView.mServers.end() &&
        IsOther(it->second->Vm(), listed->second.mVm)) {
      it->second->Drain(now);
      mHealth.Forget(it->first);
      it = mServers.erase(it);
      continue;
    }
    const bool isKept = listed != aView.mServers.end() &&
                        listed->second.mHome == aView.mSelf &&
                        !listed->second.mVm.mLeaving;
    if (!isKept) {
      it->second->Drain(now);
    } else if (it->second->IsDrained() && !mIsStopping) {
      it->second->Reopen(MakeFairServerQueue(MakeQueueSettings(mSettings)));
    }
    const bool isIdle = it->second->Queue().Running() == 0;
    if (!isKept && isIdle) {
      mHealth.Forget(it->first);
      it = mServers.erase(it);
    } else {
      ++it;
    }
  }
}

void
HomeService::Tick(Instant aNow)
{
  mHealth.Tick(aNow);
  for (const auto& server : Servers()) {
    server->SetSound(mHealth.Weight(ServerId(server->Vm().mName)) == 1);
    server->Queue().Tick(aNow);
  }
}

void
HomeService::DrainAll()
{
  {
    const std::lock_guard lock(mMutex);
    mIsStopping = true;
  }
  for (const auto& server : Servers()) {
    server->Drain(MonotonicNow());
  }
}

} // namespace bilberrytrail
