#include <bilberrytrail/cache/prefix_planner.h>

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace bilberrytrail {

namespace {

// Lower bounds for rates, slower than any real one, so that a candidate or link
// whose rate is unknown is not preferred.
constexpr double kMinTokensPerSecond = 1;
constexpr double kMinBytesPerSecond = 1;
constexpr double kMicrosPerSecond = 1e6;

Duration
FromSeconds(double aSeconds)
{
  return Duration(static_cast<std::int64_t>(aSeconds * kMicrosPerSecond));
}

// Returns the time to compute the blocks from index aFirst on and the tail.
Duration
PrefillTime(const PlanRequest& aRequest,
            const PlanCandidate& aCandidate,
            std::uint32_t aFirst)
{
  const double blocks = aRequest.mBlocks - std::min(aFirst, aRequest.mBlocks);
  const double tokens =
    blocks * aRequest.mTokensPerBlock + aRequest.mTailTokens;
  return FromSeconds(
    tokens / std::max(aCandidate.mPrefillTokensPerSecond, kMinTokensPerSecond));
}

// Assigns imports to links in block order, each to the copy that arrives first.
class ImportSchedule
{
public:
  explicit ImportSchedule(const PlanRequest& aRequest)
    : mRequest(&aRequest)
  {
    for (const auto& link : aRequest.mLinks) {
      const double rate = std::max(link.mBytesPerSecond, kMinBytesPerSecond);
      mBacklogs.push_back(
        FromSeconds(static_cast<double>(link.mBacklogBytes) / rate));
    }
  }

  [[nodiscard]] Duration EndsAt() const { return mEndsAt; }
  [[nodiscard]] const std::vector<PlannedImport>& Imports() const
  {
    return mImports;
  }

  // Adds the import of a block; returns false when no store can deliver it.
  bool Add(std::uint32_t aIndex)
  {
    if (aIndex >= mRequest->mCopies.size()) {
      return false;
    }
    const StoreCopy* best = nullptr;
    std::size_t bestLink = 0;
    Duration bestEnd{};
    for (const auto& copy : mRequest->mCopies[aIndex]) {
      const auto link = FindLink(copy.mStore);
      if (!link) {
        continue;
      }
      const auto end = mBacklogs[*link] + TransferTime(copy, *link);
      if (best == nullptr || end < bestEnd) {
        best = &copy;
        bestLink = *link;
        bestEnd = end;
      }
    }
    if (best == nullptr) {
      return false;
    }
    mBacklogs[bestLink] = bestEnd;
    mEndsAt = std::max(mEndsAt, bestEnd);
    mImports.push_back({ aIndex, *best });
    return true;
  }

private:
  [[nodiscard]] std::optional<std::size_t> FindLink(const StoreId& aStore) const
  {
    for (std::size_t n = 0; n < mRequest->mLinks.size(); ++n) {
      const auto& link = mRequest->mLinks[n];
      if (link.mStore == aStore && link.mBytesPerSecond > 0) {
        return n;
      }
    }
    return std::nullopt;
  }

  [[nodiscard]] Duration TransferTime(const StoreCopy& aCopy,
                                      std::size_t aLink) const
  {
    const auto& link = mRequest->mLinks[aLink];
    double rate = std::max(link.mBytesPerSecond, kMinBytesPerSecond);
    auto latency = link.mMemoryLatency;
    if (aCopy.mTier == StoreTier::Disk) {
      latency = link.mDiskLatency;
      if (link.mDiskBytesPerSecond > 0) {
        rate = std::min(rate, link.mDiskBytesPerSecond);
      }
    }
    return latency + FromSeconds(static_cast<double>(aCopy.mRef.mBytes) / rate);
  }

  const PlanRequest* mRequest;
  std::vector<Duration> mBacklogs;
  std::vector<PlannedImport> mImports;
  Duration mEndsAt{};
};

// Keeps the better of two plans: the faster one; with equal times the one that
// recomputes fewer blocks, then the one with fewer imports.
void
KeepBetter(std::optional<PrefixPlan>& aBest, PrefixPlan aPlan)
{
  const auto rank = [](const PrefixPlan& aRanked) {
    return std::make_tuple(aRanked.mTimeToFirstToken,
                           aRanked.mRecomputeBlocks,
                           aRanked.mImports.size());
  };
  if (!aBest || rank(aPlan) < rank(*aBest)) {
    aBest = std::move(aPlan);
  }
}

PrefixPlan
MakePlan(const PlanRequest& aRequest,
         const PlanCandidate& aCandidate,
         std::uint32_t aBlocks,
         Duration aReadyAfter)
{
  PrefixPlan plan;
  plan.mServer = aCandidate.mServer;
  plan.mResidentBlocks = std::min(aBlocks, aRequest.mBlocks);
  plan.mRecomputeBlocks = aRequest.mBlocks - plan.mResidentBlocks;
  plan.mTimeToFirstToken =
    aCandidate.mRoundTrip + std::max(aCandidate.mQueueWait, aReadyAfter) +
    PrefillTime(aRequest, aCandidate, plan.mResidentBlocks);
  return plan;
}

// Returns the expected time when the resident blocks may have been evicted: the
// mean of the times with and without them.
Duration
DoubtfulTime(const PlanRequest& aRequest,
             const PlanCandidate& aCandidate,
             const PrefixPlan& aPlan)
{
  const auto without = MakePlan(aRequest, aCandidate, 0, Duration());
  return (aPlan.mTimeToFirstToken +
          std::max(without.mTimeToFirstToken, aPlan.mTimeToFirstToken)) /
         2;
}

// Considers plans that use the resident blocks and import each possible number
// of the blocks after them.
void
PlanWithImports(const PlanRequest& aRequest,
                const PlanCandidate& aCandidate,
                std::optional<PrefixPlan>& aBest)
{
  const auto resident = std::min(aCandidate.mResidentBlocks, aRequest.mBlocks);
  ImportSchedule schedule(aRequest);
  std::optional<PrefixPlan> best;
  for (std::uint32_t end = resident; end <= aRequest.mBlocks; ++end) {
    auto plan = MakePlan(aRequest, aCandidate, end, schedule.EndsAt());
    plan.mResidentBlocks = resident;
    if (aCandidate.mIsDoubtful && resident > 0) {
      plan.mTimeToFirstToken = DoubtfulTime(aRequest, aCandidate, plan);
    }
    KeepBetter(best, std::move(plan));
    if (end < aRequest.mBlocks && !schedule.Add(end)) {
      break;
    }
  }
  // The best plan uses a prefix of the schedule's imports.
  const auto n = aRequest.mBlocks - resident - best->mRecomputeBlocks;
  const auto& imports = schedule.Imports();
  best->mImports.assign(imports.begin(), imports.begin() + n);
  KeepBetter(aBest, std::move(*best));
}

// Considers the plan that waits for the pending blocks.
void
PlanWithPending(const PlanRequest& aRequest,
                const PlanCandidate& aCandidate,
                std::optional<PrefixPlan>& aBest)
{
  if (aCandidate.mPendingBlocks <= aCandidate.mResidentBlocks) {
    return;
  }
  auto plan = MakePlan(
    aRequest, aCandidate, aCandidate.mPendingBlocks, aCandidate.mPendingWait);
  plan.mWaitsForPending = true;
  KeepBetter(aBest, std::move(plan));
}

} // namespace

PrefixPlan
LeastTimePlanner::Choose(const PlanRequest& aRequest)
{
  std::optional<PrefixPlan> best;
  for (const auto& candidate : aRequest.mCandidates) {
    if (candidate.mPendingBlocks > candidate.mResidentBlocks) {
      PlanWithPending(aRequest, candidate, best);
    } else {
      PlanWithImports(aRequest, candidate, best);
    }
  }
  return best.value_or(PrefixPlan());
}

PrefixPlan
RoundRobinPlanner::Choose(const PlanRequest& aRequest)
{
  if (aRequest.mCandidates.empty()) {
    return {};
  }
  const auto n = mNext++ % aRequest.mCandidates.size();
  return MakePlan(aRequest, aRequest.mCandidates[n], 0, Duration());
}

PrefixPlan
LeastQueuePlanner::Choose(const PlanRequest& aRequest)
{
  const auto& candidates = aRequest.mCandidates;
  const auto it = std::min_element(
    candidates.begin(),
    candidates.end(),
    [](const PlanCandidate& aLeft, const PlanCandidate& aRight) {
      return aLeft.mQueueWait < aRight.mQueueWait;
    });
  if (it == candidates.end()) {
    return {};
  }
  return MakePlan(aRequest, *it, it->mResidentBlocks, Duration());
}

std::vector<ServerId>
PickCandidates(std::span<const ServerHolding> aHolders,
               std::span<const ServerId> aServers,
               std::size_t aMaxHolders,
               std::size_t aMaxOthers,
               Random& aRandom)
{
  std::vector<ServerHolding> holders(aHolders.begin(), aHolders.end());
  std::stable_sort(holders.begin(),
                   holders.end(),
                   [](const ServerHolding& aLeft, const ServerHolding& aRight) {
                     return aLeft.mBlocks > aRight.mBlocks;
                   });
  std::vector<ServerId> picked;
  for (const auto& holder : holders) {
    const bool isUsable =
      std::find(aServers.begin(), aServers.end(), holder.mServer) !=
      aServers.end();
    if (isUsable && picked.size() < aMaxHolders) {
      picked.push_back(holder.mServer);
    }
  }
  std::vector<ServerId> others;
  for (const auto& server : aServers) {
    if (std::find(picked.begin(), picked.end(), server) == picked.end()) {
      others.push_back(server);
    }
  }
  for (auto& it : PickRandom(std::move(others), aMaxOthers, aRandom)) {
    picked.push_back(std::move(it));
  }
  return picked;
}

} // namespace bilberrytrail
