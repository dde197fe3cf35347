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

// Space of a store, in bytes.
struct RetentionLimits
{
  std::uint64_t mMemoryBytes = 0;
  std::uint64_t mDiskBytes = 0;
};

// A block that could be kept, with what keeping it is worth.
struct RetentionCandidate
{
  BlockId mBlock;
  std::uint64_t mBytes = 0;
  // Time to compute the block anew.
  Duration mRecompute{};
  // Time that the store's link takes to deliver the block.
  Duration mTransfer{};
  // Position in its prompt; a block is of no use without those before it.
  std::uint32_t mDepth = 0;
};

// What to do about an offered block.
struct RetentionDecision
{
  bool mAdmit = false;
  StoreTier mTier = StoreTier::Memory;
  // Blocks that move from memory to disk.
  std::vector<BlockId> mDemote;
  // Blocks to free first.
  std::vector<BlockId> mEvict;
};

// Decides which blocks a store keeps, and in which tier: memory first, disk
// behind it. Offer changes the policy's own books as if the decision had been
// carried out; OnRemoved corrects them when it was not.
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
  [[nodiscard]] std::size_t Blocks() const noexcept { return mKept.size(); }
  [[nodiscard]] std::uint64_t UsedBytes(StoreTier aTier) const;

  // A request needed the block, whether it is kept or not.
  void OnUse(BlockId aBlock);
  // Decides about a block that has been computed and could be exported.
  [[nodiscard]] RetentionDecision Offer(const RetentionCandidate& aCandidate);
  // The store does not hold the block.
  void OnRemoved(BlockId aBlock);

protected:
  // Notes a use before scores are computed again.
  virtual void RecordUse(BlockId aBlock) = 0;
  // Returns the present worth of a block; the lowest is evicted first. aLastUse
  // counts up with each use of any block.
  [[nodiscard]] virtual double ScoreOf(const RetentionCandidate& aBlock,
                                       std::uint64_t aLastUse) const = 0;
  // Returns true when a block must be worth more than those it displaces.
  [[nodiscard]] virtual bool ComparesOnAdmission() const = 0;

private:
  // Order of eviction; of equal worth the deepest block of a prompt goes
  // first.
  struct Rank
  {
    double mScore = 0;
    std::uint32_t mDepth = 0;
    BlockId mBlock;

    bool operator<(const Rank& aOther) const noexcept;
  };
  struct Kept
  {
    RetentionCandidate mBlock;
    StoreTier mTier = StoreTier::Memory;
    double mScore = 0;
    std::uint64_t mLastUse = 0;
    // Place in mOrder.
    std::size_t mIndex = 0;
  };
  struct Tier
  {
    std::uint64_t mCapacity = 0;
    std::uint64_t mUsed = 0;
    std::set<Rank> mRanks;
  };

  [[nodiscard]] Tier& TierAt(StoreTier aTier);
  [[nodiscard]] static Rank RankOf(const Kept& aKept);
  // Returns the blocks that make room in a tier, the least worth first;
  // nothing when the candidate is worth less than one of them.
  [[nodiscard]] std::optional<std::vector<BlockId>>
  FindVictims(StoreTier aTier, std::uint64_t aBytes, double aScore) const;
  // Moves blocks from memory to disk, evicting from disk what does not fit.
  void Demote(const std::vector<BlockId>& aBlocks,
              RetentionDecision& aDecision);
  void Evict(const std::vector<BlockId>& aBlocks, RetentionDecision& aDecision);
  void Insert(const Kept& aKept, StoreTier aTier);
  Kept Remove(BlockId aBlock);
  void Rescore(Kept& aKept);
  [[nodiscard]] const Tier& TierAt(StoreTier aTier) const;
  // Scores some blocks anew, since worth decays without any event.
  void RescoreSome();

  Tier mMemory;
  Tier mDisk;
  std::unordered_map<BlockId, Kept> mKept;
  // All kept blocks, for scoring them in turn.
  std::vector<BlockId> mOrder;
  std::size_t mCursor = 0;
  std::uint64_t mUses = 0;
};

// Keeps what saves the most recompute time per byte: uses by a frequency
// sketch, times the recompute time less the transfer time, by bytes.
class FrequencyRetentionPolicy : public RetentionPolicy
{
public:
  // aBlocks is about how many blocks the store can hold.
  FrequencyRetentionPolicy(const RetentionLimits& aLimits, std::size_t aBlocks);

protected:
  void RecordUse(BlockId aBlock) override;
  [[nodiscard]] double ScoreOf(const RetentionCandidate& aBlock,
                               std::uint64_t aLastUse) const override;
  [[nodiscard]] bool ComparesOnAdmission() const override { return true; }

private:
  FrequencySketch mSketch;
};

// Baseline: keeps every new block and evicts the least recently used.
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
