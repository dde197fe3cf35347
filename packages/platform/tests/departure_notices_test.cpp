#include <bilberrytrail/platform/departure_notices.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr Duration kRetention = 30s;

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

TEST_CASE("a notice is kept until it expires although the list lags")
{
  DepartureNotices notices(kRetention);
  CHECK(
    notices.Record({ "engine-1", Vm(1, false).mEndpoint, kRetention }, At(0s)));
  CHECK_FALSE(
    notices.Record({ "engine-1", Vm(1, false).mEndpoint, kRetention }, At(0s)));
  for (Duration now = 0s; now < kRetention; now += 1s) {
    notices.OnList({ Vm(1, false) }, At(now));
    CHECK_FALSE(notices.Expire(At(now)));
    CHECK(notices.Has(Vm(1, false)));
  }
  CHECK(notices.Expire(At(kRetention)));
  CHECK_FALSE(notices.Has(Vm(1, false)));
}

TEST_CASE("a notice does not apply to a VM that replaced the leaving one")
{
  DepartureNotices notices(kRetention);
  notices.OnList({ Vm(1, true) }, At(0s));
  CHECK(notices.Has(Vm(1, false)));
  CHECK_FALSE(notices.Has(Vm(2, false)));
  notices.OnList({ Vm(2, false) }, At(1s));
  CHECK_FALSE(notices.Has(Vm(2, false)));
  CHECK(notices.Active(At(1s)).empty());
}

TEST_CASE("a notice that daemons pass to each other is not prolonged")
{
  DepartureNotices first(kRetention);
  DepartureNotices second(kRetention);
  first.Record({ "engine-1", Vm(1, false).mEndpoint, 10 * kRetention }, At(0s));
  for (Duration now = 0s; now < 2 * kRetention; now += 1s) {
    for (const auto& it : first.Active(At(now))) {
      second.Record(it, At(now));
    }
    for (const auto& it : second.Active(At(now))) {
      first.Record(it, At(now));
    }
    first.Expire(At(now));
    second.Expire(At(now));
    CHECK(first.Has(Vm(1, false)) == (now < kRetention));
    CHECK(second.Has(Vm(1, false)) == (now < kRetention));
  }
}
