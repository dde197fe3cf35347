#pragma once

#include "control_state.h"
#include "membership_runner.h"
#include "thread_context.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/platform/vm_list.h>
#include <bilberrytrail/runtime/rpc.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <memory>
#include <string>

namespace bilberrytrail {

// Polls the platform's list of VMs on the control thread. While the list is
// down the newest one that a peer has read is used. A daemon that learns of a
// leaving server tells the others at once.
class ListRunner
{
public:
  ListRunner(ThreadContext& aThread,
             ControlState& aState,
             MembershipRunner& aMembers,
             const DaemonSettings& aSettings);

  // Returns the time since the list was last read, here or by the peer that
  // it came from.
  [[nodiscard]] Duration Age(Instant aNow) const;
  // Returns the list for a peer, without the VMs when the peer has the same.
  [[nodiscard]] Result<Json> ListForPeer(const Json& aParams) const;

  void Start();
  // Takes a peer's word that a server leaves.
  [[nodiscard]] Result<Json> TakeLeaving(const Json& aParams);
  // Marks a server as leaving by an operator's order, here and at all peers.
  void OrderLeaving(const ServerId& aServer);

private:
  void PollAll();
  void Poll();
  // Asks some peers for a newer list than the one in use.
  void AskPeers();
  void AskPeer(const MemberRecord& aPeer);
  void Use(std::vector<VmEntry> aVms, Instant aReadAt);
  void NoteFresh(bool aIsFresh);
  void TellLeaving(const std::vector<VmEntry>& aVms);
  void TellPeers(const ServerId& aServer, bool aIsOrdered);

  ThreadContext& mThread;
  ControlState& mState;
  MembershipRunner& mMembers;
  const std::vector<Endpoint> mSeeds;
  std::unique_ptr<VmList> mList;
  Duration mPeriod;
  Random mRandom;
  Instant mReadAt{};
  // Identifies the contents of the list in use.
  std::string mDigest;
  bool mIsFresh = true;
};

} // namespace bilberrytrail
