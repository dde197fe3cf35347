#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <string>
#include <vector>

// What bench programs print. tools/bench collects the lines into one table.
namespace bilberrytrail::bench {

// Whether a measured value meets its target.
enum class Verdict : unsigned char
{
  // There is no target.
  Stated,
  Met,
  Short
};

// One line of the table.
struct Row
{
  std::string mMeasure;
  // Deployment whose sizes were used, or "both".
  std::string mDeployment;
  std::string mValue;
  std::string mTarget;
  Verdict mVerdict = Verdict::Stated;
};

[[nodiscard]] constexpr Verdict
AtMost(double aValue, double aTarget) noexcept
{
  return aValue <= aTarget ? Verdict::Met : Verdict::Short;
}

[[nodiscard]] constexpr Verdict
AtLeast(double aValue, double aTarget) noexcept
{
  return aValue >= aTarget ? Verdict::Met : Verdict::Short;
}

// Formats a number with a unit behind it.
[[nodiscard]] inline std::string
Format(double aValue, int aDigits, const char* aUnit = "")
{
  char buf[64];
  std::snprintf(buf, sizeof buf, "%.*f%s", aDigits, aValue, aUnit);
  return buf;
}

// Prints a line of the table, its fields separated by tabs.
inline void
Print(const Row& aRow)
{
  constexpr const char* kVerdicts[] = { "stated", "met", "short" };
  std::printf("row\t%s\t%s\t%s\t%s\t%s\n",
              aRow.mMeasure.c_str(),
              aRow.mDeployment.c_str(),
              aRow.mValue.c_str(),
              aRow.mTarget.c_str(),
              kVerdicts[static_cast<std::size_t>(aRow.mVerdict)]);
  std::fflush(stdout);
}

// Prints a figure that tools/capacity.py works with.
inline void
PrintSlope(const std::string& aSection, const std::string& aKey, double aValue)
{
  std::printf("slope\t%s\t%s\t%.6g\n", aSection.c_str(), aKey.c_str(), aValue);
  std::fflush(stdout);
}

// Returns the quantile of the values; 0 when there are none.
[[nodiscard]] inline double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  const auto n = static_cast<std::size_t>(
    aQuantile * static_cast<double>(aValues.size() - 1));
  return aValues[n];
}

} // namespace bilberrytrail::bench
