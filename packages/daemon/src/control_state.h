#pragma once

#include "control_view.h"

#include <bilberrytrail/release/release_body.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bilberrytrail {

// What the control thread knows, from which it builds the views that the
// traffic threads read. Used on the control thread only.
class ControlState
{
public:
  ControlState(ControlViewHolder& aViews, DaemonId aSelf, ZoneId aZone);

  [[nodiscard]] ControlViewPtr View() const { return mViews.Load(); }

  // Calls the function with each new view.
  void OnView(std::function<void(const ControlView&)> aListener);
  void SetMembers(std::vector<MemberRecord> aMembers);
  void SetVms(std::vector<VmEntry> aVms);
  void SetRelease(std::shared_ptr<const ReleaseBody> aBody);
  // Names why no new work is taken; empty when it is.
  void SetNotReady(std::string aReason);
  void SetDraining();
  // Marks a server as leaving until the list drops it.
  void SetLeaving(const ServerId& aServer);

private:
  void Publish();
  void AddServers(ControlView& aView) const;
  void AddProducts(ControlView& aView) const;

  ControlViewHolder& mViews;
  DaemonId mSelf;
  ZoneId mZone;
  std::string mNotReady = "starting";
  bool mDraining = false;
  std::vector<MemberRecord> mMembers;
  std::vector<VmEntry> mVms;
  std::vector<ServerId> mLeaving;
  std::map<ProductId, std::shared_ptr<const ReleaseBody>> mReleases;
  std::vector<std::function<void(const ControlView&)>> mListeners;
};

} // namespace bilberrytrail
