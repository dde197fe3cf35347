#pragma once

#include "control_state.h"
#include "membership_runner.h"
#include "thread_context.h"

#include <bilberrytrail/platform/vm_list.h>

#include <memory>

namespace bilberrytrail {

// Polls the platform's list of VMs on the control thread. While the list is
// down the last one stays in use.
class ListRunner
{
public:
  ListRunner(ThreadContext& aThread,
             ControlState& aState,
             MembershipRunner& aMembers,
             const Endpoint& aList,
             Duration aPeriod);

  // Returns the time since the list was last read.
  [[nodiscard]] Duration Age(Instant aNow) const;

  void Start();

private:
  void PollAll();
  void Poll();

  ThreadContext& mThread;
  ControlState& mState;
  MembershipRunner& mMembers;
  std::unique_ptr<VmList> mList;
  Duration mPeriod;
  Instant mReadAt{};
  bool mIsFresh = true;
};

} // namespace bilberrytrail
