#include <bilberrytrail/base/metrics_text.h>

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <cstdio>

namespace bilberrytrail {

namespace {

constexpr std::string_view kPrefix = "bilberrytrail_";

// Rounds to tenths of a microsecond, so that bin bounds print with few digits.
double
Round(double aMillis)
{
  constexpr double kSteps = 1e4;
  return std::round(aMillis * kSteps) / kSteps;
}

std::string
Escape(std::string_view aText)
{
  std::string text;
  for (const char c : aText) {
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    if (c == '"' || c == '\\') {
      text += '\\';
    }
    text += c;
  }
  return text;
}

std::string
RenderLabels(const SeriesLabels& aLabels, std::string_view aExtraLabels)
{
  return "{product=\"" + Escape(aLabels.mProduct.Text()) + "\",account=\"" +
         Escape(aLabels.mAccount.Text()) + "\",class=\"" +
         Escape(aLabels.mClass) + "\"" + std::string(aExtraLabels) + "}";
}

std::string
RenderNumber(double aValue)
{
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.10g", aValue);
  return { buf.data(), static_cast<std::size_t>(n) };
}

void
AppendSeries(std::string& aText, const HistogramSnapshot& aSeries)
{
  const std::string name =
    std::string(kPrefix) + std::string(ToName(aSeries.mMeasure)) + "_ms";
  const std::pair<const char*, double> quantiles[] = {
    { "0.5", aSeries.mP50 }, { "0.9", aSeries.mP90 }, { "0.99", aSeries.mP99 }
  };
  for (const auto& [share, value] : quantiles) {
    aText += name;
    aText +=
      RenderLabels(aSeries.mLabels, std::string(",quantile=\"") + share + "\"");
    aText += " " + RenderNumber(value) + "\n";
  }
  const auto labels = RenderLabels(aSeries.mLabels, "");
  aText += name + "_sum" + labels + " " + RenderNumber(aSeries.mSum) + "\n";
  aText +=
    name + "_count" + labels + " " + std::to_string(aSeries.mCount) + "\n";
}

} // namespace

std::string
RenderHistogramsJson(std::span<const HistogramSnapshot> aSeries)
{
  auto series = nlohmann::json::array();
  for (const auto& one : aSeries) {
    auto bins = nlohmann::json::array();
    for (const auto& bin : one.mBins) {
      bins.push_back({ Round(bin.mLower), Round(bin.mUpper), bin.mCount });
    }
    series.push_back({ { "product", one.mLabels.mProduct.Text() },
                       { "account", one.mLabels.mAccount.Text() },
                       { "class", one.mLabels.mClass },
                       { "measure", ToName(one.mMeasure) },
                       { "unit", "ms" },
                       { "count", one.mCount },
                       { "sum", one.mSum },
                       { "max", one.mMax },
                       { "p50", one.mP50 },
                       { "p90", one.mP90 },
                       { "p99", one.mP99 },
                       { "bins", std::move(bins) } });
  }
  const nlohmann::json page = { { "series", std::move(series) } };
  return page.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
RenderMetricsText(std::span<const HistogramSnapshot> aSeries,
                  std::span<const CounterSnapshot> aCounters)
{
  std::string text;
  for (const auto& one : aCounters) {
    text += kPrefix;
    text += ToName(one.mCounter);
    text += "_total" + RenderLabels(one.mLabels, "") + " " +
            std::to_string(one.mValue) + "\n";
  }
  for (const auto& one : aSeries) {
    AppendSeries(text, one);
  }
  return text;
}

} // namespace bilberrytrail
