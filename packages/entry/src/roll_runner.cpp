#include "roll_runner.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

constexpr const char* kLeaseKey = "lease/weights";
constexpr std::string_view kDuty = "weights";
// How often the servers are compared with the newest weights.
constexpr Duration kStep = 200ms;
constexpr Duration kStateTime = 500ms;
constexpr Duration kOrderTime = 500ms;
// The lease's length and renewal: a holder that is cut off from the table
// service stops within this time.
constexpr Duration kLeaseLength = 2200ms;
constexpr Duration kRenewAfter = 800ms;
// How often the others read the row.
constexpr Duration kLeaseRead = 1200ms;
constexpr Duration kLeaseCall = 700ms;

// Orders of a daemon that starts again on the same VM are those of one holder.
DaemonId
HolderOf(const EntrySettings& aSettings)
{
  return DaemonId(aSettings.mName.Text() + "@" + aSettings.mPeers.mHost);
}

LeaseSettings
MakeLeaseSettings(const EntrySettings& aSettings)
{
  LeaseSettings settings;
  settings.mLength = kLeaseLength;
  settings.mRenewAfter = kRenewAfter;
  settings.mReadInterval = kLeaseRead;
  settings.mCallTimeout = kLeaseCall;
  // An order is under way for kOrderTime; two holders' orders stay a gap
  // apart.
  settings.mMaxOrderDuration = kOrderTime + aSettings.mOrderGap;
  return settings;
}

} // namespace

RollRunner::RollRunner(Loop& aLoop,
                       const EntrySettings& aSettings,
                       TableService& aTable,
                       OrderPort& aOrders,
                       PeerDirectory& aPeers,
                       RollNotice& aNotice,
                       SiteViewHolder& aViews)
  : mLoop(aLoop)
  , mSelf(HolderOf(aSettings))
  , mOrderGap(aSettings.mOrderGap)
  , mWeightsWithin(aSettings.mWeightsWithin)
  , mTable(aTable)
  , mOrders(aOrders)
  , mPeers(aPeers)
  , mNotice(aNotice)
  , mViews(aViews)
  , mLease(kLeaseKey, mSelf, MakeLeaseSettings(aSettings))
  , mRoll(WeightRollSettings())
{
}

void
RollRunner::Run()
{
  while (mLoop.Sleep(kStep)) {
    Step();
  }
}

void
RollRunner::Step()
{
  const auto view = mViews.Load();
  if (view == nullptr) {
    return;
  }
  const auto pending =
    WeightRoll::Pending(view->mServers, view->mWeights.AllNewest());
  const auto rank = pending == 0 ? 0 : mPeers.RankFor(kDuty);
  const auto now = MonotonicNow();
  const bool isWanted = mIsLeaving
                          ? mLastOrderAt && now < *mLastOrderAt + mOrderGap
                          : mDuty.IsWanted(rank, pending, now);
  mLease.SetWanted(isWanted);
  RunLease();
  const auto fence = mLease.EpochForOrder(BootNow());
  if (fence != mFence) {
    LogLine(fence ? LogEvent::LeaseTaken : LogEvent::LeaseLost,
            { { "lease", kLeaseKey },
              { "fence", fence.value_or(mFence.value_or(FencingNumber())) },
              { "pending", pending } });
    mFence = fence;
    mRoll.Clear();
  }
  if (fence && isWanted && !mIsLeaving) {
    SendOrders(*view);
  }
}

void
RollRunner::RunLease()
{
  const auto action = mLease.Tick(BootNow());
  if (!action) {
    return;
  }
  if (const auto* read = std::get_if<LeaseRead>(&*action)) {
    const auto row = mTable.Read(read->mKey, kLeaseCall);
    mLease.OnRead(read->mSequence, row, BootNow());
    return;
  }
  const auto& write = std::get<LeaseWrite>(*action);
  const auto done = mTable.Commit({ write.mWrite }, kLeaseCall);
  mLease.OnWrite(write.mSequence, done, BootNow());
}

// Returns the time until the first server must have newer weights.
Duration
RollRunner::TimeLeft(const SiteView& aView, Instant aNow) const
{
  Duration left = mWeightsWithin;
  for (const auto& server : aView.mServers) {
    for (const auto& it : server.mModels) {
      const auto due =
        aView.mWeights.Due(it.mModel, it.mVersion, mWeightsWithin);
      if (due && !server.mIsLeaving) {
        left = std::min(left, *due - aNow);
      }
    }
  }
  return left;
}

void
RollRunner::SendOrders(const SiteView& aView)
{
  const auto now = MonotonicNow();
  const auto orders = mRoll.Next(
    aView.mServers, aView.mWeights.AllNewest(), TimeLeft(aView, now), now);
  mNotice.Publish(mRoll.Loading());
  for (const auto& it : orders) {
    mLoop.Spawn([this, it] { SendOrder(it); });
  }
}

void
RollRunner::SendOrder(const WeightOrder& aOrder)
{
  const auto outcome = SendOnce(aOrder);
  LogLine(outcome == OrderOutcome::Accepted ? LogEvent::OrderSent
                                            : LogEvent::OrderRefused,
          { { "server", aOrder.mServer },
            { "model", aOrder.mModel },
            { "weights", aOrder.mVersion },
            { "fence", mFence.value_or(FencingNumber()) },
            { "outcome", outcome } });
  mRoll.OnOutcome(aOrder, outcome, MonotonicNow());
}

// The lease is checked behind the question, as the last step before the order.
OrderOutcome
RollRunner::SendOnce(const WeightOrder& aOrder)
{
  const auto state = mOrders.ReadState(aOrder, kStateTime);
  if (!state) {
    return OrderOutcome::NotReached;
  }
  if (state.value().mIsBusy) {
    return OrderOutcome::Busy;
  }
  for (const auto& it : state.value().mModels) {
    if (it.mModel == aOrder.mModel && it.mVersion >= aOrder.mVersion) {
      return OrderOutcome::AlreadyDone;
    }
  }
  const auto fence = mLease.EpochForOrder(BootNow());
  if (!fence || mIsLeaving) {
    return OrderOutcome::NotReached;
  }
  mLastOrderAt = MonotonicNow();
  return mOrders.Send(aOrder, state.value(), mSelf, *fence, kOrderTime);
}

} // namespace bilberrytrail
