#include <bilberrytrail/entry/weight_rollout.h>

#include <algorithm>
#include <limits>
#include <tuple>

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

bool
WeightRollout::IsLate(Instant aNow) const noexcept
{
  return aNow < mLateUntil;
}

bool
WeightRollout::HoldsPlace(const Entry& aEntry, Instant aNow) const noexcept
{
  switch (aEntry.mPhase) {
    case Phase::Sent:
    case Phase::Accepted:
      return aNow < aEntry.mUntil;
    case Phase::Busy:
      return aEntry.mBusySince &&
             aNow < *aEntry.mBusySince + mSettings.mOrderTimeout;
    case Phase::Lost:
      return aNow < aEntry.mUntil && !IsLate(aNow);
    case Phase::Paused:
    case Phase::Unconfirmed:
      return false;
  }
  return false;
}

std::set<ServerId>
WeightRollout::Loading(Instant aNow) const
{
  std::set<ServerId> servers;
  for (const auto& [server, entry] : mOrders) {
    const bool mayNotLoad = entry.mPhase == Phase::Sent && IsLate(aNow);
    if (HoldsPlace(entry, aNow) && !mayNotLoad) {
      servers.insert(server);
    }
  }
  return servers;
}

std::size_t
WeightRollout::MaxConcurrent(std::size_t aServers) const noexcept
{
  return std::max(mSettings.mMaxConcurrent,
                  static_cast<std::size_t>(mSettings.mMaxShare *
                                           static_cast<double>(aServers)));
}

std::size_t
WeightRollout::ConcurrencyLimit(std::size_t aServers,
                                std::size_t aPending,
                                Duration aTimeLeft) const noexcept
{
  const auto left = std::max(aTimeLeft, mSettings.mLoadTime);
  const auto needed = static_cast<std::size_t>(
    static_cast<std::int64_t>(aPending) * mSettings.mLoadTime / left);
  return std::clamp(needed, mSettings.mMinConcurrent, MaxConcurrent(aServers));
}

// Returns the number of orders that may await their reply, so that all servers
// are ordered early enough for the longest delay.
std::size_t
WeightRollout::LateLimit(std::size_t aServers,
                         std::size_t aUnordered,
                         Duration aTimeLeft) const noexcept
{
  const auto left =
    std::max(aTimeLeft - mSettings.mLateTime - mSettings.mLoadTime,
             mSettings.mReplyTime);
  const auto needed = static_cast<std::size_t>(
    static_cast<std::int64_t>(aUnordered) * mSettings.mReplyTime / left);
  return std::min(needed, MaxConcurrent(aServers));
}

// Returns whether a server will not execute its order, or a newer version is to
// be ordered in place of one that may be executed late.
bool
WeightRollout::IsVoid(const Entry& aEntry,
                      const ServerRecord& aServer,
                      const std::map<ModelId, std::uint64_t>& aWeights)
{
  const auto& order = aEntry.mOrder;
  if (aServer.mStartedAtMs != aEntry.mStartedAtMs) {
    return true;
  }
  const bool mayBeExecutedLate =
    aEntry.mPhase == Phase::Lost || aEntry.mPhase == Phase::Unconfirmed;
  if (!mayBeExecutedLate) {
    return false;
  }
  // Another order was executed since: the server drops this one.
  if (aServer.VersionOf(order.mModel) != aEntry.mHadVersion) {
    return true;
  }
  const auto newest = aWeights.find(order.mModel);
  return newest != aWeights.end() && newest->second > order.mVersion;
}

// Drops orders whose effect is visible, those that are void, and those to
// servers not listed.
void
WeightRollout::DropFinished(std::span<const ServerRecord> aServers,
                            const std::map<ModelId, std::uint64_t>& aWeights)
{
  for (auto& [server, entry] : mOrders) {
    entry.mIsListed = false;
  }
  for (const auto& server : aServers) {
    const auto it = mOrders.find(server.mId);
    if (it != mOrders.end()) {
      const auto& order = it->second.mOrder;
      it->second.mIsListed = server.VersionOf(order.mModel) < order.mVersion &&
                             !IsVoid(it->second, server, aWeights);
    }
  }
  std::erase_if(mOrders,
                [](const auto& aEntry) { return !aEntry.second.mIsListed; });
}

// Returns the servers that may be ordered now: those that load already come
// first, then those ordered the fewest times and, of these, those with the
// oldest weights.
std::vector<WeightRollout::Candidate>
WeightRollout::Candidates(std::span<const ServerRecord> aServers,
                          const std::map<ModelId, std::uint64_t>& aWeights,
                          Instant aNow) const
{
  std::vector<Candidate> candidates;
  for (const auto& server : aServers) {
    const auto* model = OutdatedModel(server, aWeights);
    if (model == nullptr) {
      continue;
    }
    const auto newest = aWeights.at(model->mModel);
    Candidate candidate{ .mServer = &server,
                         .mModel = model->mModel,
                         .mNewest = newest,
                         .mLag = newest - model->mVersion };
    if (const auto it = mOrders.find(server.mId); it != mOrders.end()) {
      if (aNow < it->second.mUntil) {
        continue;
      }
      candidate.mAttempts = it->second.mAttempts;
      candidate.mHoldsPlace = HoldsPlace(it->second, aNow);
    }
    candidates.push_back(std::move(candidate));
  }
  std::ranges::stable_sort(candidates, {}, [](const Candidate& aCandidate) {
    return std::tuple(!aCandidate.mHoldsPlace,
                      aCandidate.mAttempts,
                      std::numeric_limits<std::uint64_t>::max() -
                        aCandidate.mLag);
  });
  return candidates;
}

WeightOrder
WeightRollout::Record(const Candidate& aCandidate, Instant aNow)
{
  const auto& server = *aCandidate.mServer;
  auto& entry = mOrders[server.mId];
  entry.mOrder = {
    server.mId, server.mEndpoint, aCandidate.mModel, aCandidate.mNewest
  };
  entry.mHadVersion = server.VersionOf(aCandidate.mModel);
  entry.mStartedAtMs = server.mStartedAtMs;
  entry.mPhase = Phase::Sent;
  entry.mUntil = aNow + mSettings.mOrderTimeout;
  entry.mCheckAt.reset();
  ++entry.mAttempts;
  return entry.mOrder;
}

std::vector<WeightOrder>
WeightRollout::Next(std::span<const ServerRecord> aServers,
                    const std::map<ModelId, std::uint64_t>& aWeights,
                    Duration aTimeLeft,
                    Instant aNow)
{
  DropFinished(aServers, aWeights);
  mWithoutReply = static_cast<std::size_t>(
    std::ranges::count_if(mOrders, [](const auto& aEntry) {
      return aEntry.second.mPhase == Phase::Lost ||
             aEntry.second.mPhase == Phase::Unconfirmed;
    }));
  const auto engines = static_cast<std::size_t>(
    std::ranges::count_if(aServers, [](const ServerRecord& aServer) {
      return !aServer.mModels.empty() && !aServer.mIsLeaving;
    }));
  const auto candidates = Candidates(aServers, aWeights, aNow);
  auto limit =
    ConcurrencyLimit(engines, Pending(aServers, aWeights), aTimeLeft);
  if (IsLate(aNow)) {
    const auto unordered = static_cast<std::size_t>(
      std::ranges::count(candidates, 0U, &Candidate::mAttempts));
    limit = std::max(limit, LateLimit(engines, unordered, aTimeLeft));
  }
  auto inProgress = static_cast<std::size_t>(
    std::ranges::count_if(mOrders, [&](const auto& aEntry) {
      return HoldsPlace(aEntry.second, aNow);
    }));
  std::vector<WeightOrder> orders;
  for (const auto& it : candidates) {
    if (!it.mHoldsPlace && inProgress >= limit) {
      break;
    }
    inProgress += it.mHoldsPlace ? 0 : 1;
    orders.push_back(Record(it, aNow));
  }
  return orders;
}

std::vector<WeightOrder>
WeightRollout::Checks(Instant aNow)
{
  std::vector<WeightOrder> orders;
  for (auto& [server, entry] : mOrders) {
    const bool isOpen =
      entry.mPhase == Phase::Lost || entry.mPhase == Phase::Accepted;
    if (isOpen && entry.mCheckAt && aNow >= *entry.mCheckAt) {
      entry.mCheckAt.reset();
      orders.push_back(entry.mOrder);
    }
  }
  return orders;
}

void
WeightRollout::OnLoadCheck(Entry& aEntry, OrderOutcome aOutcome, Instant aNow)
{
  if (aOutcome != OrderOutcome::AlreadyDone) {
    aEntry.mCheckAt = aNow + mSettings.mLoadRecheck;
    return;
  }
  constexpr double kWeight = 0.2;
  const auto took = aNow - aEntry.mAcceptedAt;
  const auto mean = mMeanLoad.value_or(took);
  mMeanLoad = mean + FromMillis(kWeight * ToMillis(took - mean));
  aEntry.mPhase = Phase::Paused;
  aEntry.mUntil = aNow + mSettings.mTableLag;
}

void
WeightRollout::OnOutcome(const WeightOrder& aOrder,
                         OrderOutcome aOutcome,
                         Instant aNow)
{
  const auto it = mOrders.find(aOrder.mServer);
  if (it == mOrders.end() || it->second.mOrder.mModel != aOrder.mModel ||
      it->second.mOrder.mVersion != aOrder.mVersion) {
    return;
  }
  auto& entry = it->second;
  if (entry.mPhase == Phase::Accepted) {
    OnLoadCheck(entry, aOutcome, aNow);
    return;
  }
  entry.mLastOutcome = aOutcome;
  if (aOutcome != OrderOutcome::Busy) {
    entry.mBusySince.reset();
  }
  switch (aOutcome) {
    case OrderOutcome::Accepted:
      entry.mPhase = Phase::Accepted;
      entry.mAcceptedAt = aNow;
      entry.mCheckAt =
        aNow + (mMeanLoad ? std::max(FromMillis(mSettings.mLoadCheckShare *
                                                ToMillis(*mMeanLoad)),
                                     mSettings.mMinLoadCheck)
                          : mSettings.mFirstLoadCheck);
      return;
    case OrderOutcome::Unknown:
      entry.mPhase = Phase::Lost;
      entry.mUntil =
        aNow + std::max(mSettings.mUnknownPause,
                        mSettings.mResendSpacing *
                          static_cast<std::int64_t>(mWithoutReply));
      if (!IsLate(aNow)) {
        entry.mCheckAt = aNow + mSettings.mCheckPause;
      }
      return;
    case OrderOutcome::NotBegun:
      if (entry.mPhase == Phase::Lost) {
        entry.mPhase = Phase::Unconfirmed;
        mLateUntil = aNow + mSettings.mLateMemory;
      }
      return;
    case OrderOutcome::Busy:
      entry.mPhase = Phase::Busy;
      entry.mUntil = aNow + mSettings.mRetryPause;
      entry.mBusySince = entry.mBusySince.value_or(aNow);
      return;
    case OrderOutcome::NotReached:
      // An order whose server does not answer the check either stays pending.
      if (entry.mPhase == Phase::Lost) {
        entry.mPhase = Phase::Unconfirmed;
        return;
      }
      [[fallthrough]];
    case OrderOutcome::AlreadyDone:
    case OrderOutcome::Fenced:
    case OrderOutcome::Rejected:
      entry.mPhase = Phase::Paused;
      entry.mUntil = aNow + mSettings.mRetryPause;
      return;
  }
}

bool
WeightRollout::IsAccepted(const ServerId& aServer) const
{
  const auto it = mOrders.find(aServer);
  return it != mOrders.end() && it->second.mPhase == Phase::Accepted;
}

OrderReport
WeightRollout::ReportOf(const ServerId& aServer) const
{
  const auto it = mOrders.find(aServer);
  return it == mOrders.end()
           ? OrderReport()
           : OrderReport{ it->second.mAttempts, it->second.mLastOutcome };
}

void
WeightRollout::Clear() noexcept
{
  mOrders.clear();
  mLateUntil = Instant();
  mWithoutReply = 0;
}

bool
RolloutCandidacy::IsWanted(std::size_t aRank,
                           std::size_t aPending,
                           bool aIsHolder,
                           Instant aNow)
{
  const bool isHoldTime =
    mPendingUntil && aNow < *mPendingUntil + kLeaseHoldTime;
  if (aPending == 0) {
    mPendingSince.reset();
    return isHoldTime;
  }
  const bool isStandby = aRank >= kCandidates;
  if (!mPendingSince || (isStandby && aPending != mLastPending)) {
    mPendingSince = aNow;
  }
  mLastPending = aPending;
  mPendingUntil = aNow;
  if (aIsHolder && isHoldTime) {
    return true;
  }
  const Duration delay = kRankDelay * static_cast<std::int64_t>(aRank);
  return aNow >= *mPendingSince + std::min(delay, kMaxRankDelay) +
                   (isStandby ? kStallTimeout : Duration(0));
}

} // namespace bilberrytrail
