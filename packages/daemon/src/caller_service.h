#pragma once

#include "daemon_metrics.h"
#include "daemon_parts.h"
#include "dispatch.h"
#include "request_filters.h"

#include <bilberrytrail/runtime/http_server.h>

#include <memory>
#include <vector>

namespace bilberrytrail {

// Serves callers on one traffic thread: passes each request through the
// filters, of which the last ones dispatch it.
class CallerService : public HttpHandler
{
public:
  CallerService(ThreadContext& aThread,
                const DaemonSettings& aSettings,
                ControlViewHolder& aViews,
                HomeService& aHomes,
                DaemonParts& aParts,
                DaemonMetrics& aMetrics,
                std::uint64_t aSeed);
  ~CallerService() override;

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  void AnswerHealth(HttpResponder& aResponder);
  // Passes the request through the filters; returns the refusal of one.
  [[nodiscard]] std::optional<Refusal> Serve(RequestContext& aContext);

  ThreadContext& mThread;
  const DaemonSettings& mSettings;
  ControlViewHolder& mViews;
  RequestSlots& mSlots;
  DaemonMetrics& mMetrics;
  EstimateCache mKnown;
  ServerLocator mLocator;
  ExtraWorkBudget mBudget;
  std::unique_ptr<RetryPolicy> mRetries;
  std::unique_ptr<HedgePolicy> mHedges;
  std::unique_ptr<WorkEstimator> mEstimator;
  std::vector<std::unique_ptr<RequestFilter>> mFilters;
};

} // namespace bilberrytrail
