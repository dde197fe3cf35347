#pragma once

#include "request_context.h"

#include <bilberrytrail/base/counter_registry.h>
#include <bilberrytrail/base/histogram_registry.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Histograms and counters of one daemon, per client account and class.
// Thread-safe and bounded in number.
class DaemonMetrics
{
public:
  explicit DaemonMetrics(std::size_t aMaxSeries);

  // Returns the histograms as JSON, of one account and class when named.
  [[nodiscard]] std::string HistogramsJson(std::string_view aAccount,
                                           std::string_view aClass) const;
  // Returns counters and quantiles as text.
  [[nodiscard]] std::string Text() const;

  // Notes a request whose answer has ended.
  void NoteEnded(const RequestContext& aContext, Instant aNow);
  // Notes a request that was refused.
  void NoteRefused(const RequestContext& aContext, const Refusal& aRefusal);

private:
  [[nodiscard]] static SeriesLabels LabelsOf(const RequestContext& aContext);
  void NoteRequest(const SeriesLabels& aLabels, const RequestContext& aContext);

  HistogramRegistry mHistograms;
  CounterRegistry mCounters;
};

} // namespace bilberrytrail
