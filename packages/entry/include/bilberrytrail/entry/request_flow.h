#pragma once

#include <bilberrytrail/base/counter_registry.h>
#include <bilberrytrail/base/histogram_registry.h>
#include <bilberrytrail/entry/backend_call.h>
#include <bilberrytrail/entry/cache_directory.h>
#include <bilberrytrail/entry/event_splitter.h>
#include <bilberrytrail/entry/placement.h>
#include <bilberrytrail/entry/retry_meter.h>
#include <bilberrytrail/entry/server_pool.h>
#include <bilberrytrail/entry/site_view.h>
#include <bilberrytrail/traffic/attempt_ledger.h>

#include <functional>

namespace bilberrytrail {

// What the requests of one traffic thread share.
struct FlowContext
{
  Loop& mLoop;
  BackendPort& mBackend;
  ServerPool& mPool;
  RetryMeter& mRetries;
  CacheDirectory& mCache;
  HistogramRegistry& mTimes;
  CounterRegistry& mCounts;
  // Time from the naming of new weights in which requests may still begin on
  // older ones.
  Duration mWeightsWithin;
  // The view in force; null before the first.
  std::function<std::shared_ptr<const SiteView>()> mView;
  // Whether the view was confirmed so lately that a route or key that it lacks
  // does not exist.
  std::function<bool()> mIsViewFresh;
  // Who places requests; null when this daemon does so by itself.
  Placer* mPlacer = nullptr;
};

// Answers requests of callers straight from the backend servers: finds route
// and account, chooses a server, sends, repeats where that is safe, and passes
// the answer on as it comes.
class RequestFlow
{
public:
  explicit RequestFlow(FlowContext aParts)
    : mParts(std::move(aParts))
  {
  }

  // Answers one request; waits on the calling fiber.
  void Handle(const CallerRequest& aRequest, CallerSink& aSink);

private:
  FlowContext mParts;
};

} // namespace bilberrytrail
