#include "cache_server.h"

namespace bilberrytrail {

namespace {

// Time for which a page serves further daemons, which then lag as much at most.
constexpr Duration kPageTime = 250ms;
// Period in which the share of the link is counted.
constexpr Duration kLinkPeriod = 200ms;

} // namespace

CacheServer::CacheServer(const StoreFollower& aStores,
                         SiteMetrics& aMetrics,
                         double aLinkMbps)
  : mStores(aStores)
  , mMetrics(aMetrics)
  , mLinkMbps(aLinkMbps)
{
}

std::shared_ptr<const CacheServer::Page>
CacheServer::PageAt(const CacheCursor& aCursor)
{
  const auto now = BootNow();
  std::erase_if(mPages, [&](const auto& aEntry) {
    return now >= aEntry.second->mEncodedAt + kPageTime;
  });
  auto& known = mPages[aCursor.mNext];
  if (known == nullptr) {
    const auto begin = MonotonicNow();
    auto bytes = EncodeCachePage(mStores.PageAt(aCursor));
    mMetrics.OnBuilt(
      RelayReplyKind::Cache, bytes.size(), MonotonicNow() - begin);
    known = std::make_shared<const Page>(Page{ std::move(bytes), now });
  }
  return known;
}

bool
CacheServer::TakeLink(std::size_t aBytes)
{
  constexpr double kBitsInByte = 8;
  const auto now = BootNow();
  if (now >= mPeriodEnd) {
    mPeriodEnd = now + kLinkPeriod;
    mPeriodBytes = 0;
  }
  // A megabit a second is a bit a microsecond.
  const double limit = mLinkMbps * kLinkShare *
                       static_cast<double>(kLinkPeriod.count()) / kBitsInByte;
  // A page larger than the limit passes as the first one.
  if (mLinkMbps > 0 && mPeriodBytes > 0 &&
      static_cast<double>(mPeriodBytes + aBytes) > limit) {
    return false;
  }
  mPeriodBytes += aBytes;
  return true;
}

Result<std::string>
CacheServer::Answer(const std::string& aQuery)
{
  const auto query = DecodeCacheQuery(aQuery);
  if (!query) {
    return query.error();
  }
  if (!mStores.IsKept()) {
    return Fail(ErrorCode::Refused, "keeps no cache changes for others");
  }
  CachePage start;
  start.mCursor = query.value().mCursor;
  if (!mStores.Knows(start.mCursor)) {
    if (start.mCursor.mLog != 0 && query.value().mPositions.empty()) {
      return Fail(ErrorCode::NotFound, "cursor of another process");
    }
    start = mStores.ResumeAt(query.value().mPositions);
  }
  const auto page = PageAt(start.mCursor);
  if (!TakeLink(page->mBytes.size())) {
    return EncodeCacheReply(Duration(0), {}, {});
  }
  auto reply =
    EncodeCacheReply(BootNow() - page->mEncodedAt, start.mResets, page->mBytes);
  mMetrics.OnReply(RelayReplyKind::Cache, reply.size());
  return reply;
}

} // namespace bilberrytrail
