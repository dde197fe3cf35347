#pragma once

#include <bilberrytrail/base/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrytrail {

// Estimates how often blocks were used recently: a count-min sketch of 8-bit
// counters. All counters, and the count of additions, are halved when there
// were ten additions per counter of a row. Between halvings an estimate is
// never below the true count, up to 255.
class FrequencySketch
{
public:
  // Makes a sketch with at least aCounters counters per row.
  explicit FrequencySketch(std::size_t aCounters);

  [[nodiscard]] std::uint32_t Estimate(BlockId aBlock) const;
  [[nodiscard]] std::size_t StateBytes() const noexcept
  {
    return kRows * mWidth;
  }

  void Add(BlockId aBlock);

private:
  static constexpr std::size_t kRows = 4;

  [[nodiscard]] std::array<std::size_t, kRows> CellsOf(BlockId aBlock) const;
  void Halve();

  std::size_t mWidth;
  std::vector<std::uint8_t> mCounters;
  std::size_t mAdds = 0;
};

} // namespace bilberrytrail
