#include <bilberrytrail/entry/return_places.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

using namespace bilberrytrail;

namespace {

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

// Places of a group that grants this many prompts a second.
ReturnPlaces
Granting(int aPerSecond)
{
  ReturnPlaces places;
  for (int n = 0; n < 5 * aPerSecond; ++n) {
    places.NoteGranted(At(-5s + 1000ms * n / aPerSecond));
  }
  return places;
}

} // namespace

// Load: a hundred callers are refused at once.
TEST_CASE("refused callers return at the pace that a group grants")
{
  auto places = Granting(100);
  std::vector<Duration> waits;
  for (std::uint64_t n = 0; n < 100; ++n) {
    waits.push_back(places.Give(n, 1, 200ms, 12s, At(0s)));
  }
  CHECK(std::ranges::is_sorted(waits));
  CHECK(waits.front() == 200ms);
  const auto inASecond =
    std::ranges::count_if(waits, [](Duration aWait) { return aWait < 1200ms; });
  CHECK(inASecond >= 25);
  CHECK(inASecond <= 37);
  // Nobody is told to wait longer than a part of its time.
  CHECK(waits.back() <= 4s);
}

TEST_CASE("urgent callers get places before less urgent ones")
{
  auto places = Granting(100);
  for (std::uint64_t n = 0; n < 60; ++n) {
    (void)places.Give(n, 2, 200ms, 12s, At(0s));
  }
  const auto urgent = places.Give(100, 0, 200ms, 12s, At(0s));
  const auto other = places.Give(101, 2, 200ms, 12s, At(0s));
  CHECK(urgent == 200ms);
  CHECK(other > 1s);
}

TEST_CASE("a place is kept for its caller, who comes neither early nor late")
{
  struct Row
  {
    Duration mAfter;
    bool mHasPlace;
  };
  for (const Row& row : { Row{ 0ms, false },
                          Row{ 150ms, false },
                          Row{ 350ms, true },
                          Row{ 400ms, true },
                          Row{ 1800ms, true },
                          Row{ 2000ms, false } }) {
    CAPTURE(row.mAfter.count());
    auto places = Granting(100);
    REQUIRE(places.Give(7, 1, 400ms, 12s, At(0s)) == 400ms);
    CHECK_FALSE(places.Take(8, At(row.mAfter)));
    CHECK(places.Take(7, At(row.mAfter)) == row.mHasPlace);
    // A place is used once.
    CHECK_FALSE(places.Take(7, At(row.mAfter) + (row.mHasPlace ? 0ms : 2s)));
  }
}

// Load: callers repeat at once and often, whatever they are told.
TEST_CASE("callers who repeat early gain nothing")
{
  auto places = Granting(100);
  const auto wait = places.Give(7, 1, 400ms, 12s, At(0s));
  for (Duration at = 10ms; at < 300ms; at += 10ms) {
    CHECK_FALSE(places.Take(7, At(at)));
    CHECK(at + places.Give(7, 1, 400ms, 12s, At(at)) >= wait);
  }
  // Nor do others lose by it.
  CHECK(places.Give(9, 1, 400ms, 12s, At(300ms)) <= 450ms);
}

TEST_CASE("places are bounded, and those that were not used make room")
{
  auto places = Granting(100'000);
  for (std::uint64_t n = 0; n < 2 * ReturnPlaces::kMaxPlaces; ++n) {
    (void)places.Give(n, 1, 100ms, 60s, At(0s));
  }
  CHECK(places.size() == ReturnPlaces::kMaxPlaces);
  (void)places.Give(0, 1, 100ms, 60s, At(60s));
  CHECK(places.size() == 1);
}
