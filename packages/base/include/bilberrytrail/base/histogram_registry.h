#pragma once

#include <bilberrytrail/base/series.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// One non-empty bin of a histogram, in milliseconds. The first bin begins at
// 0, and the last ends at the longest duration recorded.
struct HistogramBin
{
  double mLower = 0;
  double mUpper = 0;
  std::uint64_t mCount = 0;
};

// Content of one histogram at the time of a snapshot, in milliseconds.
struct HistogramSnapshot
{
  SeriesLabels mLabels;
  Measure mMeasure = Measure::FirstToken;
  std::uint64_t mCount = 0;
  double mSum = 0;
  double mMax = 0;
  double mP50 = 0;
  double mP90 = 0;
  double mP99 = 0;
  std::vector<HistogramBin> mBins;
};

// Histograms of durations per client account, class and measure, with bins that
// grow by a constant factor from 0.1 ms to 1000 s. The number of series is
// bounded; durations beyond the bound are recorded under OtherLabels(), in one
// additional series per measure. Thread-safe. To avoid contention, give each
// traffic thread its own registry and merge them for reports.
//
//   HistogramRegistry registry(256);
//   registry.Record(labels, Measure::FirstToken, 61ms);
//   auto p99 = registry.Quantile(labels, Measure::FirstToken, 0.99);
class HistogramRegistry
{
public:
  explicit HistogramRegistry(std::size_t aMaxSeries);
  ~HistogramRegistry();
  HistogramRegistry(const HistogramRegistry&) = delete;
  HistogramRegistry& operator=(const HistogramRegistry&) = delete;

  // Returns the number of series, not counting those of OtherLabels().
  [[nodiscard]] std::size_t SeriesCount() const;
  // Returns the duration below which the given share (0 to 1) of the recorded
  // durations lies; nothing when there is no such series.
  [[nodiscard]] std::optional<Duration> Quantile(const SeriesLabels& aLabels,
                                                 Measure aMeasure,
                                                 double aShare) const;
  // Returns all series, ordered by labels and measure.
  [[nodiscard]] std::vector<HistogramSnapshot> Snapshot() const;

  // Records one duration; a negative one counts as 0.
  void Record(const SeriesLabels& aLabels, Measure aMeasure, Duration aTime);
  // Adds all series of another registry.
  void Merge(const HistogramRegistry& aOther);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
