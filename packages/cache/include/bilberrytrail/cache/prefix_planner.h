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

// A server that could run the request, with its current estimates.
struct PlanCandidate
{
  ServerId mServer;
  // Time until the server can start the request.
  Duration mQueueWait{};
  // Network round-trip time to the server.
  Duration mRoundTrip{};
  double mPrefillTokensPerSecond = 0;
  // Blocks from the start of the prompt that are resident.
  std::uint32_t mResidentBlocks = 0;
  // The resident blocks may have been evicted, see ServerHolding.
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
  // Latency before the transfer of a block from each tier starts.
  Duration mMemoryLatency{};
  Duration mDiskLatency{};
  // Rate of the disk tier, 0 if unknown; disk transfers run at the lower of
  // this and mBytesPerSecond.
  double mDiskBytesPerSecond = 0;
};

// Input of the planner.
struct PlanRequest
{
  std::uint32_t mBlocks = 0;
  std::uint32_t mTokensPerBlock = 0;
  std::uint32_t mTailTokens = 0;
  std::vector<PlanCandidate> mCandidates;
  // Copies of each block in stores. Blocks after the end of the list have no
  // known copy.
  std::vector<std::vector<StoreCopy>> mCopies;
  std::vector<StoreLink> mLinks;
};

// One block to import before the request runs.
struct PlannedImport
{
  std::uint32_t mIndex = 0;
  StoreCopy mCopy;
};

// The server that runs a request, and how the request gets its prefix.
struct PrefixPlan
{
  ServerId mServer;
  std::uint32_t mResidentBlocks = 0;
  // The request waits for another request's work on the prefix before it runs.
  bool mWaitsForPending = false;
  std::vector<PlannedImport> mImports;
  std::uint32_t mRecomputeBlocks = 0;
  Duration mTimeToFirstToken{};
};

// Chooses the server that runs a request and how the request gets its prefix.
//
//   LeastTimePlanner planner;
//   const auto plan = planner.Choose(request);
class PrefixPlanner
{
public:
  virtual ~PrefixPlanner() = default;

  // Returns the plan; its mServer is empty when there is no candidate.
  [[nodiscard]] virtual PrefixPlan Choose(const PlanRequest& aRequest) = 0;
};

// Minimizes the estimated time to first token over all candidates and all ways
// to get the prefix: resident blocks, then imports that overlap with the queue
// wait, then recomputation of the rest. For a candidate with more pending than
// resident blocks, only waiting for the pending blocks is considered.
class LeastTimePlanner : public PrefixPlanner
{
public:
  [[nodiscard]] PrefixPlan Choose(const PlanRequest& aRequest) override;
};

// Baseline: takes the candidates round-robin and recomputes every block.
class RoundRobinPlanner : public PrefixPlanner
{
public:
  [[nodiscard]] PrefixPlan Choose(const PlanRequest& aRequest) override;

private:
  std::size_t mNext = 0;
};

// Baseline: takes the candidate with the shortest queue wait and uses the
// blocks that are resident there.
class LeastQueuePlanner : public PrefixPlanner
{
public:
  [[nodiscard]] PrefixPlan Choose(const PlanRequest& aRequest) override;
};

// Returns the servers to query for estimates: at most aMaxHolders holders of
// the longest prefixes, and at most aMaxOthers other servers at random. Holders
// that are not in aServers are skipped.
[[nodiscard]] std::vector<ServerId>
PickCandidates(std::span<const ServerHolding> aHolders,
               std::span<const ServerId> aServers,
               std::size_t aMaxHolders,
               std::size_t aMaxOthers,
               Random& aRandom);

} // namespace bilberrytrail
