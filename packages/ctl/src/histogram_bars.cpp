#include "histogram_bars.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <vector>

namespace bilberrytrail {

namespace {

constexpr std::size_t kMaxRows = 20;
constexpr double kBarWidthChars = 40;

struct Bar
{
  double mLower = 0;
  double mUpper = 0;
  double mCount = 0;
};

// Reads the bins of a series, skipping malformed ones.
std::vector<Bar>
ReadBars(const Json& aSeries)
{
  std::vector<Bar> bars;
  for (const auto& bin : ListOf(aSeries, "bins")) {
    if (bin.is_array() && bin.size() == 3 &&
        std::ranges::all_of(
          bin, [](const Json& aPart) { return aPart.is_number(); })) {
      bars.push_back(
        { bin[0].get<double>(), bin[1].get<double>(), bin[2].get<double>() });
    }
  }
  return bars;
}

// Merges adjacent bars so that at most kMaxRows remain.
std::vector<Bar>
MergeBars(const std::vector<Bar>& aBars)
{
  const auto barsPerRow = (aBars.size() + kMaxRows - 1) / kMaxRows;
  std::vector<Bar> merged;
  for (std::size_t n = 0; n < aBars.size(); ++n) {
    if (n % barsPerRow == 0) {
      merged.push_back(aBars[n]);
      continue;
    }
    merged.back().mUpper = aBars[n].mUpper;
    merged.back().mCount += aBars[n].mCount;
  }
  return merged;
}

template<class... Values>
std::string
Format(const char* aFormat, Values... aValues)
{
  std::array<char, 160> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), aFormat, aValues...);
  const auto size = static_cast<std::size_t>(std::max(n, 0));
  return { buf.data(), std::min(size, buf.size() - 1) };
}

std::string
RenderBars(const std::vector<Bar>& aBars)
{
  double maxCount = 1;
  for (const auto& bar : aBars) {
    maxCount = std::max(maxCount, bar.mCount);
  }
  std::string text;
  for (const auto& bar : aBars) {
    const auto share = std::clamp(bar.mCount / maxCount, 0.0, 1.0);
    const auto width =
      static_cast<std::size_t>(std::lround(share * kBarWidthChars));
    text +=
      Format("  %9.1f - %9.1f ms %9.0f ", bar.mLower, bar.mUpper, bar.mCount);
    text += std::string(std::max<std::size_t>(width, 1), '#') + "\n";
  }
  return text;
}

std::string
RenderSeries(const Json& aSeries)
{
  auto text = TextOf(aSeries, "product") + "/" + TextOf(aSeries, "account") +
              " " + TextOf(aSeries, "class") + " " +
              TextOf(aSeries, "measure") + "\n";
  text += "  count " + NumberOf(aSeries, "count");
  text += Format("  p50 %.1f ms  p90 %.1f ms  p99 %.1f ms  max %.1f ms\n",
                 RealOf(aSeries, "p50"),
                 RealOf(aSeries, "p90"),
                 RealOf(aSeries, "p99"),
                 RealOf(aSeries, "max"));
  return text + RenderBars(MergeBars(ReadBars(aSeries)));
}

} // namespace

std::string
RenderHistogramBars(const Json& aJson)
{
  std::string text;
  for (const auto& series : ListOf(aJson, "series")) {
    text += (text.empty() ? "" : "\n") + RenderSeries(series);
  }
  return text.empty() ? "no times recorded\n" : text;
}

} // namespace bilberrytrail
