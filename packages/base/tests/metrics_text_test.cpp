#include <bilberrytrail/base/metrics_text.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const SeriesLabels kLabels{ ProductId("p"), AccountId("a\"\\\n"), "draft" };

} // namespace

TEST_CASE("merging counters keeps the bound on their number")
{
  CounterRegistry left(1);
  CounterRegistry right(4);
  left.Add(kLabels, Counter::Requests);
  left.Add(kLabels, Counter::Retries, 2);
  right.Add(kLabels, Counter::Requests, 5);
  right.Add(kLabels, Counter::Retries, 7);
  left.Merge(right);
  CHECK(left.Value(kLabels, Counter::Requests) == 6);
  CHECK(left.Value(kLabels, Counter::Retries) == 0);
  CHECK(left.Value(OtherLabels(), Counter::Retries) == 9);
  CHECK(left.Snapshot().size() == 2);
}

TEST_CASE("metrics are rendered as lines with escaped labels")
{
  HistogramRegistry histograms(1);
  CounterRegistry counters(1);
  histograms.Record(kLabels, Measure::Total, 0ms);
  counters.Add(kLabels, Counter::Requests, 3);
  const std::string labels =
    "{product=\"p\",account=\"a\\\"\\\\\\n\",class=\"draft\"";
  const std::string name = "bilberrytrail_total_ms";
  CHECK(RenderMetricsText(histograms.Snapshot(), counters.Snapshot()) ==
        "bilberrytrail_requests_total" + labels + "} 3\n" + name + labels +
          ",quantile=\"0.5\"} 0\n" + name + labels + ",quantile=\"0.9\"} 0\n" +
          name + labels + ",quantile=\"0.99\"} 0\n" + name + "_sum" + labels +
          "} 0\n" + name + "_count" + labels + "} 1\n");
}

TEST_CASE("histograms are written as JSON")
{
  HistogramRegistry histograms(1);
  histograms.Record(
    { ProductId("p"), AccountId("\xff"), "c" }, Measure::Total, 0ms);
  CHECK(RenderHistogramsJson(histograms.Snapshot()) ==
        "{\"series\":[{\"account\":\"\xEF\xBF\xBD\",\"bins\":[[0.0,0.1,1]],"
        "\"class\":\"c\",\"count\":1,\"max\":0.0,\"measure\":\"total\","
        "\"p50\":0.0,\"p90\":0.0,\"p99\":0.0,\"product\":\"p\",\"sum\":0.0,"
        "\"unit\":\"ms\"}]}");
}
