#pragma once

#include <bilberrytrail/base/counter_registry.h>
#include <bilberrytrail/base/histogram_registry.h>
#include <bilberrytrail/entry/avoided_servers.h>
#include <bilberrytrail/entry/backend_call.h>
#include <bilberrytrail/entry/cache_directory.h>
#include <bilberrytrail/entry/crash_watch.h>
#include <bilberrytrail/entry/event_splitter.h>
#include <bilberrytrail/entry/placement.h>
#include <bilberrytrail/entry/retry_meter.h>
#include <bilberrytrail/entry/server_pool.h>
#include <bilberrytrail/entry/site_evidence.h>
#include <bilberrytrail/entry/site_view.h>
#include <bilberrytrail/traffic/attempt_ledger.h>

#include <functional>
#include <set>

namespace bilberrytrail {

class RequestRun;

// State and services that the requests of one traffic thread share.
struct FlowContext
{
  Loop& mLoop;
  BackendPort& mBackend;
  ServerPool& mPool;
  RetryMeter& mRetries;
  CacheDirectory& mCache;
  HistogramRegistry& mTimes;
  CounterRegistry& mCounts;
  // Time after the announcement of new weights within which requests may still
  // begin at a server on older ones.
  Duration mWeightsWithin;
  // Returns the current view; null before the first one.
  std::function<std::shared_ptr<const SiteView>()> mView;
  // Time from the acknowledgement of a configuration until it must be in force.
  Duration mConfigWithin;
  // Returns whether the view, as it is when this returns, lacks no change of
  // the configuration made before a time on the boot clock. While that is not
  // known, suspends the calling fiber for an answer that shows it, for the
  // given time at most.
  std::function<bool(Instant, Duration)> mAwaitEvidence;
  // Returns what shows that the configuration of the current view is the one in
  // force.
  std::function<SiteEvidence()> mEvidence;
  // Rate limits that the servers name, and the pace of the requests that this
  // daemon sends to such servers without a home.
  ServerLimits& mLimits;
  RateGate& mGate;
  // Evidence against parts of prompts, and against whole requests.
  PartQuarantine& mParts;
  PartQuarantine& mRequests;
  CrashWatch& mCrashes;
  // Servers that get no requests, since their answers said so.
  AvoidedServers& mAvoided;
  // Places requests through homes; null when this daemon chooses servers
  // itself.
  Placer* mPlacer = nullptr;
};

// Answers callers' requests from the backend servers: finds route and account,
// chooses a server, sends the request, retries where that is safe, and relays
// the answer as it arrives.
class RequestFlow
{
public:
  explicit RequestFlow(FlowContext aContext)
    : mContext(std::move(aContext))
  {
  }

  // Answers one request; blocks the calling fiber until it has ended.
  void Handle(const CallerRequest& aRequest, CallerSink& aSink);
  // Refuses requests that arrive from now on, as not run.
  void RefuseNew() noexcept { mRefusesNew = true; }
  // Ends all requests in progress: their callers are told what is known of
  // them, or their streams are cut. The daemon is about to exit.
  void EndAll();

private:
  FlowContext mContext;
  bool mRefusesNew = false;
  std::set<RequestRun*> mRuns;
};

} // namespace bilberrytrail
