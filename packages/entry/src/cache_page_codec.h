#pragma once

#include <bilberrytrail/entry/cache_change_log.h>
#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

// JSON form of cursors and pages between daemons. A page lists its stores once;
// changes refer to them by index.

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
