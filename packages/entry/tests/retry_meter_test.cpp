#include <bilberrytrail/entry/retry_meter.h>

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;

namespace {

const ServiceId kService("s");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

RetryMeterSettings
Settings()
{
  return { 0.2, 50, 10s, 0.8 };
}

} // namespace

// Each daemon makes every retry that it may, and all daemons restart in the
// middle of a window.
TEST_CASE("all daemons together stay within the allowance of each window")
{
  constexpr std::size_t kDaemons = 8;
  constexpr int kRequestsPerSecond = 20;
  std::vector<RetryMeter> meters(kDaemons, RetryMeter(Settings(), At(0s)));
  std::vector<std::pair<int, int>> seconds;
  for (int n = 0; n < 60; ++n) {
    if (n == 33) {
      meters.assign(kDaemons, RetryMeter(Settings(), At(33s)));
    }
    seconds.emplace_back(0, 0);
    for (auto& it : meters) {
      const auto now = At(std::chrono::seconds(n));
      it.SetDaemons(kDaemons);
      for (int k = 0; k < kRequestsPerSecond; ++k) {
        it.AddRequest(kService, now);
        ++seconds.back().first;
        while (it.TryRetry(kService, now)) {
          ++seconds.back().second;
        }
      }
    }
    int requests = 0;
    int retries = 0;
    for (int k = std::max(0, n - 9); k <= n; ++k) {
      requests += seconds[static_cast<std::size_t>(k)].first;
      retries += seconds[static_cast<std::size_t>(k)].second;
    }
    CAPTURE(n);
    CHECK(retries <= 0.2 * requests + 50);
  }
}

TEST_CASE("the slack grows over the first window and is shared by the daemons")
{
  RetryMeter meter(Settings(), At(0s));
  meter.SetDaemons(10);
  CHECK(meter.Allowance(kService, At(0s)) == doctest::Approx(0));
  CHECK(meter.Allowance(kService, At(5s)) == doctest::Approx(2));
  CHECK(meter.Allowance(kService, At(10s)) == doctest::Approx(4));
  CHECK(meter.Allowance(kService, At(60s)) == doctest::Approx(4));
  CHECK(meter.TryRetry(kService, At(60s)));
  CHECK(meter.Allowance(kService, At(60s)) == doctest::Approx(3));
  CHECK(meter.Allowance(ServiceId("other"), At(60s)) == doctest::Approx(4));
  CHECK(meter.Allowance(kService, At(70s)) == doctest::Approx(4));
}
