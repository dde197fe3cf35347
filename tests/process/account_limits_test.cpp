#include "first_release.h"

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

using namespace bilberrytrail;

namespace {

constexpr double kRequestsPerSecond = 40;

std::string
LimitedNote()
{
  std::string note = SampleNote("brotlag", 0, "v1", 1);
  const std::string generous = "requests_per_second = 1000";
  for (auto at = note.find(generous); at != std::string::npos;
       at = note.find(generous)) {
    note.replace(at, generous.size(), "requests_per_second = 40");
  }
  return note;
}

} // namespace

TEST_CASE("an account gets its rate over all daemons, and is told when to come "
          "back")
{
  SiteShape shape;
  shape.mEngines = 1;
  shape.mStores = false;
  Site site(shape);
  site.Start();
  ApplyFirst(site, LimitedNote());

  constexpr Duration kWarmUp = 6s;
  constexpr Duration kMeasured = 6s;
  std::atomic<int> admitted = 0;
  std::atomic<int> refused = 0;
  std::atomic<int> other = 0;
  std::atomic<int> badRefusals = 0;
  const auto begin = MonotonicNow() + kWarmUp;
  const auto end = begin + kMeasured;
  std::vector<std::thread> threads;
  for (std::size_t n = 0; n < site.Daemons().size(); ++n) {
    threads.emplace_back([&, n] {
      while (MonotonicNow() < end) {
        const auto answer =
          site.Call(site.Daemons()[n].mCallers,
                    { "GET",
                      "/v1/products/brotlag/services/orders/stock",
                      { { "Authorization", "Bearer token-small" } },
                      {} });
        if (answer.mStatus == 429) {
          const auto problem = ParseJson(answer.mBody);
          const bool isGood =
            problem && problem.value().value("disposition", "") == "not_run" &&
            !FindHeader(answer.mHeaders, "Retry-After").empty();
          badRefusals += isGood ? 0 : 1;
        }
        if (MonotonicNow() >= begin) {
          auto& count = answer.mStatus == 200   ? admitted
                        : answer.mStatus == 429 ? refused
                                                : other;
          ++count;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const double seconds = ToMillis(kMeasured) / 1000;
  MESSAGE("admitted " << admitted << ", refused " << refused);
  CHECK(other == 0);
  CHECK(badRefusals == 0);
  CHECK(refused > 0);
  // One second of rate may have been saved up.
  CHECK(admitted <= kRequestsPerSecond * (seconds + 1));
  CHECK(admitted >= kRequestsPerSecond * seconds / 2);
}
