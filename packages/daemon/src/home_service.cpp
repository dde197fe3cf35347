#include "home_service.h"

#include "engine_run.h"
#include "quarantine_gate.h"
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
    ServerEstimate estimate;
    estimate.mServer = id;
    const bool isEngine = server->Vm().mRole == VmRole::Engine;
    estimate.mReady =
      server->TakesWork(now) && !server->IsDrained() && !IsLeaving(id) &&
      (!isEngine || server->Serves(aQuery.mModel, aQuery.mVersion));
    estimate.mService =
      server->EstimateService(aQuery.mPromptTokens, aQuery.mAnswerTokens);
    QueueEntry entry;
    entry.mAccount = aQuery.mAccount;
    entry.mClass = aQuery.mClass;
    entry.mCostTokens = aQuery.mPromptTokens + aQuery.mAnswerTokens;
    entry.mService = estimate.mService;
    estimate.mQueueWait =
      server->Queue().PredictWait(entry, now) + server->PrefillBacklog();
    estimate.mPrefillTokensPerSecond = server->Speed().mPrefillTokensPerSecond;
    estimate.mResidentBlocks = server->ResidentPrefix(aQuery.mBlocks);
    NotePending(aQuery, now, estimate);
    estimate.mWeight = WeightFor(id, aQuery.mClass);
    estimates.push_back(std::move(estimate));
  }
  return estimates;
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
    const auto& attempt = aRequest.mTarget == HomeTarget::Engine
                            ? aRequest.mGenerate.mAttempt
                            : aRequest.mCall.mAttempt;
    (void)aSink.Write(MakeNotRunFrame(
      attempt, RefusalReason::NoServer, "the server is not listed or leaves"));
    return;
  }
  if (aRequest.mTarget == HomeTarget::Engine) {
    RunOnEngine(aThread, server, aRequest, aSink);
  } else {
    ServiceRun(aThread, server, aRequest, aSink).Execute();
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
