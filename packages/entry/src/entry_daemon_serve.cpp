#include "entry_daemon_impl.h"
#include "peer_call.h"

#include <bilberrytrail/base/metrics_text.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr const char* kMetricsPath = "/metrics";
// Evidence about a table that is older without a failed call is late: longer
// than the longest wait for changes, and the check behind it.
constexpr Duration kLateEvidence = 4200ms;

// Returns the response to another daemon's query.
HttpResponse
ToResponse(Result<std::string> aAnswer)
{
  constexpr unsigned kConflict = 409;
  if (!aAnswer) {
    return { kConflict, {}, aAnswer.error().mMessage };
  }
  return { 200, {}, std::move(aAnswer).value() };
}

} // namespace

bool
EntryDaemon::Impl::IsLate() const
{
  return std::ranges::any_of(AllOf<SiteTable>(), [this](SiteTable aTable) {
    return !mViews.HasOutage(aTable) &&
           BootNow() - mViews.CompleteAt(aTable) > kLateEvidence;
  });
}

bool
EntryDaemon::Impl::IsReady() const
{
  const auto view = mViews.Load();
  return !mIsDraining && view != nullptr && view->mConfig != nullptr &&
         view->mHasReadServers && !IsLate();
}

HttpResponse
EntryDaemon::Impl::ServeReadiness(const HttpRequest& aRequest) const
{
  if (aRequest.mTarget != mPlatform.ReadinessPath()) {
    return { 404, {}, "no such path" };
  }
  return IsReady() ? HttpResponse{ 200, {}, "ready" }
                   : HttpResponse{ 503, {}, "not ready" };
}

HttpResponse
EntryDaemon::Impl::ServeMetrics(const HttpRequest& aRequest) const
{
  if (aRequest.mTarget != kMetricsPath) {
    return { 404, {}, "no such path" };
  }
  const auto times = mHistograms.Snapshot();
  const auto counts = mCounters.Snapshot();
  return { 200, {}, RenderMetricsText(times, counts) };
}

HttpResponse
EntryDaemon::Impl::ServePeer(const HttpRequest& aRequest)
{
  if (aRequest.mTarget == kRpcPath) {
    HttpResponse response{ 200, {}, mMethods.Serve(aRequest.mBody) };
    mMetrics.OnReply(RelayReplyKind::Rpc, response.mBody.size());
    return response;
  }
  if (aRequest.mTarget == kRowsPath) {
    return ToResponse(mSiteServer.AnswerRows(aRequest.mBody));
  }
  return { 404, {}, "no such path" };
}

HttpResponse
EntryDaemon::Impl::ServeBulk(const HttpRequest& aRequest)
{
  if (aRequest.mTarget != kCachePath) {
    return { 404, {}, "no such path" };
  }
  return ToResponse(mCacheServer.Answer(aRequest.mBody));
}

} // namespace bilberrytrail
