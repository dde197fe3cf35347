#include <bilberrytrail/base/random.h>
#include <bilberrytrail/cache/retention_policy.h>

#include <doctest/doctest.h>

#include <set>

using namespace bilberrytrail;

namespace {

RetentionCandidate
MakeCandidate(std::uint64_t aBlock,
              Duration aRecompute = 100ms,
              std::uint32_t aDepth = 0)
{
  return { BlockId(aBlock), 1, aRecompute, 10ms, aDepth };
}

// Records a use of the block and offers the block when it is not retained.
// Returns true for a hit.
bool
Request(RetentionPolicy& aPolicy, std::uint64_t aBlock)
{
  const bool isHit = aPolicy.TierOf(BlockId(aBlock)).has_value();
  aPolicy.OnUse(BlockId(aBlock));
  if (!isHit) {
    (void)aPolicy.Offer(MakeCandidate(aBlock));
  }
  return isHit;
}

// Returns the hits of a load that mixes recurring prompts with documents that
// are read once.
int
CountHits(RetentionPolicy& aPolicy)
{
  Random random(21);
  int hits = 0;
  std::uint64_t once = 1000000;
  for (int n = 0; n < 50000; ++n) {
    const double u = random.Unit();
    const auto returning = static_cast<std::uint64_t>(u * u * u * 2000);
    const bool isOnce = random.Below(2) == 0;
    hits += Request(aPolicy, isOnce ? ++once : returning) ? 1 : 0;
  }
  return hits;
}

} // namespace

TEST_CASE("a store fills memory, then disk, then evicts the lowest score")
{
  FrequencyRetentionPolicy policy({ 2, 1 }, 100);
  CHECK(policy.Offer(MakeCandidate(1)).mTier == StoreTier::Memory);
  CHECK(policy.Offer(MakeCandidate(2)).mTier == StoreTier::Memory);
  const auto third = policy.Offer(MakeCandidate(3));
  CHECK(third.mAdmit);
  CHECK(third.mTier == StoreTier::Disk);
  CHECK_FALSE(policy.Offer(MakeCandidate(4)).mAdmit);
  policy.OnUse(BlockId(5));
  policy.OnUse(BlockId(5));
  policy.OnUse(BlockId(1));
  const auto hot = policy.Offer(MakeCandidate(5));
  CHECK(hot.mTier == StoreTier::Memory);
  CHECK(hot.mDemote.size() + hot.mEvict.size() == 1);
  CHECK(policy.TierOf(BlockId(5)) == StoreTier::Memory);
  CHECK(policy.TierOf(BlockId(1)) == StoreTier::Memory);
  CHECK(policy.Blocks() == 3);
}

TEST_CASE(
  "a block is refused when its transfer saves no time over recomputing it")
{
  FrequencyRetentionPolicy policy({ 10, 10 }, 100);
  CHECK_FALSE(policy.Offer(MakeCandidate(1, 10ms)).mAdmit);
  CHECK_FALSE(policy.Offer(MakeCandidate(1, 5ms)).mAdmit);
  CHECK(policy.Offer(MakeCandidate(1, 11ms)).mAdmit);
  CHECK_FALSE(policy.Offer(MakeCandidate(1, 11ms)).mAdmit);
  policy.OnRemoved(BlockId(1));
  CHECK(policy.Offer(MakeCandidate(1, 11ms)).mAdmit);
}

TEST_CASE("with equal scores the deepest block of a prompt is evicted first")
{
  FrequencyRetentionPolicy policy({ 3, 0 }, 100);
  for (std::uint64_t n = 0; n < 3; ++n) {
    (void)policy.Offer(
      MakeCandidate(10 + n, 100ms, static_cast<std::uint32_t>(n)));
  }
  const auto decision = policy.Offer(MakeCandidate(20, 1s));
  REQUIRE(decision.mEvict.size() == 1);
  CHECK(decision.mEvict.front() == BlockId(12));
}

TEST_CASE("the LRU baseline evicts the least recently used block")
{
  LruRetentionPolicy policy({ 2, 0 });
  (void)policy.Offer(MakeCandidate(1));
  (void)policy.Offer(MakeCandidate(2));
  policy.OnUse(BlockId(1));
  const auto decision = policy.Offer(MakeCandidate(3));
  REQUIRE(decision.mEvict.size() == 1);
  CHECK(decision.mEvict.front() == BlockId(2));
}

TEST_CASE("decisions never exceed a tier's capacity or evict a block twice")
{
  constexpr std::uint64_t kMemoryBytes = 50;
  constexpr std::uint64_t kDiskBytes = 80;
  FrequencyRetentionPolicy frequency({ kMemoryBytes, kDiskBytes }, 100);
  LruRetentionPolicy lru({ kMemoryBytes, kDiskBytes });
  for (RetentionPolicy* policy : { static_cast<RetentionPolicy*>(&frequency),
                                   static_cast<RetentionPolicy*>(&lru) }) {
    Random random(4);
    std::set<std::uint64_t> held;
    for (int n = 0; n < 20000; ++n) {
      auto candidate = MakeCandidate(random.Below(500));
      candidate.mBytes = 1 + candidate.mBlock.Value() % 9;
      policy->OnUse(BlockId(random.Below(500)));
      const auto decision = policy->Offer(candidate);
      for (const auto block : decision.mEvict) {
        CHECK(held.erase(block.Value()) == 1);
        CHECK_FALSE(policy->TierOf(block));
      }
      for (const auto block : decision.mDemote) {
        CHECK(policy->TierOf(block) == StoreTier::Disk);
      }
      if (decision.mAdmit) {
        CHECK(held.insert(candidate.mBlock.Value()).second);
        CHECK(policy->TierOf(candidate.mBlock) == decision.mTier);
      }
      CHECK(policy->UsedBytes(StoreTier::Memory) <= kMemoryBytes);
      CHECK(policy->UsedBytes(StoreTier::Disk) <= kDiskBytes);
      CHECK(policy->Blocks() == held.size());
    }
  }
}

TEST_CASE("the frequency policy has more hits than LRU under one-off reads")
{
  constexpr RetentionLimits kLimits{ 100, 200 };
  FrequencyRetentionPolicy frequency(kLimits, 3000);
  LruRetentionPolicy lru(kLimits);
  const auto withFrequency = CountHits(frequency);
  const auto withLru = CountHits(lru);
  MESSAGE(
    "hits with the frequency policy: ", withFrequency, ", with LRU: ", withLru);
  CHECK(withFrequency > withLru);
}
