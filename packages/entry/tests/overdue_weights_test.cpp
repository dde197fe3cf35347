#include <bilberrytrail/entry/overdue_weights.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const ModelId kModel("m");
constexpr Duration kWithin = 15s;

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

std::vector<ServerRecord>
Servers(std::size_t aCount)
{
  std::vector<ServerRecord> servers(aCount);
  for (std::size_t n = 0; n < aCount; ++n) {
    servers[n].mId = ServerId("s" + std::to_string(n));
    servers[n].mModels = { { kModel, 1 } };
  }
  return servers;
}

} // namespace

TEST_CASE("servers with old weights are found once, after the deadline")
{
  auto servers = Servers(3);
  servers[1].mIsLeaving = true;
  servers[2].mModels = { { kModel, 2 } };
  WeightHistory weights;
  (void)weights.AddVersion(kModel, 1, At(-100s));
  (void)weights.AddVersion(kModel, 2, At(0s));
  OverdueWeights overdue;
  CHECK(overdue.Next(servers, weights, kWithin, At(kWithin - 1ms)).empty());
  const auto found = overdue.Next(servers, weights, kWithin, At(kWithin + 1s));
  REQUIRE(found.size() == 1);
  CHECK(found[0].mServer == servers[0].mId);
  CHECK(found[0].mVersion == 1);
  CHECK(found[0].mNewest == 2);
  CHECK(found[0].mLate == 1s);
  CHECK(overdue.Next(servers, weights, kWithin, At(kWithin + 2s)).empty());
  (void)weights.AddVersion(kModel, 3, At(kWithin + 3s));
  CHECK(overdue.Next(servers, weights, kWithin, At(kWithin + 4s)).size() == 1);
  CHECK(overdue.Next(servers, weights, kWithin, At(kWithin + 5s)).empty());
}

TEST_CASE("of many overdue servers a few are found at once")
{
  const auto servers = Servers(2 * OverdueWeights::kMaxAtOnce + 1);
  WeightHistory weights;
  (void)weights.AddVersion(kModel, 2, At(0s));
  OverdueWeights overdue;
  for (const std::size_t count : { OverdueWeights::kMaxAtOnce,
                                   OverdueWeights::kMaxAtOnce,
                                   std::size_t{ 1 },
                                   std::size_t{ 0 } }) {
    CHECK(overdue.Next(servers, weights, kWithin, At(kWithin)).size() == count);
  }
}
