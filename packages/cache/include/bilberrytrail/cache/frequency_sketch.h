#pragma once

#include <bilberrytrail/base/ids.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace bilberrytrail {

// Estimates how often blocks were used lately: a count-min sketch of 8-bit
// counters, all halved once there have been ten uses a counter. Never less
// than the true count of the present period, up to 255.
class FrequencySketch
{
public:
  // Makes a sketch with at least that many counters a row.
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
