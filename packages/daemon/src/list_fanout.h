#pragma once

#include "control_state.h"
#include "list_message.h"
#include "thread_context.h"

namespace bilberrytrail {

// Sends the list of VMs of a reader to the other daemons of its availability
// zone: changes at once, else heartbeats.
class ListFanout
{
public:
  // The follower holds the list that is sent.
  ListFanout(ThreadContext& aThread,
             ControlState& aState,
             const ListFollower& aList,
             const ListSenderSettings& aSettings);

  // Sends what is due while this daemon is a reader; to be called several
  // times a second.
  void Send(bool aIsReader, Instant aNow);

private:
  void SetReceivers(bool aIsReader);
  void SendTo(const MemberRecord& aPeer, const ListMessage& aMessage);

  ThreadContext& mThread;
  ControlState& mState;
  const ListFollower& mList;
  ListSender mSender;
  VmListHistory mHistory;
};

} // namespace bilberrytrail
