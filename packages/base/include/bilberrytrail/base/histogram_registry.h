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

// One filled bin of a histogram, in milliseconds. The first bin begins at 0,
// and the last ends at the longest time recorded.
struct HistogramBin
{
  double mLower = 0;
  double mUpper = 0;
  std::uint64_t mCount = 0;
};

// A histogram as it stood at one moment. Times in milliseconds.
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

// Histograms of times per client account, class and measure, with bins that
// grow by a constant factor from 0.1 ms to 1000 s. The number of series is
// bounded; times without a series of their own go to OtherLabels(), one series
// per measure beyond the bound. Thread-safe: give each traffic thread its own
// and merge them to report.
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

  // Returns the number of series, those of OtherLabels() not counted.
  [[nodiscard]] std::size_t SeriesCount() const;
  // Returns the time below which the share of the recorded times lies;
  // nothing when the series has none.
  [[nodiscard]] std::optional<Duration> Quantile(const SeriesLabels& aLabels,
                                                 Measure aMeasure,
                                                 double aShare) const;
  // Returns all series, ordered by labels and measure.
  [[nodiscard]] std::vector<HistogramSnapshot> Snapshot() const;

  // Adds one time; negative ones count as 0.
  void Record(const SeriesLabels& aLabels, Measure aMeasure, Duration aTime);
  // Adds all series of another registry.
  void Merge(const HistogramRegistry& aOther);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace bilberrytrail
