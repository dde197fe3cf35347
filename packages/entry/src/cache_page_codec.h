#pragma once

#include <bilberrytrail/entry/cache_change_log.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Path at which a daemon answers queries for cache changes. They have a port of
// their own, so that whatever their size, nothing else waits for them.
inline constexpr const char* kCachePath = "/cache-changes";

// Query of a daemon for the cache changes that it lacks.
struct CacheQuery
{
  // Where the last reply ended.
  CacheCursor mCursor;
  // What the daemon has, when it asks another daemon than before.
  std::vector<CachePosition> mPositions;
};

// Reply to a CacheQuery. Its page may have been encoded for another daemon a
// moment ago.
struct CacheReply
{
  // Time since the page was encoded.
  Duration mSince{};
  // Added to those of the page.
  std::vector<CachePosition> mResets;
  // Empty when the daemon has no bandwidth left for a page now.
  std::string mPage;
};

[[nodiscard]] std::string
EncodeCacheQuery(const CacheQuery& aQuery);
// These fail with Corrupt when the bytes cannot be parsed.
[[nodiscard]] Result<CacheQuery>
DecodeCacheQuery(std::string_view aBytes);
[[nodiscard]] std::string
EncodeCacheReply(Duration aSince,
                 const std::vector<CachePosition>& aResets,
                 std::string_view aPage);
[[nodiscard]] Result<CacheReply>
DecodeCacheReply(std::string_view aBytes);
[[nodiscard]] std::string
EncodeCachePage(const CachePage& aPage);
[[nodiscard]] Result<CachePage>
DecodeCachePage(std::string_view aBytes);

} // namespace bilberrytrail
