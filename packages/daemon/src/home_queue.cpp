#include "home_queue.h"

namespace bilberrytrail {

namespace {

Ticket
TicketOf(const QueueAction& aAction)
{
  return std::visit([](const auto& aOne) { return aOne.mTicket; }, aAction);
}

} // namespace

QueuePlace::QueuePlace(std::shared_ptr<HomeQueue> aQueue,
                       Loop& aLoop,
                       Ticket aTicket)
  : mQueue(std::move(aQueue))
  , mTicket(aTicket)
  , mEvent(aLoop)
{
}

QueuePlace::~QueuePlace()
{
  mQueue->Leave(*this);
}

std::optional<QueueAction>
QueuePlace::Next(Duration aTimeout)
{
  const auto end = MonotonicNow() + aTimeout;
  while (true) {
    {
      const std::lock_guard lock(mMutex);
      if (!mActions.empty()) {
        QueueAction action = mActions.front();
        mActions.pop_front();
        return action;
      }
    }
    const auto left = end - MonotonicNow();
    if (left <= Duration::zero() || !mEvent.Wait(left)) {
      const std::lock_guard lock(mMutex);
      if (mActions.empty()) {
        return std::nullopt;
      }
    }
  }
}

void
QueuePlace::ConfirmPaused()
{
  mQueue->Pause(mTicket);
}

void
QueuePlace::Deliver(QueueAction aAction)
{
  {
    const std::lock_guard lock(mMutex);
    mActions.push_back(aAction);
  }
  mEvent.Notify();
}

HomeQueue::HomeQueue(std::unique_ptr<ServerQueue> aQueue)
  : mQueue(std::move(aQueue))
{
}

std::size_t
HomeQueue::Waiting() const
{
  const std::lock_guard lock(mMutex);
  return mQueue->Waiting();
}

std::size_t
HomeQueue::Running() const
{
  const std::lock_guard lock(mMutex);
  return mQueue->Running();
}

Duration
HomeQueue::PredictWait(const QueueEntry& aEntry, Instant aNow) const
{
  const std::lock_guard lock(mMutex);
  return mQueue->PredictWait(aEntry, aNow);
}

std::unique_ptr<QueuePlace>
HomeQueue::Join(Loop& aLoop, QueueEntry aEntry)
{
  const std::lock_guard lock(mMutex);
  mLastTicket = mLastTicket.Next();
  aEntry.mTicket = mLastTicket;
  auto place =
    std::make_unique<QueuePlace>(shared_from_this(), aLoop, mLastTicket);
  mPlaces.emplace(mLastTicket, place.get());
  Deliver(mQueue->Offer(std::move(aEntry), MonotonicNow()));
  return place;
}

void
HomeQueue::Tick(Instant aNow)
{
  const std::lock_guard lock(mMutex);
  Deliver(mQueue->Tick(aNow));
}

void
HomeQueue::Drain(Instant aNow)
{
  const std::lock_guard lock(mMutex);
  QueueActions actions;
  for (const auto& entry : mQueue->Drain(aNow)) {
    actions.push_back(
      RefuseAction{ entry.mTicket, RefusalReason::Draining, Duration::zero() });
  }
  Deliver(actions);
}

void
HomeQueue::SetSlots(std::uint32_t aSlots, Instant aNow)
{
  const std::lock_guard lock(mMutex);
  Deliver(mQueue->SetSlots(aSlots, aNow));
}

void
HomeQueue::Leave(QueuePlace& aPlace)
{
  const std::lock_guard lock(mMutex);
  mPlaces.erase(aPlace.mTicket);
  const auto now = MonotonicNow();
  Deliver(aPlace.mGranted ? mQueue->Finish(aPlace.mTicket, now)
                          : mQueue->Cancel(aPlace.mTicket, now));
}

void
HomeQueue::Pause(Ticket aTicket)
{
  const std::lock_guard lock(mMutex);
  Deliver(mQueue->ConfirmPaused(aTicket, MonotonicNow()));
}

void
HomeQueue::Deliver(const QueueActions& aActions)
{
  for (const auto& action : aActions) {
    const auto it = mPlaces.find(TicketOf(action));
    if (it == mPlaces.end()) {
      continue;
    }
    if (std::holds_alternative<GrantAction>(action) ||
        std::holds_alternative<ResumeAction>(action)) {
      it->second->mGranted = true;
    } else if (std::holds_alternative<RefuseAction>(action)) {
      it->second->mGranted = false;
    }
    it->second->Deliver(action);
  }
}

} // namespace bilberrytrail
