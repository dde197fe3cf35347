#include <bilberrytrail/cache/frequency_sketch.h>

#include <bilberrytrail/base/random.h>

#include <algorithm>
#include <bit>
#include <limits>

namespace bilberrytrail {

namespace {

constexpr std::size_t kMinCounters = 16;
constexpr std::size_t kAddsPerCounter = 10;
constexpr std::uint8_t kMaxCount = std::numeric_limits<std::uint8_t>::max();

} // namespace

FrequencySketch::FrequencySketch(std::size_t aCounters)
  : mWidth(std::bit_ceil(std::max(aCounters, kMinCounters)))
  , mCounters(kRows * mWidth)
{
}

std::array<std::size_t, FrequencySketch::kRows>
FrequencySketch::CellsOf(BlockId aBlock) const
{
  Random hash(aBlock.Value());
  std::array<std::size_t, kRows> cells{};
  for (std::size_t row = 0; row < kRows; ++row) {
    cells[row] = row * mWidth + hash.Below(mWidth);
  }
  return cells;
}

std::uint32_t
FrequencySketch::Estimate(BlockId aBlock) const
{
  std::uint32_t least = kMaxCount;
  for (const auto cell : CellsOf(aBlock)) {
    least = std::min<std::uint32_t>(least, mCounters[cell]);
  }
  return least;
}

void
FrequencySketch::Add(BlockId aBlock)
{
  const auto count = Estimate(aBlock);
  for (const auto cell : CellsOf(aBlock)) {
    // Conservative update: only the smallest counters are incremented, which
    // reduces overestimation.
    if (mCounters[cell] == count && count < kMaxCount) {
      ++mCounters[cell];
    }
  }
  if (++mAdds >= kAddsPerCounter * mWidth) {
    Halve();
  }
}

void
FrequencySketch::Halve()
{
  for (auto& counter : mCounters) {
    counter /= 2;
  }
  mAdds /= 2;
}

} // namespace bilberrytrail
