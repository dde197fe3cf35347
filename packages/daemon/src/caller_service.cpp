#include "caller_service.h"

#include "account_limit_filter.h"
#include "quarantine_filter.h"
#include "trace_recorder.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

constexpr std::string_view kHealthPath = "/healthz";
// Extra work that is available before any request came.
constexpr double kReserveTokens = 10000;
constexpr double kMaxSavedTokens = 200000;
// When a caller comes back that met a full daemon.
constexpr Duration kFullRetry = 1s;
// No answer counts as late before this time.
constexpr Duration kLeastHedgeTime = 50ms;

std::unique_ptr<HedgePolicy>
MakeHedges(const DaemonSettings& aSettings, ExtraWorkBudget& aBudget)
{
  if (aSettings.mHedgeBudget <= 0) {
    return MakeNoHedgePolicy();
  }
  HedgeSettings settings;
  settings.mMinDelay = kLeastHedgeTime;
  settings.mShare = aSettings.mHedgeBudget;
  // None before any request came: a reserve of each thread would pass the bound
  // while there are few requests.
  settings.mReserveTokens = 0;
  return MakeBudgetedHedgePolicy(aBudget, settings);
}

} // namespace

CallerService::CallerService(ThreadContext& aThread,
                             const DaemonSettings& aSettings,
                             ControlViewHolder& aViews,
                             HomeService& aHomes,
                             DaemonParts& aParts,
                             DaemonMetrics& aMetrics,
                             std::uint64_t aSeed)
  : mThread(aThread)
  , mSettings(aSettings)
  , mViews(aViews)
  , mSlots(aParts.mSlots)
  , mMetrics(aMetrics)
  , mLocator(aHomes, aSeed)
  , mBudget(aSettings.mRetryBudget, kReserveTokens, kMaxSavedTokens)
  , mRetries(MakeBudgetedRetryPolicy(mBudget))
  , mHedges(MakeHedges(aSettings, mBudget))
  , mEstimator(MakeLearningEstimator(ClassifySettings()))
{
  const DispatchParts parts{ aSettings, aHomes,   mLocator,   mBudget,
                             *mRetries, *mHedges, *mEstimator };
  mFilters.push_back(MakeReadinessFilter());
  mFilters.push_back(MakeAuthenticateFilter());
  mFilters.push_back(MakeDeadlineFilter(aSettings));
  mFilters.push_back(MakeParseFilter());
  mFilters.push_back(MakeEstimateFilter(*mEstimator));
  mFilters.push_back(MakeTraceFilter(aSettings));
  mFilters.push_back(MakeQuarantineFilter(aHomes.GetQuarantine()));
  mFilters.push_back(MakeAccountLimitFilter(aParts.mLimits));
  mFilters.push_back(MakeCompletionDispatcher(parts));
  mFilters.push_back(MakeServiceDispatcher(parts));
}

CallerService::~CallerService() = default;

void
CallerService::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (aRequest.mTarget == kHealthPath) {
    AnswerHealth(aResponder);
    return;
  }
  RequestContext context{ .mHttp = aRequest,
                          .mResponder = aResponder,
                          .mThread = mThread,
                          .mView = mViews.Load(),
                          .mArrivedAt = MonotonicNow(),
                          .mKnown = &mKnown };
  const auto refusal = Serve(context);
  if (refusal) {
    LogLine(LogEvent::RequestRefused,
            { { "reason", refusal->Reason() },
              { "disposition", refusal->GetDisposition() },
              { "account", context.mAccount.mAccount } });
    mMetrics.NoteRefused(context, *refusal);
    SendRefusal(aResponder, *refusal);
    return;
  }
  mMetrics.NoteEnded(context, MonotonicNow());
}

std::optional<Refusal>
CallerService::Serve(RequestContext& aContext)
{
  const RequestSlots::Slot slot(mSlots);
  if (!slot) {
    return aContext.Refuse(RefusalReason::QueueFull,
                           "this daemon carries as many requests as it may",
                           kFullRetry);
  }
  for (const auto& filter : mFilters) {
    auto refusal = filter->Apply(aContext);
    if (refusal) {
      return refusal;
    }
  }
  return std::nullopt;
}

void
CallerService::AnswerHealth(HttpResponder& aResponder)
{
  const auto view = mViews.Load();
  const bool isReady = view->mNotReady.empty() && !view->mDraining;
  (void)aResponder.Send({ isReady ? 200U : 503U,
                          { { "Content-Type", "text/plain" } },
                          isReady ? "ready\n" : "not ready\n" });
}

} // namespace bilberrytrail
