#include "daemon_metrics.h"

#include <bilberrytrail/base/metrics_text.h>

namespace bilberrytrail {

namespace {

Counter
CounterOf(Disposition aDisposition)
{
  switch (aDisposition) {
    case Disposition::NotRun:
      return Counter::RefusedNotRun;
    case Disposition::Unknown:
      return Counter::RefusedUnknown;
    case Disposition::Incomplete:
      return Counter::Incomplete;
  }
  return Counter::RefusedUnknown;
}

} // namespace

DaemonMetrics::DaemonMetrics(std::size_t aMaxSeries)
  : mHistograms(aMaxSeries)
  , mCounters(aMaxSeries)
{
}

std::string
DaemonMetrics::HistogramsJson(std::string_view aAccount,
                              std::string_view aClass) const
{
  auto series = mHistograms.Snapshot();
  std::erase_if(series, [&](const HistogramSnapshot& aSeries) {
    return (!aAccount.empty() && aSeries.mLabels.mAccount.Text() != aAccount) ||
           (!aClass.empty() && aSeries.mLabels.mClass != aClass);
  });
  return RenderHistogramsJson(series);
}

std::string
DaemonMetrics::Text() const
{
  return RenderMetricsText(mHistograms.Snapshot(), mCounters.Snapshot());
}

void
DaemonMetrics::NoteEnded(const RequestContext& aContext, Instant aNow)
{
  const SeriesLabels labels = LabelsOf(aContext);
  NoteRequest(labels, aContext);
  if (aContext.mIncomplete) {
    mCounters.Add(labels, Counter::Incomplete);
    return;
  }
  mCounters.Add(labels, Counter::Answered);
  mHistograms.Record(labels, Measure::Total, aNow - aContext.mArrivedAt);
  if (aContext.mFirstTokenAt) {
    mHistograms.Record(labels,
                       Measure::FirstToken,
                       *aContext.mFirstTokenAt - aContext.mArrivedAt);
  }
}

void
DaemonMetrics::NoteRefused(const RequestContext& aContext,
                           const Refusal& aRefusal)
{
  const SeriesLabels labels = LabelsOf(aContext);
  NoteRequest(labels, aContext);
  mCounters.Add(labels, CounterOf(aRefusal.GetDisposition()));
}

SeriesLabels
DaemonMetrics::LabelsOf(const RequestContext& aContext)
{
  return { aContext.mAccount.mProduct,
           aContext.mAccount.mAccount,
           std::string(ToName(aContext.mEstimate.mClass)) };
}

void
DaemonMetrics::NoteRequest(const SeriesLabels& aLabels,
                           const RequestContext& aContext)
{
  mCounters.Add(aLabels, Counter::Requests);
  if (aContext.mRetries > 0) {
    mCounters.Add(aLabels, Counter::Retries, aContext.mRetries);
  }
  if (aContext.mHedges > 0) {
    mCounters.Add(aLabels, Counter::Hedges, aContext.mHedges);
  }
}

} // namespace bilberrytrail
