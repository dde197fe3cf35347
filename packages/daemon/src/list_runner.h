#pragma once

#include "control_state.h"
#include "leaving_news.h"
#include "list_fanout.h"
#include "membership_runner.h"
#include "thread_context.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/platform/vm_list.h>
#include <bilberrytrail/runtime/rpc.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <memory>
#include <string>

namespace bilberrytrail {

// Follows the platform's list of VMs on the control thread. Two daemons of
// each availability zone read it and send its changes to the others, who read
// it themselves when no reader confirms their list. While the list is down
// the newest one that a peer has is used. A daemon that learns of a leaving
// server tells the others at once.
class ListRunner
{
public:
  ListRunner(ThreadContext& aThread,
             ControlState& aState,
             MembershipRunner& aMembers,
             const DaemonSettings& aSettings);

  // Returns the time since the list in use was the platform's, by a read of
  // this daemon or of the one that it came from.
  [[nodiscard]] Duration Age(Instant aNow) const;
  // Returns the list for a peer, without the VMs when the peer has the same.
  [[nodiscard]] Result<Json> ListForPeer(const Json& aParams) const;

  void Start();
  // Takes a reader's list or its change.
  [[nodiscard]] Result<Json> TakeChanges(const Json& aParams);
  // Takes a peer's word that a server leaves.
  [[nodiscard]] Result<Json> TakeLeaving(const Json& aParams);
  // Marks a server as leaving by an operator's order, here and at all peers.
  void OrderLeaving(const ServerId& aServer);

private:
  void PollAll();
  void SendAll();
  [[nodiscard]] bool IsReader() const;
  void Read();
  // Asks some peers for a newer list than the one in use.
  void AskPeers();
  void AskPeer(const MemberRecord& aPeer);
  void TakeWords(const Json& aReply);
  void Perform(const ListAction& aAction);
  // Takes the follower's list in use.
  void Use();
  void NoteFresh(bool aIsFresh);
  // Tells of the servers that the follower's list shows as leaving and the
  // list in use does not.
  void TellLeaving();

  ThreadContext& mThread;
  ControlState& mState;
  MembershipRunner& mMembers;
  const std::vector<Endpoint> mSeeds;
  const Duration mFreshTime;
  std::unique_ptr<VmList> mList;
  ListFollower mFollower;
  ListFanout mFanout;
  LeavingNews mNews;
  Random mRandom;
  bool mIsFresh = true;
};

} // namespace bilberrytrail
