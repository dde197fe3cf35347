#include <bilberrytrail/base/random.h>
#include <bilberrytrail/cache/link_budget.h>

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };

LinkLimits
MakeLimits()
{
  LinkLimits limits;
  limits.mBytesPerSecond = 1e6;
  return limits;
}

} // namespace

TEST_CASE("transfers are scheduled one after another at the link's rate")
{
  LinkBudget link(MakeLimits());
  const auto first = link.Reserve(500000, kStart);
  REQUIRE(first);
  CHECK(first->mBeginAt == kStart);
  CHECK(first->mEndAt == kStart + 500ms);
  const auto second = link.Reserve(100000, kStart + 100ms);
  REQUIRE(second);
  CHECK(second->mBeginAt == kStart + 500ms);
  CHECK(link.Backlog(kStart + 100ms) == 500ms);
  CHECK(link.BacklogBytes(kStart + 100ms) == 500000);
  CHECK(link.Backlog(kStart + 10s) == 0s);
}

TEST_CASE("a long backlog refuses prefetches first, then imports")
{
  LinkBudget link(MakeLimits());
  link.OnUsed(link.Reserve(1000000, kStart - 10s)->mNumber, 1000000);
  REQUIRE(link.ReservePrefetch(10, kStart));
  REQUIRE(link.Reserve(2100000, kStart));
  CHECK_FALSE(link.ReservePrefetch(10, kStart));
  CHECK_FALSE(link.Reserve(10, kStart));
  CHECK(link.Reserve(10, kStart + 200ms));
}

TEST_CASE(
  "the link rate and the share of unused bytes stay within their limits")
{
  const auto limits = MakeLimits();
  LinkBudget link(limits);
  Random random(9);
  Instant now = kStart;
  Instant lastEnd = kStart;
  std::vector<std::uint64_t> open;
  int prefetches = 0;
  double bytes = 0;
  for (int n = 0; n < 20000; ++n) {
    now += Duration(static_cast<std::int64_t>(random.Below(2000)));
    const auto size = 1 + random.Below(2000);
    if (const auto reservation = link.Reserve(size, now)) {
      CHECK(reservation->mBeginAt >= lastEnd);
      lastEnd = reservation->mEndAt;
      bytes += static_cast<double>(size);
      link.OnUsed(reservation->mNumber, size);
    }
    if (const auto reservation = link.ReservePrefetch(size, now)) {
      CHECK(reservation->mBeginAt >= lastEnd);
      lastEnd = reservation->mEndAt;
      bytes += static_cast<double>(size);
      open.push_back(reservation->mNumber);
      ++prefetches;
    }
    // Worst case: no prefetch is ever used.
    if (open.size() > 3) {
      link.OnUsed(open.front(), 0);
      open.erase(open.begin());
    }
    CHECK(link.UsedShare() >= 1 - limits.mMaxUnusedShare);
  }
  CHECK(prefetches > 0);
  CHECK(bytes / limits.mBytesPerSecond <=
        static_cast<double>((lastEnd - kStart).count()) / 1e6);
}

TEST_CASE("closing a transfer twice or closing an unknown one has no effect")
{
  LinkBudget link(MakeLimits());
  const auto reservation = link.Reserve(100, kStart);
  link.OnUsed(reservation->mNumber, 100);
  link.OnUsed(reservation->mNumber, 0);
  link.OnCancelled(reservation->mNumber);
  link.OnUsed(99, 0);
  CHECK(link.UsedShare() == 1.0);
}
