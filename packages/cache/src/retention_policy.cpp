#include <bilberrytrail/cache/retention_policy.h>

#include <algorithm>
#include <limits>
#include <tuple>

namespace bilberrytrail {

namespace {

// Blocks rescored at each offer.
constexpr std::size_t kRescoredBlocksPerOffer = 8;

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
  const auto it = mEntries.find(aBlock);
  return it == mEntries.end() ? std::nullopt : std::optional(it->second.mTier);
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
RetentionPolicy::RankOf(const Entry& aEntry)
{
  return Rank{ aEntry.mScore, aEntry.mBlock.mDepth, aEntry.mBlock.mBlock };
}

void
RetentionPolicy::OnUse(BlockId aBlock)
{
  ++mUses;
  RecordUse(aBlock);
  const auto it = mEntries.find(aBlock);
  if (it != mEntries.end()) {
    it->second.mLastUse = mUses;
    Rescore(it->second);
  }
}

RetentionDecision
RetentionPolicy::Offer(const RetentionCandidate& aCandidate)
{
  RetentionDecision decision;
  RescoreNextBlocks();
  Entry entry;
  entry.mBlock = aCandidate;
  entry.mLastUse = ++mUses;
  entry.mScore = ScoreOf(aCandidate, entry.mLastUse);
  if (mEntries.contains(aCandidate.mBlock) || entry.mScore <= 0) {
    return decision;
  }
  const auto bytes = aCandidate.mBytes;
  if (const auto victims =
        FindVictims(StoreTier::Memory, bytes, entry.mScore)) {
    decision.mAdmit = true;
    Demote(*victims, decision);
    Insert(entry, StoreTier::Memory);
    return decision;
  }
  if (const auto victims = FindVictims(StoreTier::Disk, bytes, entry.mScore)) {
    decision.mAdmit = true;
    decision.mTier = StoreTier::Disk;
    Evict(*victims, decision);
    Insert(entry, StoreTier::Disk);
  }
  return decision;
}

void
RetentionPolicy::OnRemoved(BlockId aBlock)
{
  if (mEntries.contains(aBlock)) {
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
    used -= mEntries.at(it->mBlock).mBlock.mBytes;
  }
  return victims;
}

void
RetentionPolicy::Demote(const std::vector<BlockId>& aBlocks,
                        RetentionDecision& aDecision)
{
  // Highest score first, so that it gets the free disk space before the others.
  for (auto it = aBlocks.rbegin(); it != aBlocks.rend(); ++it) {
    const auto entry = Remove(*it);
    const auto victims =
      FindVictims(StoreTier::Disk, entry.mBlock.mBytes, entry.mScore);
    if (!victims) {
      aDecision.mEvict.push_back(*it);
      continue;
    }
    Evict(*victims, aDecision);
    aDecision.mDemote.push_back(*it);
    Insert(entry, StoreTier::Disk);
  }
}

void
RetentionPolicy::Evict(const std::vector<BlockId>& aBlocks,
                       RetentionDecision& aDecision)
{
  for (const auto block : aBlocks) {
    Remove(block);
    // A block that this decision demoted before is evicted instead.
    std::erase(aDecision.mDemote, block);
    aDecision.mEvict.push_back(block);
  }
}

void
RetentionPolicy::Insert(const Entry& aEntry, StoreTier aTier)
{
  auto& tier = TierAt(aTier);
  auto& entry =
    mEntries.insert_or_assign(aEntry.mBlock.mBlock, aEntry).first->second;
  entry.mTier = aTier;
  entry.mIndex = mRescoreOrder.size();
  tier.mUsed += entry.mBlock.mBytes;
  tier.mRanks.insert(RankOf(entry));
  mRescoreOrder.push_back(entry.mBlock.mBlock);
}

RetentionPolicy::Entry
RetentionPolicy::Remove(BlockId aBlock)
{
  const auto it = mEntries.find(aBlock);
  const auto entry = it->second;
  mEntries.erase(it);
  auto& tier = TierAt(entry.mTier);
  tier.mUsed -= entry.mBlock.mBytes;
  tier.mRanks.erase(RankOf(entry));
  const auto last = mRescoreOrder.back();
  mRescoreOrder.pop_back();
  if (entry.mIndex < mRescoreOrder.size()) {
    mRescoreOrder[entry.mIndex] = last;
    mEntries.at(last).mIndex = entry.mIndex;
  }
  return entry;
}

void
RetentionPolicy::Rescore(Entry& aEntry)
{
  auto& ranks = TierAt(aEntry.mTier).mRanks;
  ranks.erase(RankOf(aEntry));
  aEntry.mScore = ScoreOf(aEntry.mBlock, aEntry.mLastUse);
  ranks.insert(RankOf(aEntry));
}

void
RetentionPolicy::RescoreNextBlocks()
{
  const auto n = std::min(kRescoredBlocksPerOffer, mRescoreOrder.size());
  for (std::size_t k = 0; k < n; ++k) {
    mRescoreCursor = (mRescoreCursor + 1) % mRescoreOrder.size();
    Rescore(mEntries.at(mRescoreOrder[mRescoreCursor]));
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
  // Add one to the estimate: an offered block was computed, and so used, once.
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
