#include <bilberrytrail/platform/departure_notices.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr Duration kHold = 30s;

VmEntry
Vm(std::uint16_t aPort, bool aIsLeaving)
{
  VmEntry vm;
  vm.mName = "engine-1";
  vm.mEndpoint = { "10.0.0.1", aPort };
  vm.mLeaving = aIsLeaving;
  return vm;
}

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

} // namespace

TEST_CASE("a word holds against lists that lag, for its time")
{
  DepartureNotices words(kHold);
  CHECK(words.Record({ "engine-1", Vm(1, false).mEndpoint, kHold }, At(0s)));
  CHECK_FALSE(
    words.Record({ "engine-1", Vm(1, false).mEndpoint, kHold }, At(0s)));
  for (Duration now = 0s; now < kHold; now += 1s) {
    words.OnList({ Vm(1, false) }, At(now));
    CHECK_FALSE(words.Expire(At(now)));
    CHECK(words.Has(Vm(1, false)));
  }
  CHECK(words.Expire(At(kHold)));
  CHECK_FALSE(words.Has(Vm(1, false)));
}

TEST_CASE("a VM that has been replaced is free at once")
{
  DepartureNotices words(kHold);
  words.OnList({ Vm(1, true) }, At(0s));
  CHECK(words.Has(Vm(1, false)));
  CHECK_FALSE(words.Has(Vm(2, false)));
  words.OnList({ Vm(2, false) }, At(1s));
  CHECK_FALSE(words.Has(Vm(2, false)));
  CHECK(words.Active(At(1s)).empty());
}

TEST_CASE("words that go round between daemons end at their first time")
{
  DepartureNotices first(kHold);
  DepartureNotices second(kHold);
  first.Record({ "engine-1", Vm(1, false).mEndpoint, 10 * kHold }, At(0s));
  for (Duration now = 0s; now < 2 * kHold; now += 1s) {
    for (const auto& it : first.Active(At(now))) {
      second.Record(it, At(now));
    }
    for (const auto& it : second.Active(At(now))) {
      first.Record(it, At(now));
    }
    first.Expire(At(now));
    second.Expire(At(now));
    CHECK(first.Has(Vm(1, false)) == (now < kHold));
    CHECK(second.Has(Vm(1, false)) == (now < kHold));
  }
}
