#pragma once

#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/cache/frequency_sketch.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// Capacity of a store, in bytes.
struct RetentionLimits
{
  std::uint64_t mMemoryBytes = 0;
  std::uint64_t mDiskBytes = 0;
};

// A block that could be retained, with the costs that determine its value.
struct RetentionCandidate
{
  BlockId mBlock;
  std::uint64_t mBytes = 0;
  // Time to recompute the block.
  Duration mRecompute{};
  // Time that the store's link takes to deliver the block.
  Duration mTransfer{};
  // Position in its prompt; a block is useless without the blocks before it.
  std::uint32_t mDepth = 0;
};

// Decision about an offered block.
struct RetentionDecision
{
  bool mAdmit = false;
  StoreTier mTier = StoreTier::Memory;
  // Blocks that move from memory to disk.
  std::vector<BlockId> mDemote;
  // Blocks to free first.
  std::vector<BlockId> mEvict;
};

// Decides which blocks a store retains and in which tier: memory first, then
// disk. Offer updates the policy's state as if the decision had been carried
// out; OnRemoved corrects the state when it was not.
//
//   FrequencyRetentionPolicy policy(limits, blocks);
//   policy.OnUse(block);
//   const auto decision = policy.Offer(candidate);
class RetentionPolicy
{
public:
  explicit RetentionPolicy(const RetentionLimits& aLimits);
  virtual ~RetentionPolicy() = default;
  RetentionPolicy(const RetentionPolicy&) = delete;
  RetentionPolicy& operator=(const RetentionPolicy&) = delete;

  [[nodiscard]] std::optional<StoreTier> TierOf(BlockId aBlock) const;
  [[nodiscard]] std::size_t Blocks() const noexcept { return mEntries.size(); }
  [[nodiscard]] std::uint64_t UsedBytes(StoreTier aTier) const;

  // Records that a request needed the block, whether it is retained or not.
  void OnUse(BlockId aBlock);
  // Decides whether to retain a block that has been computed and could be
  // exported.
  [[nodiscard]] RetentionDecision Offer(const RetentionCandidate& aCandidate);
  // Removes a block that the store does not hold.
  void OnRemoved(BlockId aBlock);

protected:
  // Records a use; called before the block's score is recomputed.
  virtual void RecordUse(BlockId aBlock) = 0;
  // Returns the current score of a block; the lowest score is evicted first.
  // aLastUse is a counter that grows with each use of any block.
  [[nodiscard]] virtual double ScoreOf(const RetentionCandidate& aBlock,
                                       std::uint64_t aLastUse) const = 0;
  // Returns true when a block is admitted only if its score exceeds those of
  // the blocks that it displaces.
  [[nodiscard]] virtual bool ComparesOnAdmission() const = 0;

private:
  // Eviction order. With equal scores the deepest block of a prompt is evicted
  // first.
  struct Rank
  {
    double mScore = 0;
    std::uint32_t mDepth = 0;
    BlockId mBlock;

    bool operator<(const Rank& aOther) const noexcept;
  };
  struct Entry
  {
    RetentionCandidate mBlock;
    StoreTier mTier = StoreTier::Memory;
    double mScore = 0;
    std::uint64_t mLastUse = 0;
    // Index in mRescoreOrder.
    std::size_t mIndex = 0;
  };
  struct Tier
  {
    std::uint64_t mCapacity = 0;
    std::uint64_t mUsed = 0;
    std::set<Rank> mRanks;
  };

  [[nodiscard]] Tier& TierAt(StoreTier aTier);
  [[nodiscard]] static Rank RankOf(const Entry& aEntry);
  // Returns the blocks to evict to make room in a tier, lowest score first;
  // nullopt when the block does not fit or the policy refuses the displacement.
  [[nodiscard]] std::optional<std::vector<BlockId>>
  FindVictims(StoreTier aTier, std::uint64_t aBytes, double aScore) const;
  // Moves blocks from memory to disk, evicting from disk what does not fit.
  void Demote(const std::vector<BlockId>& aBlocks,
              RetentionDecision& aDecision);
  void Evict(const std::vector<BlockId>& aBlocks, RetentionDecision& aDecision);
  void Insert(const Entry& aEntry, StoreTier aTier);
  Entry Remove(BlockId aBlock);
  void Rescore(Entry& aEntry);
  [[nodiscard]] const Tier& TierAt(StoreTier aTier) const;
  // Recomputes the scores of the next few blocks, since scores decay over time
  // without any event for the block.
  void RescoreNextBlocks();

  Tier mMemory;
  Tier mDisk;
  std::unordered_map<BlockId, Entry> mEntries;
  // All retained blocks, in the order in which they are rescored.
  std::vector<BlockId> mRescoreOrder;
  std::size_t mRescoreCursor = 0;
  std::uint64_t mUses = 0;
};

// Retains the blocks that save the most recompute time per byte. The score is
// the use count of a frequency sketch, times the recompute time minus the
// transfer time, divided by the size in bytes.
class FrequencyRetentionPolicy : public RetentionPolicy
{
public:
  // aBlocks is the approximate number of blocks that the store can hold.
  FrequencyRetentionPolicy(const RetentionLimits& aLimits, std::size_t aBlocks);

protected:
  void RecordUse(BlockId aBlock) override;
  [[nodiscard]] double ScoreOf(const RetentionCandidate& aBlock,
                               std::uint64_t aLastUse) const override;
  [[nodiscard]] bool ComparesOnAdmission() const override { return true; }

private:
  FrequencySketch mSketch;
};

// Baseline: admits every new block and evicts the least recently used.
class LruRetentionPolicy : public RetentionPolicy
{
public:
  using RetentionPolicy::RetentionPolicy;

protected:
  void RecordUse(BlockId aBlock) override;
  [[nodiscard]] double ScoreOf(const RetentionCandidate& aBlock,
                               std::uint64_t aLastUse) const override;
  [[nodiscard]] bool ComparesOnAdmission() const override { return false; }
};

} // namespace bilberrytrail
