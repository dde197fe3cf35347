#include <bilberrytrail/entry/remote_clock.h>

#include <doctest/doctest.h>

#include <optional>
#include <vector>

using namespace bilberrytrail;

namespace {

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

} // namespace

TEST_CASE("responses narrow the difference to another clock")
{
  struct Response
  {
    std::uint64_t mRemoteMs;
    Duration mSentAt;
    Duration mReadAt;
  };
  struct Row
  {
    const char* mName;
    std::vector<Response> mResponses;
    // Time since 5000 ms on the other clock, at 10 s.
    std::optional<Duration> mSince;
  };
  const Row rows[] = {
    { "none", {}, std::nullopt },
    { "the middle of one exchange", { { 5000, 6s, 6100ms } }, 3950ms },
    { "a wait for changes says less than a short call",
      { { 5000, 5s, 7500ms }, { 6000, 7s, 7020ms } },
      3990ms },
    { "an answer that is read late says less",
      { { 6000, 7s, 7020ms }, { 7000, 8s, 9s } },
      3990ms },
    { "another clock replaces the earlier one",
      { { 5000, 6s, 6s }, { 5000, 9s, 9s } },
      1s },
    { "a time to come counts as now", { { 5000, 11s, 11s } }, 0s }
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    RemoteClock clock;
    for (const auto& it : row.mResponses) {
      clock.Observe(it.mRemoteMs, At(it.mSentAt), At(it.mReadAt));
    }
    CHECK(clock.Since(5000, At(10s)) == row.mSince);
  }
}
