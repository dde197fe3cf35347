#pragma once

#include <bilberrytrail/base/counter_registry.h>
#include <bilberrytrail/base/histogram_registry.h>

#include <span>
#include <string>

namespace bilberrytrail {

// Returns the histograms as JSON in the format of docs/PROTOCOL-OPERATOR.md.
[[nodiscard]] std::string
RenderHistogramsJson(std::span<const HistogramSnapshot> aSeries);

// Returns counters and quantiles as lines 'name{label="value"} number'.
[[nodiscard]] std::string
RenderMetricsText(std::span<const HistogramSnapshot> aSeries,
                  std::span<const CounterSnapshot> aCounters);

} // namespace bilberrytrail
