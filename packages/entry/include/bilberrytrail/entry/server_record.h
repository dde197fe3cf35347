#pragma once

#include <bilberrytrail/entry/site_config.h>

namespace bilberrytrail {

// A model that a server has loaded.
struct LoadedModel
{
  ModelId mModel;
  std::uint64_t mVersion = 0;

  bool operator==(const LoadedModel&) const = default;
};

// A backend server as the list of servers shows it.
struct ServerRecord
{
  ServerId mId;
  ServiceId mService;
  Endpoint mEndpoint;
  ZoneId mZone;
  std::uint64_t mSlots = 1;
  // It finishes its work and gets no more.
  bool mIsLeaving = false;
  // Start of this incarnation in Unix milliseconds; a server that starts again
  // under its name has another.
  std::uint64_t mStartedAtMs = 0;
  std::vector<LoadedModel> mModels;

  // Returns the version of a model's weights that is loaded; 0 for none.
  [[nodiscard]] std::uint64_t VersionOf(const ModelId& aModel) const noexcept
  {
    for (const auto& it : mModels) {
      if (it.mModel == aModel) {
        return it.mVersion;
      }
    }
    return 0;
  }
};

} // namespace bilberrytrail
