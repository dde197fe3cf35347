#pragma once

#include "control_view.h"
#include "rebuild_pause.h"

#include <bilberrytrail/platform/departure_notices.h>
#include <bilberrytrail/release/release_body.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bilberrytrail {

// Shortest time between two views that are built for members alone.
inline constexpr Duration kMemberPause = 100ms;

// What the control thread knows, from which it builds the views that the
// traffic threads read. Used on the control thread only.
class ControlState
{
public:
  // A word that a server leaves holds for aLeavingHold.
  ControlState(ControlViewHolder& aViews,
               DaemonId aSelf,
               ZoneId aZone,
               Duration aLeavingHold = 30s);

  [[nodiscard]] ControlViewPtr View() const { return mViews.Load(); }
  // Returns the VMs as listed.
  [[nodiscard]] const std::vector<VmEntry>& Vms() const noexcept
  {
    return mVms;
  }
  // Returns the servers marked as leaving by operators.
  [[nodiscard]] const std::vector<ServerId>& Leaving() const noexcept
  {
    return mLeaving;
  }

  // Returns the words of leaving servers that hold, for other daemons.
  [[nodiscard]] std::vector<DepartureNotice> Words(Instant aNow) const
  {
    return mWords.Active(aNow);
  }
  [[nodiscard]] Duration LeavingHold() const noexcept
  {
    return mWords.Retention();
  }

  // Calls the function with each new view.
  void OnView(std::function<void(const ControlView&)> aListener);
  // Changes of members that follow each other closely come into one view,
  // kMemberPause late at most; all other changes come into a view at once, and
  // bring those of the members with them.
  void SetMembers(std::vector<MemberRecord> aMembers, Instant aNow);
  // Notes whether a daemon is dead; views show it with the next change.
  void NoteDead(const DaemonId& aDaemon, bool aIsDead);
  void SetVms(std::vector<VmEntry> aVms, Instant aNow);
  // Marks a server as leaving for the time of the word, whatever lists say of
  // it. Returns true when the word was not known.
  bool HearLeaving(const DepartureNotice& aWord, Instant aNow);
  // Runs the timers; to be called several times a second.
  void Tick(Instant aNow);
  void SetRelease(std::shared_ptr<const ReleaseBody> aBody);
  // Names why no new work is taken; empty when it is.
  void SetNotReady(std::string aReason);
  void SetDraining();
  void SetClosing();
  // Marks a server as leaving until the list drops it. Returns true when it
  // was not marked.
  bool SetLeaving(const ServerId& aServer);

private:
  void Publish();
  void AddServers(ControlView& aView) const;
  void AddProducts(ControlView& aView) const;

  ControlViewHolder& mViews;
  DaemonId mSelf;
  ZoneId mZone;
  std::string mNotReady = "starting";
  bool mDraining = false;
  bool mClosing = false;
  std::vector<MemberRecord> mMembers;
  // Dead daemons, the last one first.
  std::deque<DaemonId> mDead;
  std::vector<VmEntry> mVms;
  std::vector<ServerId> mLeaving;
  DepartureNotices mWords;
  RebuildPause mMemberPause{ kMemberPause };
  std::map<ProductId, std::shared_ptr<const ReleaseBody>> mReleases;
  std::vector<std::function<void(const ControlView&)>> mListeners;
};

} // namespace bilberrytrail
