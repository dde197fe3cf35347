#include <bilberrytrail/release/reconcile.h>

#include "server_state.h"

#include <algorithm>
#include <cmath>

namespace bilberrytrail {

namespace {

double
DemandOf(const std::vector<ModelDemand>& aDemand, const ModelId& aModel)
{
  const auto it =
    std::find_if(aDemand.begin(), aDemand.end(), [&](const auto& aItem) {
      return aItem.mModel == aModel;
    });
  return it == aDemand.end() ? 0 : it->mServers;
}

} // namespace

std::uint32_t
Reconciler::WantedServers(const ModelId& aModel,
                          const ModelSpec& aSpec,
                          double aDemand,
                          std::uint32_t aCurrent,
                          Instant aNow)
{
  const double bounded = std::clamp(std::ceil(std::max(aDemand, 0.0)),
                                    static_cast<double>(aSpec.mMinServers),
                                    static_cast<double>(aSpec.mMaxServers));
  const auto wanted = static_cast<std::uint32_t>(bounded);
  if (wanted >= aCurrent || aCurrent > aSpec.mMaxServers) {
    mLowSince.erase(aModel);
    return wanted;
  }
  const Instant since = mLowSince.try_emplace(aModel, aNow).first->second;
  return aNow - since >= mSettings.mShrinkAfter ? wanted : aCurrent;
}

// Removes servers that are no longer usable and withdrawn models, then shrinks
// models first, so that others can grow into the freed servers.
void
Reconciler::UpdatePlacement(const ProductState& aState,
                            const UsableServers& aUsable,
                            const std::vector<ModelDemand>& aDemand,
                            Instant aNow)
{
  std::erase_if(mPlacement, [&](const auto& aItem) {
    return !aUsable.contains(aItem.first) ||
           !aState.mModels.contains(aItem.second);
  });
  AdoptServing(aState, aUsable);
  std::map<ModelId, std::uint32_t> wanted;
  for (const auto& [model, spec] : aState.mModels) {
    const std::uint32_t current = CountPlaced(mPlacement, model);
    wanted[model] =
      WantedServers(model, spec, DemandOf(aDemand, model), current, aNow);
    UnassignServers(model, wanted[model], aUsable);
  }
  // Each model gets its minimum before any model gets more.
  for (const auto& [model, spec] : aState.mModels) {
    AssignServers(model, std::min(spec.mMinServers, wanted[model]), aUsable);
  }
  for (const auto& [model, count] : wanted) {
    AssignServers(model, count, aUsable);
  }
}

// A new holder of the shard starts from the models that the servers already
// have.
void
Reconciler::AdoptServing(const ProductState& aState,
                         const UsableServers& aUsable)
{
  if (mHasAdopted || aUsable.empty()) {
    return;
  }
  mHasAdopted = true;
  for (const auto& [id, server] : aUsable) {
    for (const auto& it : server->mState->mVersions) {
      const auto model = aState.mModels.find(it.mModel);
      if (model != aState.mModels.end() &&
          CountPlaced(mPlacement, it.mModel) < model->second.mMaxServers) {
        mPlacement.try_emplace(id, it.mModel);
      }
    }
  }
}

void
Reconciler::UnassignServers(const ModelId& aModel,
                            std::uint32_t aCount,
                            const UsableServers& aUsable)
{
  std::uint32_t current = CountPlaced(mPlacement, aModel);
  // Servers that do not serve the model are unassigned first.
  for (const bool loaded : { false, true }) {
    for (auto it = mPlacement.begin();
         it != mPlacement.end() && current > aCount;) {
      const EngineState& state = *aUsable.at(it->first)->mState;
      if (it->second == aModel && IsServingAny(state, aModel) == loaded) {
        it = mPlacement.erase(it);
        --current;
      } else {
        ++it;
      }
    }
  }
}

void
Reconciler::AssignServers(const ModelId& aModel,
                          std::uint32_t aCount,
                          const UsableServers& aUsable)
{
  std::uint32_t current = CountPlaced(mPlacement, aModel);
  // Servers that already serve the model are assigned first.
  for (const bool loaded : { true, false }) {
    for (const auto& [id, server] : aUsable) {
      if (current >= aCount) {
        return;
      }
      if (!mPlacement.contains(id) &&
          IsServingAny(*server->mState, aModel) == loaded) {
        mPlacement[id] = aModel;
        ++current;
      }
    }
  }
}

} // namespace bilberrytrail
