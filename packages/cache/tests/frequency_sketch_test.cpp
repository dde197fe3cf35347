#include <bilberrytrail/cache/frequency_sketch.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("a sketch never underestimates a count and decays over time")
{
  FrequencySketch sketch(1024);
  for (std::uint64_t n = 0; n < 200; ++n) {
    for (std::uint64_t k = 0; k <= n % 7; ++k) {
      sketch.Add(BlockId(n));
    }
  }
  for (std::uint64_t n = 0; n < 200; ++n) {
    CHECK(sketch.Estimate(BlockId(n)) >= n % 7 + 1);
  }
  const auto before = sketch.Estimate(BlockId(6));
  for (std::uint64_t n = 0; n < 20000; ++n) {
    sketch.Add(BlockId(1000000 + n % 100));
  }
  CHECK(sketch.Estimate(BlockId(6)) < before);
  CHECK(sketch.StateBytes() == 4096);
}

TEST_CASE("a counter saturates at 255")
{
  FrequencySketch sketch(1024);
  for (int n = 0; n < 1000; ++n) {
    sketch.Add(BlockId(1));
  }
  CHECK(sketch.Estimate(BlockId(1)) == 255);
}
