#include "engine/version_table.h"

#include <algorithm>

namespace bilberrytrail::standins {

bool
VersionTable::IsReady(const ModelId& aModel, const VersionId& aVersion) const
{
  return std::any_of(
    mVersions.begin(), mVersions.end(), [&](const LoadedVersion& aLoaded) {
      return aLoaded.mReady && aLoaded.mModel == aModel &&
             aLoaded.mVersion == aVersion;
    });
}

void
VersionTable::Describe(EngineState& aState) const
{
  aState.mVersions = mVersions;
  aState.mAdapters.assign(mAdapters.begin(), mAdapters.end());
  aState.mRole = mRole;
  aState.mHighestFencing = mHighestFencing;
}

Result<bool>
VersionTable::Obey(const EngineOrder& aOrder)
{
  if (mChecksFencing && aOrder.mFencing < mHighestFencing) {
    return Fail(ErrorCode::Refused, "old fencing number");
  }
  mHighestFencing = std::max(mHighestFencing, aOrder.mFencing);
  switch (aOrder.mKind) {
    case OrderKind::LoadVersion:
      return BeginLoad(aOrder);
    case OrderKind::UnloadVersion:
      Unload(aOrder);
      break;
    case OrderKind::LoadAdapter:
      mAdapters.insert(aOrder.mArgument);
      break;
    case OrderKind::UnloadAdapter:
      mAdapters.erase(aOrder.mArgument);
      break;
    case OrderKind::SetRole:
      mRole = aOrder.mArgument;
      break;
  }
  return false;
}

void
VersionTable::MarkReady(const ModelId& aModel, const VersionId& aVersion)
{
  if (auto* version = Find(aModel, aVersion); version != nullptr) {
    version->mReady = true;
  }
}

LoadedVersion*
VersionTable::Find(const ModelId& aModel, const VersionId& aVersion)
{
  for (auto& version : mVersions) {
    if (version.mModel == aModel && version.mVersion == aVersion) {
      return &version;
    }
  }
  return nullptr;
}

bool
VersionTable::BeginLoad(const EngineOrder& aOrder)
{
  if (Find(aOrder.mModel, aOrder.mVersion) != nullptr) {
    return false;
  }
  mVersions.push_back({ aOrder.mModel, aOrder.mVersion, false });
  return true;
}

void
VersionTable::Unload(const EngineOrder& aOrder)
{
  std::erase_if(mVersions, [&](const LoadedVersion& aLoaded) {
    return aLoaded.mModel == aOrder.mModel &&
           aLoaded.mVersion == aOrder.mVersion;
  });
}

} // namespace bilberrytrail::standins
