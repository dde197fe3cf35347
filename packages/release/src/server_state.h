#pragma once

#include <bilberrytrail/release/reconcile.h>

#include <algorithm>
#include <map>
#include <string>

namespace bilberrytrail {

using UsableServers = std::map<ServerId, const ServerView*>;
using ServerPlacement = std::map<ServerId, ModelId>;

// Returns true when the server reports the version as ready.
[[nodiscard]] inline bool
IsServing(const EngineState& aState,
          const ModelId& aModel,
          const VersionId& aVersion)
{
  const LoadedVersion ready{ aModel, aVersion, true };
  return std::find(aState.mVersions.begin(), aState.mVersions.end(), ready) !=
         aState.mVersions.end();
}

// Returns true when the server reports any version of the model as ready.
[[nodiscard]] inline bool
IsServingAny(const EngineState& aState, const ModelId& aModel)
{
  return std::any_of(
    aState.mVersions.begin(), aState.mVersions.end(), [&](const auto& aItem) {
      return aItem.mModel == aModel && aItem.mReady;
    });
}

// Returns true when the server reports a version that is not ready yet.
[[nodiscard]] inline bool
IsLoading(const EngineState& aState)
{
  return std::any_of(aState.mVersions.begin(),
                     aState.mVersions.end(),
                     [](const auto& aItem) { return !aItem.mReady; });
}

[[nodiscard]] inline bool
HasAdapter(const EngineState& aState, const std::string& aName)
{
  return std::find(aState.mAdapters.begin(), aState.mAdapters.end(), aName) !=
         aState.mAdapters.end();
}

[[nodiscard]] inline std::uint32_t
CountPlaced(const ServerPlacement& aPlacement, const ModelId& aModel)
{
  return static_cast<std::uint32_t>(
    std::count_if(aPlacement.begin(), aPlacement.end(), [&](const auto& aItem) {
      return aItem.second == aModel;
    }));
}

} // namespace bilberrytrail
