#pragma once

#include "control_state.h"
#include "home_service.h"
#include "thread_context.h"

#include <set>

namespace bilberrytrail {

// Follows the engines that this daemon is home to over their event streams, on
// the control thread.
class ServerMonitor
{
public:
  ServerMonitor(ThreadContext& aThread,
                ControlState& aState,
                HomeService& aHomes);

  // Starts a fiber for each engine that is homed here and has none.
  void OnView(const ControlView& aView);

private:
  void Follow(const ServerId& aServer);
  // Reads events until the stream breaks.
  void FollowStream(HomedServer& aServer, std::uint64_t& aSequence);
  void TakeEvent(HomedServer& aServer,
                 EngineEvent aEvent,
                 std::uint64_t& aSequence);
  [[nodiscard]] bool IsHomedHere(const ServerId& aServer) const;

  ThreadContext& mThread;
  ControlState& mState;
  HomeService& mHomes;
  std::set<ServerId> mFollowed;
};

} // namespace bilberrytrail
