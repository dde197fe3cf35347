#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/cache/prompt_directory.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace bilberrytrail {

// A server that could run the request, with fresh estimates.
struct PlanCandidate
{
  ServerId mServer;
  // Time until the server can begin with the request.
  Duration mQueueWait{};
  // Time on the way to the server and back.
  Duration mRoundTrip{};
  double mPrefillTokensPerSecond = 0;
  // Blocks from the start of the prompt that are resident.
  std::uint32_t mResidentBlocks = 0;
  bool mIsDoubtful = false;
  // Blocks from the start that will be resident after mPendingWait, because
  // another request is computing or importing them there.
  std::uint32_t mPendingBlocks = 0;
  Duration mPendingWait{};
};

// A store's link, as its home estimates it.
struct StoreLink
{
  StoreId mStore;
  double mBytesPerSecond = 0;
  std::uint64_t mBacklogBytes = 0;
  // Time to begin a transfer of a block from each tier.
  Duration mMemoryLatency{};
  Duration mDiskLatency{};
  // Rate of the disk tier; the lower of the two rates holds.
  double mDiskBytesPerSecond = 0;
};

// All that a plan is made from.
struct PlanRequest
{
  std::uint32_t mBlocks = 0;
  std::uint32_t mTokensPerBlock = 0;
  std::uint32_t mTailTokens = 0;
  std::vector<PlanCandidate> mCandidates;
  // Stores that hold each block; shorter than mBlocks when none is known.
  std::vector<std::vector<StoreCopy>> mCopies;
  std::vector<StoreLink> mLinks;
};

// One block to import before the request runs.
struct PlannedImport
{
  std::uint32_t mIndex = 0;
  StoreCopy mCopy;
};

// Where a request runs and how it gets its prefix.
struct PrefixPlan
{
  ServerId mServer;
  std::uint32_t mResidentBlocks = 0;
  // Wait for another request's work on the prefix before running.
  bool mWaitsForPending = false;
  std::vector<PlannedImport> mImports;
  std::uint32_t mRecomputeBlocks = 0;
  Duration mTimeToFirstToken{};
};

// Chooses where a request runs and how it gets its prefix.
//
//   LeastTimePlanner planner;
//   const auto plan = planner.Choose(request);
class PrefixPlanner
{
public:
  virtual ~PrefixPlanner() = default;

  // Returns the plan; an empty server when there is no candidate.
  [[nodiscard]] virtual PrefixPlan Choose(const PlanRequest& aRequest) = 0;
};

// Chooses the least estimated time to first token over all candidates and all
// ways to get the prefix: resident blocks, then imports that overlap with the
// queue wait, then recomputation of the rest.
class LeastTimePlanner : public PrefixPlanner
{
public:
  [[nodiscard]] PrefixPlan Choose(const PlanRequest& aRequest) override;
};

// Baseline: takes the candidates in turn and recomputes everything.
class RoundRobinPlanner : public PrefixPlanner
{
public:
  [[nodiscard]] PrefixPlan Choose(const PlanRequest& aRequest) override;

private:
  std::size_t mNext = 0;
};

// Baseline: takes the shortest queue wait and uses what happens to be resident
// there.
class LeastQueuePlanner : public PrefixPlanner
{
public:
  [[nodiscard]] PrefixPlan Choose(const PlanRequest& aRequest) override;
};

// Returns the servers to ask for estimates: the holders of the longest
// prefixes, at most aMaxHolders, and aOthers random other servers.
[[nodiscard]] std::vector<ServerId>
PickCandidates(std::span<const ServerHolding> aHolders,
               std::span<const ServerId> aServers,
               std::size_t aMaxHolders,
               std::size_t aOthers,
               Random& aRandom);

} // namespace bilberrytrail
