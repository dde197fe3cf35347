#pragma once

#include "control_state.h"
#include "home_service.h"
#include "thread_context.h"

#include <set>

namespace bilberrytrail {

// How an event of an engine follows the one before.
enum class EventOrder : unsigned char
{
  Next,
  // Events between the two were missed.
  Gap,
  // The engine counts from the start again.
  Restart
};

// Compares an event's number with that of the last one, 0 when there was none.
[[nodiscard]] EventOrder
OrderOf(std::uint64_t aLast, std::uint64_t aSequence) noexcept;

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
