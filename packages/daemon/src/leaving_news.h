#pragma once

#include "control_state.h"
#include "thread_context.h"

#include <bilberrytrail/platform/departure_notices.h>

namespace bilberrytrail {

// Tells the other daemons that a server leaves: its home, and the list
// readers of each availability zone, who tell the daemons of theirs. When no
// reader of a zone answers, the daemons of that zone are told one by one.
class LeavingNews
{
public:
  LeavingNews(ThreadContext& aThread, ControlState& aState);

  // Tells of a server that this daemon has learnt of by itself. With aOrdered
  // the server leaves by an operator's order.
  void Tell(const DepartureNotice& aWord, bool aOrdered);
  // Takes a peer's word, and passes it on in this zone when asked to.
  [[nodiscard]] Result<Json> Take(const Json& aParams);

private:
  void TellZone(const ControlView& aView, const ZoneId& aZone, Json aParams);
  // Tells the daemons of a zone but for those named.
  void TellDaemons(const ZoneId& aZone,
                   const std::vector<DaemonId>& aExcept,
                   const Json& aParams);
  void TellDaemon(const MemberRecord& aPeer, const Json& aParams);

  ThreadContext& mThread;
  ControlState& mState;
};

} // namespace bilberrytrail
