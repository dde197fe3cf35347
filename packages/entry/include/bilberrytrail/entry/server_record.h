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

// A backend server's row in the table of servers.
struct ServerRecord
{
  ServerId mId;
  ServiceId mService;
  Endpoint mEndpoint;
  ZoneId mZone;
  std::uint64_t mSlots = 1;
  // The server finishes its running requests and gets no new ones.
  bool mIsLeaving = false;
  // The operator has the server's availability zone evacuated.
  bool mIsEvacuated = false;
  // Start of this incarnation in Unix milliseconds; it differs after a restart
  // under the same name.
  std::uint64_t mStartedAtMs = 0;
  // How much longer the server is cold, as of when its row was written.
  Duration mColdLeft{};
  std::vector<LoadedModel> mModels;

  // Returns the loaded version of a model's weights; 0 if none is loaded.
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
