#include <bilberrytrail/entry/weight_rollout.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Returns a model of which the server lacks the newest weights; null if there
// is none.
const LoadedModel*
OutdatedModel(const ServerRecord& aServer,
              const std::map<ModelId, std::uint64_t>& aWeights)
{
  if (aServer.mIsLeaving) {
    return nullptr;
  }
  for (const auto& it : aServer.mModels) {
    const auto newest = aWeights.find(it.mModel);
    if (newest != aWeights.end() && it.mVersion < newest->second) {
      return &it;
    }
  }
  return nullptr;
}

} // namespace

std::size_t
WeightRollout::Pending(std::span<const ServerRecord> aServers,
                       const std::map<ModelId, std::uint64_t>& aWeights)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aServers, [&](const ServerRecord& aServer) {
      return OutdatedModel(aServer, aWeights) != nullptr;
    }));
}

std::size_t
WeightRollout::InProgress() const noexcept
{
  return static_cast<std::size_t>(std::ranges::count_if(
    mOrders, [](const auto& aEntry) { return aEntry.second.mInProgress; }));
}

std::set<ServerId>
WeightRollout::Loading() const
{
  std::set<ServerId> servers;
  for (const auto& [server, order] : mOrders) {
    if (order.mInProgress) {
      servers.insert(server);
    }
  }
  return servers;
}

std::size_t
WeightRollout::ConcurrencyLimit(std::size_t aServers,
                                std::size_t aPending,
                                Duration aTimeLeft) const noexcept
{
  const auto limit =
    std::max(mSettings.mMaxConcurrent,
             static_cast<std::size_t>(mSettings.mMaxShare *
                                      static_cast<double>(aServers)));
  const auto left = std::max(aTimeLeft, mSettings.mLoadTime);
  const auto needed = static_cast<std::size_t>(
    static_cast<std::int64_t>(aPending) * mSettings.mLoadTime / left);
  return std::clamp(needed, mSettings.mMinConcurrent, limit);
}

// Drops orders whose effect is visible, and those that have expired.
void
WeightRollout::DropFinished(std::span<const ServerRecord> aServers,
                            Instant aNow)
{
  std::erase_if(mOrders, [&](const auto& aEntry) {
    const auto& order = aEntry.second;
    const auto it =
      std::ranges::find(aServers, aEntry.first, &ServerRecord::mId);
    if (it == aServers.end() || aNow >= order.mUntil) {
      return true;
    }
    return it->VersionOf(order.mModel) >= order.mVersion;
  });
}

std::vector<WeightOrder>
WeightRollout::Next(std::span<const ServerRecord> aServers,
                    const std::map<ModelId, std::uint64_t>& aWeights,
                    Duration aTimeLeft,
                    Instant aNow)
{
  DropFinished(aServers, aNow);
  std::vector<WeightOrder> orders;
  const auto engines = static_cast<std::size_t>(
    std::ranges::count_if(aServers, [](const ServerRecord& aServer) {
      return !aServer.mModels.empty() && !aServer.mIsLeaving;
    }));
  const auto limit =
    ConcurrencyLimit(engines, Pending(aServers, aWeights), aTimeLeft);
  for (const auto& it : aServers) {
    if (InProgress() >= limit) {
      break;
    }
    const auto* model = OutdatedModel(it, aWeights);
    if (model == nullptr || mOrders.contains(it.mId)) {
      continue;
    }
    const auto version = aWeights.at(model->mModel);
    mOrders[it.mId] = {
      model->mModel, version, true, aNow + mSettings.mOrderTimeout
    };
    orders.push_back({ it.mId, it.mEndpoint, model->mModel, version });
  }
  return orders;
}

void
WeightRollout::OnOutcome(const WeightOrder& aOrder,
                         OrderOutcome aOutcome,
                         Instant aNow)
{
  const auto it = mOrders.find(aOrder.mServer);
  if (it == mOrders.end() || it->second.mVersion != aOrder.mVersion) {
    return;
  }
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      return;
    case OrderOutcome::Unknown:
      it->second.mUntil = aNow + mSettings.mUnknownPause;
      return;
    case OrderOutcome::AlreadyDone:
    case OrderOutcome::Busy:
    case OrderOutcome::Fenced:
    case OrderOutcome::NotReached:
    case OrderOutcome::Rejected:
      it->second.mInProgress = false;
      it->second.mUntil = aNow + mSettings.mRetryPause;
      return;
  }
}

bool
RolloutCandidacy::IsWanted(std::size_t aRank,
                           std::size_t aPending,
                           Instant aNow)
{
  if (aPending == 0) {
    mPendingSince.reset();
    return mPendingUntil && aNow < *mPendingUntil + kLeaseHoldTime;
  }
  const bool isStandby = aRank >= kCandidates;
  if (!mPendingSince || (isStandby && aPending != mLastPending)) {
    mPendingSince = aNow;
  }
  mLastPending = aPending;
  mPendingUntil = aNow;
  const Duration delay = kRankDelay * static_cast<std::int64_t>(aRank);
  return aNow >= *mPendingSince + std::min(delay, kMaxRankDelay) +
                   (isStandby ? kStallTimeout : Duration(0));
}

} // namespace bilberrytrail
