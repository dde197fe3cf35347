#pragma once

#include <bilberrytrail/platform/departure_notices.h>
#include <bilberrytrail/platform/list_follower.h>
#include <bilberrytrail/platform/list_sender.h>

namespace bilberrytrail {

// Returns the parameters of list.changes: a reader's list as the receiver is
// to see it. Without a change the receiver learns the digest alone.
[[nodiscard]] Json
MakeListNews(const DaemonId& aReader,
             const ListMessage& aMessage,
             const ListFollower& aList,
             const std::optional<VmListChange>& aChange,
             Instant aNow);

// Reads the parameters of list.changes. The span is by the receiver's clock:
// from its own clock in its last answer, so that a message that was long
// under way is not taken for a new one.
[[nodiscard]] Result<ListUpdate>
ReadListNews(const Json& aParams, Instant aNow);

// Words as JSON, and back.
[[nodiscard]] Json
ToJson(const DepartureNotice& aWord);
[[nodiscard]] Result<DepartureNotice>
ReadLeavingWord(const Json& aJson);

} // namespace bilberrytrail
