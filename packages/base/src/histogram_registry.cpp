#include <bilberrytrail/base/histogram_registry.h>

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <mutex>
#include <utility>

namespace bilberrytrail {

namespace {

namespace bh = boost::histogram;

constexpr double kLowestMillis = 0.1;
constexpr double kHighestMillis = 1e6;
constexpr unsigned kDecades = 7;
constexpr unsigned kBinsPerDecade = 20;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram =
  bh::histogram<std::tuple<Axis>, bh::dense_storage<std::uint64_t>>;

// One histogram with its count, sum and longest duration, in milliseconds.
struct Series
{
  Histogram mBins = bh::make_histogram_with(
    bh::dense_storage<std::uint64_t>(),
    Axis(kDecades* kBinsPerDecade, kLowestMillis, kHighestMillis));
  std::uint64_t mCount = 0;
  double mSum = 0;
  double mMax = 0;

  void Record(double aMillis)
  {
    mBins(aMillis);
    ++mCount;
    mSum += aMillis;
    mMax = std::max(mMax, aMillis);
  }

  void Merge(const Series& aOther)
  {
    mBins += aOther.mBins;
    mCount += aOther.mCount;
    mSum += aOther.mSum;
    mMax = std::max(mMax, aOther.mMax);
  }
};

// Returns the non-empty bins, including underflow and overflow.
std::vector<HistogramBin>
NonEmptyBins(const Series& aSeries)
{
  const auto& axis = aSeries.mBins.axis();
  std::vector<HistogramBin> bins;
  for (int n = -1; n <= axis.size(); ++n) {
    const auto count = aSeries.mBins.at(n);
    if (count > 0) {
      const double lower = n < 0 ? 0 : axis.value(n);
      const double upper = n < axis.size() ? axis.value(n + 1) : aSeries.mMax;
      bins.push_back({ lower, upper, count });
    }
  }
  return bins;
}

// Returns a quantile in milliseconds, interpolated within the bin that holds
// its rank.
double
QuantileOf(const Series& aSeries, double aShare)
{
  const double rank =
    std::clamp(aShare, 0.0, 1.0) * static_cast<double>(aSeries.mCount);
  double below = 0;
  for (const auto& bin : NonEmptyBins(aSeries)) {
    const auto count = static_cast<double>(bin.mCount);
    if (below + count >= rank) {
      const double part = (rank - below) / count;
      return std::min(bin.mLower + part * (bin.mUpper - bin.mLower),
                      aSeries.mMax);
    }
    below += count;
  }
  return aSeries.mMax;
}

} // namespace

class HistogramRegistry::Impl
{
public:
  using Key = std::pair<SeriesLabels, Measure>;

  explicit Impl(std::size_t aMaxSeries) noexcept
    : mMaxSeries(aMaxSeries)
  {
  }

  // Returns the series of the key, added if need be, or the one under
  // OtherLabels() when the maximum is reached. The caller holds mMutex.
  Series& FindOrAdd(const Key& aKey)
  {
    if (const auto it = mSeries.find(aKey); it != mSeries.end()) {
      return it->second;
    }
    const bool isOther = aKey.first == OtherLabels();
    if (!isOther && mOwnSeries >= mMaxSeries) {
      return mSeries[{ OtherLabels(), aKey.second }];
    }
    mOwnSeries += isOther ? 0 : 1;
    return mSeries[aKey];
  }

  const std::size_t mMaxSeries;
  mutable std::mutex mMutex;
  std::map<Key, Series> mSeries;
  // Entries of mSeries with labels other than OtherLabels().
  std::size_t mOwnSeries = 0;
};

HistogramRegistry::HistogramRegistry(std::size_t aMaxSeries)
  : mImpl(std::make_unique<Impl>(aMaxSeries))
{
}

HistogramRegistry::~HistogramRegistry() = default;

std::size_t
HistogramRegistry::SeriesCount() const
{
  const std::scoped_lock lock(mImpl->mMutex);
  return mImpl->mOwnSeries;
}

std::optional<Duration>
HistogramRegistry::Quantile(const SeriesLabels& aLabels,
                            Measure aMeasure,
                            double aShare) const
{
  const std::scoped_lock lock(mImpl->mMutex);
  const auto it = mImpl->mSeries.find({ aLabels, aMeasure });
  if (it == mImpl->mSeries.end()) {
    return std::nullopt;
  }
  return FromMillis(QuantileOf(it->second, aShare));
}

std::vector<HistogramSnapshot>
HistogramRegistry::Snapshot() const
{
  const std::scoped_lock lock(mImpl->mMutex);
  std::vector<HistogramSnapshot> all;
  all.reserve(mImpl->mSeries.size());
  for (const auto& [key, series] : mImpl->mSeries) {
    all.push_back({ key.first,
                    key.second,
                    series.mCount,
                    series.mSum,
                    series.mMax,
                    QuantileOf(series, 0.5),
                    QuantileOf(series, 0.9),
                    QuantileOf(series, 0.99),
                    NonEmptyBins(series) });
  }
  return all;
}

void
HistogramRegistry::Record(const SeriesLabels& aLabels,
                          Measure aMeasure,
                          Duration aTime)
{
  const double millis = std::max(ToMillis(aTime), 0.0);
  const std::scoped_lock lock(mImpl->mMutex);
  mImpl->FindOrAdd({ aLabels, aMeasure }).Record(millis);
}

void
HistogramRegistry::Merge(const HistogramRegistry& aOther)
{
  std::map<Impl::Key, Series> series;
  {
    const std::scoped_lock lock(aOther.mImpl->mMutex);
    series = aOther.mImpl->mSeries;
  }
  const std::scoped_lock lock(mImpl->mMutex);
  for (const auto& [key, one] : series) {
    mImpl->FindOrAdd(key).Merge(one);
  }
}

} // namespace bilberrytrail
