#include <bilberrytrail/cache/retention_policy.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace bilberrytrail {

namespace {

// Blocks scored anew with each offer.
constexpr std::size_t kRescoredPerOffer = 8;

} // namespace

bool
RetentionPolicy::Rank::operator<(const Rank& aOther) const noexcept
{
  return std::make_tuple(mScore, aOther.mDepth, mBlock.Value()) <
         std::make_tuple(aOther.mScore, mDepth, aOther.mBlock.Value());
}

RetentionPolicy::RetentionPolicy(const RetentionLimits& aLimits)
{
  mMemory.mCapacity = aLimits.mMemoryBytes;
  mDisk.mCapacity = aLimits.mDiskBytes;
}

std::optional<StoreTier>
RetentionPolicy::TierOf(BlockId aBlock) const
{
  const auto it = mKept.find(aBlock);
  return it == mKept.end() ? std::nullopt : std::optional(it->second.mTier);
}

std::uint64_t
RetentionPolicy::UsedBytes(StoreTier aTier) const
{
  return TierAt(aTier).mUsed;
}

RetentionPolicy::Tier&
RetentionPolicy::TierAt(StoreTier aTier)
{
  return aTier == StoreTier::Memory ? mMemory : mDisk;
}

const RetentionPolicy::Tier&
RetentionPolicy::TierAt(StoreTier aTier) const
{
  return aTier == StoreTier::Memory ? mMemory : mDisk;
}

RetentionPolicy::Rank
RetentionPolicy::RankOf(const Kept& aKept)
{
  return Rank{ aKept.mScore, aKept.mBlock.mDepth, aKept.mBlock.mBlock };
}

void
RetentionPolicy::OnUse(BlockId aBlock)
{
  ++mUses;
  RecordUse(aBlock);
  const auto it = mKept.find(aBlock);
  if (it != mKept.end()) {
    it->second.mLastUse = mUses;
    Rescore(it->second);
  }
}

RetentionDecision
RetentionPolicy::Offer(const RetentionCandidate& aCandidate)
{
  RetentionDecision decision;
  RescoreSome();
  Kept kept;
  kept.mBlock = aCandidate;
  kept.mLastUse = ++mUses;
  kept.mScore = ScoreOf(aCandidate, kept.mLastUse);
  if (mKept.contains(aCandidate.mBlock) || kept.mScore <= 0) {
    return decision;
  }
  const auto bytes = aCandidate.mBytes;
  if (const auto victims = FindVictims(StoreTier::Memory, bytes, kept.mScore)) {
    decision.mAdmit = true;
    Demote(*victims, decision);
    Insert(kept, StoreTier::Memory);
    return decision;
  }
  if (const auto victims = FindVictims(StoreTier::Disk, bytes, kept.mScore)) {
    decision.mAdmit = true;
    decision.mTier = StoreTier::Disk;
    Evict(*victims, decision);
    Insert(kept, StoreTier::Disk);
  }
  return decision;
}

void
RetentionPolicy::OnRemoved(BlockId aBlock)
{
  if (mKept.contains(aBlock)) {
    Remove(aBlock);
  }
}

std::optional<std::vector<BlockId>>
RetentionPolicy::FindVictims(StoreTier aTier,
                             std::uint64_t aBytes,
                             double aScore) const
{
  const auto& tier = TierAt(aTier);
  if (aBytes > tier.mCapacity) {
    return std::nullopt;
  }
  std::vector<BlockId> victims;
  std::uint64_t used = tier.mUsed;
  for (auto it = tier.mRanks.begin(); used + aBytes > tier.mCapacity; ++it) {
    if (ComparesOnAdmission() && it->mScore >= aScore) {
      return std::nullopt;
    }
    victims.push_back(it->mBlock);
    used -= mKept.at(it->mBlock).mBlock.mBytes;
  }
  return victims;
}

void
RetentionPolicy::Demote(const std::vector<BlockId>& aBlocks,
                        RetentionDecision& aDecision)
{
  // The most worth first, so that it finds room before the others.
  for (auto it = aBlocks.rbegin(); it != aBlocks.rend(); ++it) {
    const auto kept = Remove(*it);
    const auto victims =
      FindVictims(StoreTier::Disk, kept.mBlock.mBytes, kept.mScore);
    if (!victims) {
      aDecision.mEvict.push_back(*it);
      continue;
    }
    Evict(*victims, aDecision);
    aDecision.mDemote.push_back(*it);
    Insert(kept, StoreTier::Disk);
  }
}

void
RetentionPolicy::Evict(const std::vector<BlockId>& aBlocks,
                       RetentionDecision& aDecision)
{
  for (const auto block : aBlocks) {
    Remove(block);
    // A block demoted by the same decision is evicted instead.
    std::erase(aDecision.mDemote, block);
    aDecision.mEvict.push_back(block);
  }
}

void
RetentionPolicy::Insert(const Kept& aKept, StoreTier aTier)
{
  auto& tier = TierAt(aTier);
  auto& kept = mKept.insert_or_assign(aKept.mBlock.mBlock, aKept).first->second;
  kept.mTier = aTier;
  kept.mIndex = mOrder.size();
  tier.mUsed += kept.mBlock.mBytes;
  tier.mRanks.insert(RankOf(kept));
  mOrder.push_back(kept.mBlock.mBlock);
}

RetentionPolicy::Kept
RetentionPolicy::Remove(BlockId aBlock)
{
  const auto it = mKept.find(aBlock);
  const auto kept = it->second;
  mKept.erase(it);
  auto& tier = TierAt(kept.mTier);
  tier.mUsed -= kept.mBlock.mBytes;
  tier.mRanks.erase(RankOf(kept));
  const auto last = mOrder.back();
  mOrder.pop_back();
  if (kept.mIndex < mOrder.size()) {
    mOrder[kept.mIndex] = last;
    mKept.at(last).mIndex = kept.mIndex;
  }
  return kept;
}

void
RetentionPolicy::Rescore(Kept& aKept)
{
  auto& ranks = TierAt(aKept.mTier).mRanks;
  ranks.erase(RankOf(aKept));
  aKept.mScore = ScoreOf(aKept.mBlock, aKept.mLastUse);
  ranks.insert(RankOf(aKept));
}

void
RetentionPolicy::RescoreSome()
{
  const auto n = std::min(kRescoredPerOffer, mOrder.size());
  for (std::size_t k = 0; k < n; ++k) {
    mCursor = (mCursor + 1) % mOrder.size();
    Rescore(mKept.at(mOrder[mCursor]));
  }
}

FrequencyRetentionPolicy::FrequencyRetentionPolicy(
  const RetentionLimits& aLimits,
  std::size_t aBlocks)
  : RetentionPolicy(aLimits)
  , mSketch(aBlocks)
{
}

void
FrequencyRetentionPolicy::RecordUse(BlockId aBlock)
{
  mSketch.Add(aBlock);
}

double
FrequencyRetentionPolicy::ScoreOf(const RetentionCandidate& aBlock,
                                  std::uint64_t /*aLastUse*/) const
{
  const auto saved = std::max(aBlock.mRecompute - aBlock.mTransfer, Duration());
  // One more than the estimate: a block is offered because it was computed.
  const double uses = 1.0 + mSketch.Estimate(aBlock.mBlock);
  return uses * static_cast<double>(saved.count()) /
         static_cast<double>(std::max<std::uint64_t>(aBlock.mBytes, 1));
}

void
LruRetentionPolicy::RecordUse(BlockId /*aBlock*/)
{
}

double
LruRetentionPolicy::ScoreOf(const RetentionCandidate& /*aBlock*/,
                            std::uint64_t aLastUse) const
{
  return static_cast<double>(aLastUse);
}

} // namespace bilberrytrail
