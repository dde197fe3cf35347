#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace bilberrytrail {

// Small seeded generator (splitmix64). The same seed gives the same sequence
// on every machine, which the tests rely on.
class Random
{
public:
  explicit constexpr Random(std::uint64_t aSeed) noexcept
    : mState(aSeed)
  {
  }

  // Returns the next 64 random bits.
  constexpr std::uint64_t Next() noexcept
  {
    mState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t n = mState;
    n = (n ^ (n >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    n = (n ^ (n >> 27U)) * 0x94d049bb133111ebULL;
    return n ^ (n >> 31U);
  }

  // Returns a number in [0, aBound); 0 when aBound is 0.
  constexpr std::uint64_t Below(std::uint64_t aBound) noexcept
  {
    return aBound == 0 ? 0 : Next() % aBound;
  }

  // Returns a number in [0, 1).
  constexpr double Unit() noexcept
  {
    return static_cast<double>(Next() >> 11U) * 0x1.0p-53;
  }

private:
  std::uint64_t mState;
};

// Returns aMaxCount of the elements, or all when there are fewer, chosen at
// random and in random order.
template<class T>
[[nodiscard]] std::vector<T>
PickRandom(std::vector<T> aElements, std::size_t aMaxCount, Random& aRandom)
{
  const std::size_t count = std::min(aMaxCount, aElements.size());
  for (std::size_t n = 0; n < count; ++n) {
    std::swap(aElements[n], aElements[n + aRandom.Below(aElements.size() - n)]);
  }
  aElements.resize(count);
  return aElements;
}

} // namespace bilberrytrail
