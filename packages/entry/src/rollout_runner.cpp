#include "rollout_runner.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

constexpr const char* kLeaseKey = "lease/weights";
constexpr std::string_view kRankKey = "weights";
// Time between two comparisons of the servers with the newest weights.
constexpr Duration kStepPeriod = 200ms;
constexpr Duration kStateTimeout = 500ms;
constexpr Duration kOrderTimeout = 500ms;
// Length and renewal of the lease: a holder without access to the table service
// stops within this time.
constexpr Duration kLeaseLength = 2200ms;
constexpr Duration kRenewAfter = 800ms;
// Time between two reads of the lease by the other candidates.
constexpr Duration kLeaseReadPeriod = 1200ms;
constexpr Duration kLeaseCallTimeout = 700ms;

// A daemon that restarts on the same VM is the same holder for the servers.
DaemonId
HolderOf(const EntrySettings& aSettings)
{
  return DaemonId(aSettings.mName.Text() + "@" + aSettings.mPeers.mHost);
}

// Returns the outcome of an order that the server's state shows; nothing when
// it has not begun.
std::optional<OrderOutcome>
OutcomeOf(const WeightOrder& aOrder, const OrderState& aState)
{
  if (aState.mIsBusy) {
    return OrderOutcome::Busy;
  }
  for (const auto& it : aState.mModels) {
    if (it.mModel == aOrder.mModel && it.mVersion >= aOrder.mVersion) {
      return OrderOutcome::AlreadyDone;
    }
  }
  return std::nullopt;
}

LeaseSettings
MakeLeaseSettings(const EntrySettings& aSettings)
{
  LeaseSettings settings;
  settings.mLength = kLeaseLength;
  settings.mRenewAfter = kRenewAfter;
  settings.mReadInterval = kLeaseReadPeriod;
  settings.mCallTimeout = kLeaseCallTimeout;
  // An order takes up to kOrderTimeout, and orders of two holders stay
  // mOrderGap apart.
  settings.mMaxOrderDuration = kOrderTimeout + aSettings.mOrderGap;
  return settings;
}

} // namespace

RolloutRunner::RolloutRunner(Loop& aLoop,
                             const EntrySettings& aSettings,
                             TableService& aTable,
                             OrderPort& aOrders,
                             PeerDirectory& aPeers,
                             LoadingNotifier& aNotifier,
                             SiteViewHolder& aViews)
  : mLoop(aLoop)
  , mSelf(HolderOf(aSettings))
  , mOrderGap(aSettings.mOrderGap)
  , mWeightsWithin(aSettings.mWeightsWithin)
  , mTable(aTable)
  , mOrders(aOrders)
  , mPeers(aPeers)
  , mNotifier(aNotifier)
  , mViews(aViews)
  , mLease(kLeaseKey, mSelf, MakeLeaseSettings(aSettings))
  , mRollout(WeightRolloutSettings())
{
}

void
RolloutRunner::Run()
{
  while (mLoop.Sleep(kStepPeriod)) {
    Step();
  }
}

void
RolloutRunner::Step()
{
  const auto view = mViews.Load();
  if (view == nullptr) {
    return;
  }
  const auto pending =
    WeightRollout::Pending(view->mServers, view->mWeights.AllNewest());
  const auto rank = pending == 0 ? 0 : mPeers.RankFor(kRankKey);
  const auto now = MonotonicNow();
  const bool isWanted =
    mIsLeaving ? mLastOrderAt && now < *mLastOrderAt + mOrderGap
               : mCandidacy.IsWanted(rank, pending, mFence.has_value(), now);
  mLease.SetEra(view->mTableEra, BootNow());
  mLease.SetWanted(isWanted);
  RunLease();
  const auto fence = mLease.EpochForOrder(BootNow());
  if (fence != mFence) {
    LogLine(fence ? LogEvent::LeaseTaken : LogEvent::LeaseLost,
            { { "lease", kLeaseKey },
              { "fence", fence.value_or(mFence.value_or(FencingNumber())) },
              { "pending", pending } });
    mFence = fence;
    mRollout.Clear();
  }
  if (fence && isWanted && !mIsLeaving) {
    SendOrders(*view);
  }
}

void
RolloutRunner::RunLease()
{
  const auto action = mLease.Tick(BootNow());
  if (!action) {
    return;
  }
  if (const auto* read = std::get_if<LeaseRead>(&*action)) {
    const auto row = mTable.Read(read->mKey, kLeaseCallTimeout);
    mLease.SetEra(mTable.Era(), BootNow());
    mLease.OnRead(read->mSequence, row, BootNow());
    return;
  }
  const auto& write = std::get<LeaseWrite>(*action);
  const auto done = mTable.Commit({ write.mWrite }, kLeaseCallTimeout);
  mLease.SetEra(mTable.Era(), BootNow());
  mLease.OnWrite(write.mSequence, done, BootNow());
}

// Returns the time until the first deadline of a server for newer weights.
Duration
RolloutRunner::TimeLeft(const SiteView& aView) const
{
  Duration left = mWeightsWithin;
  for (const auto& server : aView.mServers) {
    for (const auto& it : server.mModels) {
      const auto due =
        aView.mWeights.Due(it.mModel, it.mVersion, mWeightsWithin);
      if (due && !server.mIsLeaving) {
        left = std::min(left, *due - BootNow());
      }
    }
  }
  return left;
}

void
RolloutRunner::SendOrders(const SiteView& aView)
{
  const auto now = MonotonicNow();
  const auto orders = mRollout.Next(
    aView.mServers, aView.mWeights.AllNewest(), TimeLeft(aView), now);
  mNotifier.Publish(mRollout.Loading(now));
  for (const auto& it : orders) {
    mLoop.Spawn([this, it] { SendOrder(it); });
  }
  for (const auto& it : mRollout.Checks(now)) {
    mLoop.Spawn([this, it] { CheckOrder(it); });
  }
  LogOverdue(aView, BootNow());
}

void
RolloutRunner::LogOverdue(const SiteView& aView, Instant aNow)
{
  for (const auto& it :
       mOverdue.Next(aView.mServers, aView.mWeights, mWeightsWithin, aNow)) {
    const auto report = mRollout.ReportOf(it.mServer);
    LogLine(
      LogEvent::WeightsOverdue,
      { { "server", it.mServer },
        { "model", it.mModel },
        { "has", it.mVersion },
        { "weights", it.mNewest },
        { "late", it.mLate },
        { "orders", report.mOrders },
        { "outcome",
          report.mLastOutcome ? ToName(*report.mLastOutcome) : "none" } });
  }
}

void
RolloutRunner::SendOrder(const WeightOrder& aOrder)
{
  const auto outcome = SendOnce(aOrder);
  LogLine(outcome == OrderOutcome::Accepted ? LogEvent::OrderSent
                                            : LogEvent::OrderRefused,
          { { "server", aOrder.mServer },
            { "model", aOrder.mModel },
            { "weights", aOrder.mVersion },
            { "fence", mFence.value_or(FencingNumber()) },
            { "outcome", outcome } });
  mRollout.OnOutcome(aOrder, outcome, MonotonicNow());
}

// Asks a server that was ordered whether it has begun or loaded.
void
RolloutRunner::CheckOrder(const WeightOrder& aOrder)
{
  const auto state = mOrders.ReadState(aOrder, kStateTimeout);
  const auto outcome =
    state ? OutcomeOf(aOrder, state.value()).value_or(OrderOutcome::NotBegun)
          : OrderOutcome::NotReached;
  const bool isLost = !mRollout.IsAccepted(aOrder.mServer);
  if (outcome == OrderOutcome::NotBegun && isLost) {
    LogLine(LogEvent::OrderNotBegun,
            { { "server", aOrder.mServer },
              { "model", aOrder.mModel },
              { "weights", aOrder.mVersion } });
  }
  mRollout.OnOutcome(aOrder, outcome, MonotonicNow());
  // Another holder knows better by now which servers load.
  if (mLease.EpochForOrder(BootNow())) {
    mNotifier.Publish(mRollout.Loading(MonotonicNow()));
  }
}

// The lease is checked after the server's state was read, as the last step
// before the order.
OrderOutcome
RolloutRunner::SendOnce(const WeightOrder& aOrder)
{
  const auto state = mOrders.ReadState(aOrder, kStateTimeout);
  if (!state) {
    return OrderOutcome::NotReached;
  }
  if (const auto outcome = OutcomeOf(aOrder, state.value())) {
    return *outcome;
  }
  const auto fence = mLease.EpochForOrder(BootNow());
  if (!fence || mIsLeaving) {
    return OrderOutcome::NotReached;
  }
  mLastOrderAt = MonotonicNow();
  return mOrders.Send(aOrder, state.value(), mSelf, *fence, kOrderTimeout);
}

} // namespace bilberrytrail
