#pragma once

#include <bilberrytrail/backend/engine.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace bilberrytrail::standins {

// Versions, adapters and role of an engine, as its orders set them.
class VersionTable
{
public:
  // Without the check orders with an old fencing number are obeyed.
  explicit VersionTable(bool aChecksFencing)
    : mChecksFencing(aChecksFencing)
  {
  }

  [[nodiscard]] bool IsReady(const ModelId& aModel,
                             const VersionId& aVersion) const;
  // Fills in the versions, adapters, role and highest fencing number.
  void Describe(EngineState& aState) const;

  // Obeys an order. Returns true when its version has to be loaded; fails
  // with Refused when the fencing number is old.
  [[nodiscard]] Result<bool> Obey(const EngineOrder& aOrder);
  // Marks a version as loaded, unless it was unloaded in the meantime.
  void MarkReady(const ModelId& aModel, const VersionId& aVersion);

private:
  [[nodiscard]] LoadedVersion* Find(const ModelId& aModel,
                                    const VersionId& aVersion);
  [[nodiscard]] bool BeginLoad(const EngineOrder& aOrder);
  void Unload(const EngineOrder& aOrder);

  bool mChecksFencing;
  std::vector<LoadedVersion> mVersions;
  std::set<std::string> mAdapters;
  std::string mRole;
  FencingNumber mHighestFencing;
};

} // namespace bilberrytrail::standins
