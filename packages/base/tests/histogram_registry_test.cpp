#include <bilberrytrail/base/histogram_registry.h>

#include <doctest/doctest.h>

#include <thread>
#include <vector>

using namespace bilberrytrail;

namespace {

SeriesLabels
Labels(const std::string& aAccount)
{
  return { ProductId("guides"), AccountId(aAccount), "draft" };
}

constexpr auto kFirst = Measure::FirstToken;

} // namespace

TEST_CASE("quantiles differ by at most one bin from the exact ones")
{
  HistogramRegistry registry(4);
  for (int n = 1; n <= 1000; ++n) {
    registry.Record(Labels("a"), kFirst, Duration(1ms) * n);
  }
  struct Row
  {
    double mShare;
    double mMillis;
  };
  const Row rows[] = { { 0.5, 500 }, { 0.9, 900 }, { 0.99, 990 }, { 1, 1000 } };
  for (const auto& row : rows) {
    CAPTURE(row.mShare);
    const auto time = registry.Quantile(Labels("a"), kFirst, row.mShare);
    REQUIRE(time.has_value());
    // 20 bins per decade: each is 12.2% wide.
    CHECK(ToMillis(*time) == doctest::Approx(row.mMillis).epsilon(0.122));
  }
  CHECK_FALSE(registry.Quantile(Labels("b"), kFirst, 0.5).has_value());
  CHECK_FALSE(registry.Quantile(Labels("a"), Measure::Total, 0.5).has_value());
}

TEST_CASE("durations outside the range of the bins are counted")
{
  HistogramRegistry registry(4);
  registry.Record(Labels("a"), kFirst, Duration(-5ms));
  registry.Record(Labels("a"), kFirst, Duration(1us));
  registry.Record(Labels("a"), kFirst, Duration(2000s));
  const auto all = registry.Snapshot();
  REQUIRE(all.size() == 1);
  CHECK(all[0].mCount == 3);
  CHECK(all[0].mMax == doctest::Approx(2e6));
  REQUIRE(all[0].mBins.size() == 2);
  CHECK(all[0].mBins[0].mLower == 0);
  CHECK(all[0].mBins[0].mCount == 2);
  CHECK(all[0].mBins[1].mUpper == doctest::Approx(2e6));
}

TEST_CASE("series beyond the bound share one per measure")
{
  HistogramRegistry registry(2);
  for (const auto* account : { "a", "b", "c", "d", "a" }) {
    registry.Record(Labels(account), kFirst, 10ms);
  }
  registry.Record(Labels("c"), Measure::Total, 10ms);
  CHECK(registry.SeriesCount() == 2);
  struct Row
  {
    SeriesLabels mLabels;
    Measure mMeasure;
    std::uint64_t mCount;
  };
  const Row rows[] = { { OtherLabels(), kFirst, 2 },
                       { OtherLabels(), Measure::Total, 1 },
                       { Labels("a"), kFirst, 2 },
                       { Labels("b"), kFirst, 1 } };
  const auto all = registry.Snapshot();
  REQUIRE(all.size() == std::size(rows));
  for (std::size_t n = 0; n < all.size(); ++n) {
    CAPTURE(n);
    CHECK(all[n].mLabels == rows[n].mLabels);
    CHECK(all[n].mMeasure == rows[n].mMeasure);
    CHECK(all[n].mCount == rows[n].mCount);
  }
}

TEST_CASE("accounts of the same name in two products are two series")
{
  HistogramRegistry registry(4);
  registry.Record({ ProductId("p"), AccountId("a"), "c" }, kFirst, 10ms);
  registry.Record({ ProductId("q"), AccountId("a"), "c" }, kFirst, 10ms);
  CHECK(registry.SeriesCount() == 2);
}

TEST_CASE("merging adds counts, sums and bins within the bound")
{
  HistogramRegistry left(1);
  HistogramRegistry right(8);
  left.Record(Labels("a"), kFirst, 10ms);
  right.Record(Labels("a"), kFirst, 30ms);
  right.Record(Labels("b"), kFirst, 50ms);
  left.Merge(right);
  left.Merge(left);
  const auto all = left.Snapshot();
  REQUIRE(all.size() == 2);
  CHECK(all[0].mLabels == OtherLabels());
  CHECK(all[0].mCount == 2);
  CHECK(all[1].mCount == 4);
  CHECK(all[1].mSum == doctest::Approx(80));
  CHECK(all[1].mBins.size() == 2);
}

TEST_CASE("concurrent records are all counted")
{
  constexpr int kThreads = 4;
  constexpr int kRecordsPerThread = 2000;
  HistogramRegistry registry(2);
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&registry, t] {
      for (int n = 0; n < kRecordsPerThread; ++n) {
        registry.Record(Labels(std::to_string(t)), kFirst, 1ms);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  std::uint64_t count = 0;
  for (const auto& one : registry.Snapshot()) {
    count += one.mCount;
  }
  CHECK(count == kThreads * kRecordsPerThread);
}
