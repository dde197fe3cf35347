#include <bilberrytrail/release/reconcile.h>

#include "server_state.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

UsableServers
Usable(const std::vector<ServerView>& aServers)
{
  UsableServers usable;
  for (const auto& it : aServers) {
    if (it.mUsable && it.mState) {
      usable[it.mId] = &it;
    }
  }
  return usable;
}

bool
IsSame(const EngineOrder& aLeft, const EngineOrder& aRight)
{
  return aLeft.mKind == aRight.mKind && aLeft.mFencing == aRight.mFencing &&
         aLeft.mModel == aRight.mModel && aLeft.mVersion == aRight.mVersion &&
         aLeft.mArgument == aRight.mArgument;
}

} // namespace

Reconciler::Reconciler(ReconcileSettings aSettings)
  : mSettings(aSettings)
{
}

const std::map<ServerId, ModelId>&
Reconciler::Placement() const noexcept
{
  return mPlacement;
}

// Removes loads whose server reports the version as ready or is not usable any
// more, and those older than mOrderTimeout.
void
Reconciler::RemoveFinishedLoads(const UsableServers& aUsable, Instant aNow)
{
  std::erase_if(mLoads, [&](const auto& aItem) {
    const auto found = aUsable.find(aItem.first);
    const Load& load = aItem.second;
    if (found == aUsable.end()) {
      return true;
    }
    const EngineState& state = *found->second->mState;
    return IsServing(state, load.mWhat.mModel, load.mWhat.mVersion) ||
           aNow - load.mOrderedAt >= mSettings.mOrderTimeout;
  });
}

// Counts the servers that report a load or have been ordered to load.
std::uint32_t
Reconciler::CountLoads(const std::vector<ServerView>& aServers) const
{
  std::uint32_t count = 0;
  for (const auto& it : aServers) {
    const bool isReported = it.mState && IsLoading(*it.mState);
    count += isReported || mLoads.contains(it.mId) ? 1U : 0U;
  }
  return count;
}

// Returns true when another server serves the model. A server that is loading
// does not count, as a load may interrupt its service.
bool
Reconciler::HasOtherServing(const UsableServers& aUsable,
                            const ServerId& aServer,
                            const ModelId& aModel) const
{
  return std::any_of(aUsable.begin(), aUsable.end(), [&](const auto& aItem) {
    const EngineState& state = *aItem.second->mState;
    return aItem.first != aServer && !mLoads.contains(aItem.first) &&
           !IsLoading(state) && IsServingAny(state, aModel);
  });
}

// A load may take a server out of service while it runs, so each model that
// the server serves needs another serving server. The exception is the only
// server of a model, which has to load beside its old version.
bool
Reconciler::MayInterrupt(const ProductState& aState,
                         const UsableServers& aUsable,
                         const ServerView& aServer) const
{
  const ModelId& target = mPlacement.at(aServer.mId);
  return std::all_of(
    aServer.mState->mVersions.begin(),
    aServer.mState->mVersions.end(),
    [&](const LoadedVersion& aHas) {
      const bool isOnly =
        aHas.mModel == target && CountPlaced(mPlacement, target) == 1;
      return !aHas.mReady || !aState.mModels.contains(aHas.mModel) || isOnly ||
             HasOtherServing(aUsable, aServer.mId, aHas.mModel);
    });
}

// Orders the servers by the number of servers that already have the version in
// force for the same model, fewest first; servers that do not serve the model
// come before those that do.
std::vector<ServerId>
Reconciler::ServersToLoad(const ProductState& aState,
                          const UsableServers& aUsable) const
{
  struct Candidate
  {
    std::size_t mServing = 0;
    bool mIsBusy = false;
    ServerId mId;

    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, placedModel] : mPlacement) {
    const ModelId& model = placedModel;
    const VersionId& version = aState.mModels.at(model).mVersion;
    const EngineState& state = *aUsable.at(id)->mState;
    if (IsServing(state, model, version) || IsLoading(state) ||
        mLoads.contains(id)) {
      continue;
    }
    const auto serving =
      std::count_if(aUsable.begin(), aUsable.end(), [&](const auto& aItem) {
        return IsServing(*aItem.second->mState, model, version);
      });
    candidates.push_back(
      { static_cast<std::size_t>(serving), IsServingAny(state, model), id });
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<ServerId> ids;
  ids.reserve(candidates.size());
  for (const auto& it : candidates) {
    ids.push_back(it.mId);
  }
  return ids;
}

void
Reconciler::OrderLoads(const ProductState& aState,
                       const std::vector<ServerView>& aServers,
                       const UsableServers& aUsable,
                       Instant aNow)
{
  std::uint32_t loads = CountLoads(aServers);
  for (const auto& id : ServersToLoad(aState, aUsable)) {
    if (loads >= mSettings.mMaxLoads) {
      return;
    }
    if (!MayInterrupt(aState, aUsable, *aUsable.at(id))) {
      continue;
    }
    const ModelId& model = mPlacement.at(id);
    const VersionId& version = aState.mModels.at(model).mVersion;
    mLoads[id] = { { model, version, false }, aNow };
    ++loads;
    Order(id, { OrderKind::LoadVersion, {}, model, version, {} }, aNow);
  }
}

// Unloads versions that are not wanted: those of models placed elsewhere or
// withdrawn, old ones once the new one is ready, and those loaded by a stale
// order. The last serving server of a model keeps its version. While the server
// still runs requests, which may use the version, unloading is delayed for up
// to mOldVersionRetention.
void
Reconciler::OrderUnloads(const ProductState& aState,
                         const UsableServers& aUsable,
                         Instant aNow)
{
  std::map<std::pair<ServerId, LoadedVersion>, Instant> waiting;
  for (const auto& [id, server] : aUsable) {
    const auto placed = mPlacement.find(id);
    for (const auto& it : server->mState->mVersions) {
      const auto model = aState.mModels.find(it.mModel);
      const bool isKnown = model != aState.mModels.end();
      const bool isHere =
        placed != mPlacement.end() && placed->second == it.mModel;
      const bool isWanted =
        isHere && isKnown && it.mVersion == model->second.mVersion;
      const bool isReplaced =
        isKnown &&
        IsServing(*server->mState, it.mModel, model->second.mVersion);
      const bool isNeeded =
        isKnown &&
        (isHere ? !isReplaced : !HasOtherServing(aUsable, id, it.mModel));
      if (!it.mReady || isWanted || isNeeded) {
        continue;
      }
      const auto key = std::make_pair(id, it);
      const auto since = mOldSince.try_emplace(key, aNow).first->second;
      waiting[key] = since;
      if (server->mState->mRunning == 0 ||
          aNow - since >= mSettings.mOldVersionRetention) {
        Order(id,
              { OrderKind::UnloadVersion, {}, it.mModel, it.mVersion, {} },
              aNow);
      }
    }
  }
  mOldSince = std::move(waiting);
}

// Orders the role and the adapters, which are not loaded from the weight store
// and do not count towards mMaxLoads.
void
Reconciler::OrderSettings(const ProductState& aState,
                          const ServerView& aServer,
                          const ModelId& aModel,
                          Instant aNow)
{
  const EngineState& state = *aServer.mState;
  const ModelSpec& spec = aState.mModels.at(aModel);
  const auto order = [&](OrderKind aKind, const std::string& aArgument) {
    Order(aServer.mId, { aKind, {}, aModel, spec.mVersion, aArgument }, aNow);
  };
  if (!spec.mRole.empty() && state.mRole != spec.mRole) {
    order(OrderKind::SetRole, spec.mRole);
  }
  if (!IsServing(state, aModel, spec.mVersion)) {
    return;
  }
  for (const auto& [name, adapter] : aState.mAdapters) {
    if (adapter.mModel == aModel && !HasAdapter(state, name)) {
      order(OrderKind::LoadAdapter, name);
    }
  }
  for (const auto& it : state.mAdapters) {
    const auto found = aState.mAdapters.find(it);
    if (found == aState.mAdapters.end() || found->second.mModel != aModel) {
      order(OrderKind::UnloadAdapter, it);
    }
  }
}

// Adds an order unless the same one was sent within mOrderTimeout.
void
Reconciler::Order(const ServerId& aServer, EngineOrder aOrder, Instant aNow)
{
  aOrder.mFencing = mFencing;
  const bool isSent =
    std::any_of(mSent.begin(), mSent.end(), [&](const Sent& aSent) {
      return aSent.mServer == aServer && IsSame(aSent.mOrder, aOrder);
    });
  if (!isSent) {
    mSent.push_back({ aServer, aOrder, aNow });
    mOrders.push_back({ aServer, std::move(aOrder) });
  }
}

std::vector<ServerOrder>
Reconciler::Decide(const ProductState& aState,
                   const std::vector<ServerView>& aServers,
                   const std::vector<ModelDemand>& aDemand,
                   FencingNumber aFencing,
                   Instant aNow)
{
  mFencing = aFencing;
  mOrders.clear();
  std::erase_if(mSent, [&](const Sent& aSent) {
    return aNow - aSent.mAt >= mSettings.mOrderTimeout;
  });
  const UsableServers usable = Usable(aServers);
  UpdatePlacement(aState, usable, aDemand, aNow);
  RemoveFinishedLoads(usable, aNow);
  OrderLoads(aState, aServers, usable, aNow);
  OrderUnloads(aState, usable, aNow);
  for (const auto& [id, model] : mPlacement) {
    OrderSettings(aState, *usable.at(id), model, aNow);
  }
  return std::exchange(mOrders, {});
}

} // namespace bilberrytrail
