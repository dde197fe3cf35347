#pragma once

#include "cache_page_codec.h"
#include "site_metrics.h"
#include "store_follower.h"

#include <map>
#include <memory>
#include <string>

namespace bilberrytrail {

// Answers other daemons' queries for cache changes. A page is encoded once for
// all daemons that continue at the same place, which are nearly all, and pages
// take a part of the VM's link only.
class CacheServer
{
public:
  // aLinkMbps is the speed of this VM's link; 0 if it is unknown.
  CacheServer(const StoreFollower& aStores,
              SiteMetrics& aMetrics,
              double aLinkMbps);

  // Share of the link that replies may take.
  static constexpr double kLinkShare = 0.25;

  // Answers a query, without a page when the share of the link is used up.
  // Fails with Refused when this daemon keeps no changes for others, and with
  // NotFound when it needs the requester's positions.
  [[nodiscard]] Result<std::string> Answer(const std::string& aQuery);

private:
  struct Page
  {
    std::string mBytes;
    Instant mEncodedAt;
  };

  // Returns the page at a cursor, encoded a moment ago at most.
  [[nodiscard]] std::shared_ptr<const Page> PageAt(const CacheCursor& aCursor);
  // Takes bytes from the share of the link; returns false when there are too
  // few left.
  bool TakeLink(std::size_t aBytes);

  const StoreFollower& mStores;
  SiteMetrics& mMetrics;
  const double mLinkMbps;
  // By number of the first change.
  std::map<std::uint64_t, std::shared_ptr<const Page>> mPages;
  // Bytes of replies in the present period of the link's share.
  std::size_t mPeriodBytes = 0;
  Instant mPeriodEnd;
};

} // namespace bilberrytrail
