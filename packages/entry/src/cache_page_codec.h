#pragma once

#include <bilberrytrail/entry/cache_change_log.h>
#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

// Cursors and pages as they travel between daemons. Stores are named once in a
// page and pieces of news by their place in that list.

[[nodiscard]] Json
ToJson(const CacheCursor& aCursor);
[[nodiscard]] Result<CacheCursor>
ReadCacheCursor(const Json& aJson);
[[nodiscard]] Json
ToJson(const CachePage& aPage);
// Fails with Corrupt.
[[nodiscard]] Result<CachePage>
ReadCachePage(const Json& aJson);

} // namespace bilberrytrail
